// npm run behaviour: compares digests of what controllers send in generated histories with the expected
// digests in test/fixtures/behaviour-digests.json.
import { readFileSync, writeFileSync } from 'node:fs';
import { Command } from 'commander';
import { digestOfSeed } from '../test/support/behaviour-digest.ts';

const FIXTURE = 'test/fixtures/behaviour-digests.json';

const program = new Command('behaviour')
  .description(
    'compares digests of what controllers send in generated histories with the stored digests; exits with 1 if any differs',
  )
  .option('--write', 'store the digests of the current sources as the expected ones')
  .parse();

/** Digest of each seed's history, by seed. */
type Digests = Record<string, string>;

const expected = JSON.parse(readFileSync(FIXTURE, 'utf8')) as Digests;
const actual: Digests = Object.fromEntries(
  Object.keys(expected).map((seed) => [seed, digestOfSeed(Number(seed))]),
);
const different = Object.keys(expected).filter((seed) => actual[seed] !== expected[seed]);
for (const seed of different)
  console.log(`seed ${seed}: expected digest ${expected[seed]}, got ${actual[seed]}`);
console.log(`behaviour: seeds=${Object.keys(expected).length} different=${different.length}`);
if (program.opts<{ write?: true }>().write) writeFileSync(FIXTURE, `${JSON.stringify(actual, null, 2)}\n`);
else process.exitCode = different.length > 0 ? 1 : 0;
