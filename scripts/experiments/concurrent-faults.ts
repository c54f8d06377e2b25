// npm run drill -- meetings: many histories of troubles that meet, over the world in memory, judged by the users' rules. A history
// that breaks one is shrunk and printed, and can be played again from a file.
import { readFileSync } from 'node:fs';
import { Command, InvalidArgumentError } from 'commander';
import fc from 'fast-check';
import {
  FAULT_COMBINATIONS,
  type History,
  historyArbitrary,
  playHistory,
  SAMPLING,
} from '../../test/support/fault-history.ts';

const whole = (v: string): number => {
  const n = Number(v);
  if (!Number.isInteger(n) || n < 1) throw new InvalidArgumentError('a whole number from 1 on is expected');
  return n;
};

interface Options {
  histories: number;
  seed: number;
  replay?: string;
  log?: boolean;
}

/** A history from a file; says in one line what is wrong with it. */
function read(file: string): History {
  try {
    const h = JSON.parse(readFileSync(file, 'utf8')) as Partial<History> | null;
    if (
      Array.isArray(h?.jobs) &&
      Array.isArray(h.troubles) &&
      Number.isInteger(h.seed) &&
      Number(h.nodes) > 0
    )
      return h as History;
    throw new Error('it has no jobs, troubles, seed and nodes');
  } catch (e) {
    process.stderr.write(`meetings: ${file} is no history: ${(e as Error).message}\n`);
    process.exit(2);
  }
}

function main(o: Options): void {
  const met = Object.fromEntries(FAULT_COMBINATIONS.map((m) => [m, 0])) as Record<string, number>;
  let played = 0;
  let notPlayed = 0;
  let broken = 0;
  let latest = 0;
  let silence = 0;
  let needless = 0;
  let started = 0;
  const one = (h: History): string[] => {
    const v = playHistory(h, o.log ? (lines) => process.stdout.write(`${lines.join('\n')}\n`) : undefined);
    for (const m of FAULT_COMBINATIONS) met[m]! += v.met[m];
    latest = Math.max(latest, v.latestGoneMs);
    silence = Math.max(silence, v.longestSilenceMs);
    needless = Math.max(needless, v.longestNeedlessMs);
    started = Math.max(started, v.latestStartMs);
    played++;
    if (!v.played) notPlayed++;
    return v.broken;
  };
  if (o.replay !== undefined) {
    const found = one(read(o.replay));
    broken = found.length;
    for (const b of found) process.stdout.write(`${b}\n`);
  } else {
    const property = fc.property(historyArbitrary, (h) => one(h).length === 0);
    const r = fc.check(property, { ...SAMPLING, numRuns: o.histories, seed: o.seed });
    if (r.failed && r.counterexample !== null) {
      const [h] = r.counterexample;
      const found = playHistory(h).broken;
      broken = Math.max(1, found.length);
      for (const b of found) process.stdout.write(`${b}\n`);
      process.stdout.write(`${JSON.stringify(h)}\n`);
    }
  }
  for (const m of FAULT_COMBINATIONS) process.stdout.write(`met ${m}: ${met[m]}\n`);
  process.stdout.write(`latest gone ${(latest / 1000).toFixed(1)} s after the confirmation, of 40 s\n`);
  process.stdout.write(`longest silence ${(silence / 1000).toFixed(1)} s after the last trouble, of 75 s\n`);
  process.stdout.write(`longest needless wait ${(needless / 1000).toFixed(1)} s, of 90 s\n`);
  process.stdout.write(
    `latest start of a cancelled job ${(started / 1000).toFixed(1)} s after the confirmation, of 4.1 s\n`,
  );
  const sum = Object.values(met).reduce((a, b) => a + b, 0);
  process.stdout.write(
    `meetings: histories=${played} met=${sum} rules_broken=${broken} not_played=${notPlayed}\n`,
  );
  process.exitCode = broken > 0 ? 1 : 0;
}

const program = new Command('meetings')
  .description('histories of troubles that meet, judged by the rules; exits with 1 when one is broken')
  .option('--histories <n>', 'how many', whole, 300)
  .option('--seed <n>', 'of the first', whole, 1)
  .option('--replay <file>', 'one history, as a failed run printed it')
  .option('--log', 'print what the controllers log')
  .exitOverride((e) => process.exit(e.exitCode === 0 ? 0 : 2))
  .action(main);
program.parse();
