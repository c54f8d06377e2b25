// Runs the tests and judges the outcome beside KNOWN-RED.txt. The runner's own output and counts are printed as they are.
import { existsSync, readFileSync } from 'node:fs';
import type { Readable } from 'node:stream';
import { run } from 'node:test';
import { tap } from 'node:test/reporters';
import { Command } from 'commander';
import { judge, type Outcome, parse, printed } from './known-red.ts';

const program = new Command('unit')
  .argument('<files...>', 'test files')
  .option('--known <file>', 'tests that are known to fail', 'KNOWN-RED.txt')
  .configureOutput({ outputError: (text, write) => write(text.replace(/^error: /, 'unit: ')) })
  .exitOverride((e) => process.exit(e.exitCode === 0 ? 0 : 2))
  .parse();
const { known: file } = program.opts<{ known: string }>();
const { known, errors } = parse(existsSync(file) ? readFileSync(file, 'utf8') : '');

const outcomes: Outcome[] = [];
const stream = run({ files: program.args, concurrency: true });
// Suites are judged by the tests within them.
const took = (passed: boolean) => (t: { name: string; details: { type?: string } }) => {
  if (t.details.type !== 'suite') outcomes.push({ name: t.name, passed });
};
stream.on('test:pass', took(true));
stream.on('test:fail', took(false));
// Its own exit code knows nothing of known reds; the verdict below stands for it.
(stream.compose(tap as never) as unknown as Readable)
  .on('end', () => {
    for (const k of known) console.log(printed(k));
    const all = [...errors, ...judge(known, outcomes)];
    for (const e of all) console.error(`unit: ${e}`);
    process.exit(all.length === 0 ? 0 : 1);
  })
  .pipe(process.stdout, { end: false });
