// What the commands read: files, HCL, ids and addresses, with mistakes that name them.
import { readFileSync } from 'node:fs';
import { isJobId } from '../protocol/job.ts';
import { InvalidSettingsError } from '../protocol/settings.ts';
import type { JobId } from '../types/index.ts';

export function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (e) {
    throw new InvalidSettingsError(
      `${file}: cannot be read: ${(e as NodeJS.ErrnoException).code ?? String(e)}`,
    );
  }
}

export async function parseHcl(file: string, text: string): Promise<unknown> {
  // The parser is several megabytes: loaded only when there is a file for it.
  const { parse } = await import('./hcl-parser.js');
  const [parsed, error] = parse(text);
  // The parser's error object tells neither line nor reason.
  if (error !== null && error !== undefined)
    throw new InvalidSettingsError(`${file}: cannot be parsed as HCL`);
  return parsed;
}

export function jobIdOf(id: string): JobId {
  if (!isJobId(id)) throw new InvalidSettingsError(`${id}: a job id looks like run-000412`);
  return id;
}

/** `what`: whose address it is, and what one looks like. */
export function addrOf(addr: string, what: string): string {
  if (!/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/.test(addr)) throw new InvalidSettingsError(`${addr}: ${what}`);
  return addr;
}
