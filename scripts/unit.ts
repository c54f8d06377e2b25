// Test runner: runs the test files and fails unless the failing tests are exactly those listed in
// KNOWN-RED.txt. A file that does not end within its time is killed and fails. The output and counts of
// node:test are printed unchanged.
import { existsSync, readFileSync } from 'node:fs';
import type { Readable } from 'node:stream';
import { run } from 'node:test';
import { tap } from 'node:test/reporters';
import { Command } from 'commander';
import { failuresOf, formatKnownRed, type Outcome, parseKnownReds } from './known-red.ts';
import { wholeNumber } from './option-values.ts';

/** Time of one test file; one that hangs has to fail before CI ends the whole run. */
const FILE_LIMIT_S = 600;

const program = new Command('unit')
  .argument('<files...>', 'test files')
  .option('--known <file>', 'tests that are known to fail', 'KNOWN-RED.txt')
  .option(
    '--file-limit <seconds>',
    'time after which a file is killed and fails',
    wholeNumber(1),
    FILE_LIMIT_S,
  )
  .configureOutput({ outputError: (text, write) => write(text.replace(/^error: /, 'unit: ')) })
  .exitOverride((error) => process.exit(error.exitCode === 0 ? 0 : 2))
  .parse();
const { known: file, fileLimit } = program.opts<{ known: string; fileLimit: number }>();
const { known, errors } = parseKnownReds(existsSync(file) ? readFileSync(file, 'utf8') : '');

const outcomes: Outcome[] = [];
const stream = run({ files: program.args, concurrency: true, timeout: fileLimit * 1000 });
// Suites are left out: their outcome follows from the tests in them.
const recordOutcome =
  (passed: boolean) =>
  (test: { name: string; details: { type?: string } }): void => {
    if (test.details.type !== 'suite') outcomes.push({ name: test.name, passed });
  };
stream.on('test:pass', recordOutcome(true));
stream.on('test:fail', recordOutcome(false));

function finish(): void {
  for (const red of known) console.log(formatKnownRed(red));
  const failures = [...errors, ...failuresOf(known, outcomes)];
  for (const failure of failures) console.error(`unit: ${failure}`);
  process.exit(failures.length === 0 ? 0 : 1);
}

// The exit code is set by `finish`, because node:test does not take KNOWN-RED.txt into account.
const report = stream.compose(tap as never) as unknown as Readable;
report.on('end', finish).pipe(process.stdout, { end: false });
