// npm run behaviour: compares the digests of behaviour with those kept in
// test/fixtures/behaviour-digests.json.
import { readFileSync, writeFileSync } from 'node:fs';
import { Command } from 'commander';
import { digestOfSeed } from '../test/support/behaviour-digest.ts';

const FIXTURE = 'test/fixtures/behaviour-digests.json';

const program = new Command('behaviour')
  .description(
    'compares what controllers send in drawn histories with the digests kept; exits with 1 when one differs',
  )
  .option('--write', 'keep the digests of the sources as they stand')
  .parse();

/** Digests by seed. */
type Digests = Record<string, string>;

const kept = JSON.parse(readFileSync(FIXTURE, 'utf8')) as Digests;
const found: Digests = Object.fromEntries(
  Object.keys(kept).map((seed) => [seed, digestOfSeed(Number(seed))]),
);
const different = Object.keys(kept).filter((seed) => found[seed] !== kept[seed]);
for (const seed of different) console.log(`seed ${seed}: ${found[seed]}, kept ${kept[seed]}`);
console.log(`behaviour: seeds=${Object.keys(kept).length} different=${different.length}`);
if (program.opts<{ write?: true }>().write) writeFileSync(FIXTURE, `${JSON.stringify(found, null, 2)}\n`);
else process.exitCode = different.length > 0 ? 1 : 0;
