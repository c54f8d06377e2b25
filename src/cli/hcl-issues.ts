// Describes what is wrong in a file in HCL.
import type * as v from 'valibot';

/** One line that names the file and the key. */
export function describeHclIssue(file: string, issue: v.BaseIssue<unknown>): string {
  // Blocks are lists in the parsed form; the index of a block that can only be there once says nothing.
  const path = issue.path?.map((segment) => String(segment.key)).filter((key) => key !== '0');
  const problem = issue.expected === 'never' ? 'unknown name' : issue.message;
  return `${file}: ${path?.join('.') ?? '(whole file)'}: ${problem}`;
}
