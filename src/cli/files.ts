// Reads the files that commands are given.
import { readFileSync } from 'node:fs';
import { InvalidSettingsError } from '../protocol/settings.ts';

/** The text of a file; throws `InvalidSettingsError`, naming the file. */
export function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (cause) {
    const reason = (cause as NodeJS.ErrnoException).code ?? String(cause);
    throw new InvalidSettingsError(`${file}: cannot be read: ${reason}`, { cause });
  }
}

/** Parses HCL; throws `InvalidSettingsError`, naming the file. */
export async function parseHcl(file: string, text: string): Promise<unknown> {
  // The parser is several megabytes: loaded only when there is a file for it.
  const { parse } = await import('./hcl-parser.js');
  const [parsed, error] = parse(text);
  // The parser's error object tells neither line nor reason.
  if (error !== null && error !== undefined)
    throw new InvalidSettingsError(`${file}: cannot be parsed as HCL`, { cause: error });
  return parsed;
}
