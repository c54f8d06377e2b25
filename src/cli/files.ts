// Reads the files that are arguments of commands.
import { readFileSync } from 'node:fs';
import { InvalidSettingsError } from '../protocol/settings.ts';

/** Reads a text file; throws `InvalidSettingsError`, naming the file. */
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
  // The parser is several megabytes, so it is loaded only when there is a file to parse.
  const { parse } = await import('./hcl-parser.js');
  const [parsed, error] = parse(text);
  // The parser's error object contains neither the line nor the reason.
  if (error !== null && error !== undefined)
    throw new InvalidSettingsError(`${file}: cannot be parsed as HCL`, { cause: error });
  return parsed;
}
