// Output of the commands on standard output and standard error.

/** Prints a line on standard output. */
export const print = (line: string): void => void process.stdout.write(`${line}\n`);

/** Prints an error's message in one line on standard error. */
export function printError(error: unknown): void {
  const text = error instanceof Error ? error.message : String(error);
  process.stderr.write(`swiftford: ${text}\n`);
}
