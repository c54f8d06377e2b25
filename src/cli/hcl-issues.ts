// Formats validation errors of HCL files.
import type * as v from 'valibot';

/** Formats a validation error as one line that names the file and the key. */
export function describeHclIssue(file: string, issue: v.BaseIssue<unknown>): string {
  // Blocks are lists in the parsed form; the index of the first block is left out, as most blocks occur once.
  const path = issue.path?.map((segment) => String(segment.key)).filter((key) => key !== '0');
  const problem = issue.expected === 'never' ? 'unknown name' : issue.message;
  return `${file}: ${path?.join('.') ?? '(whole file)'}: ${problem}`;
}
