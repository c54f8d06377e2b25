// npm run scenarios: days of the users' bench at copies of their sites (scenarios.json), over several seeds
// with no processor time charged, paired with an earlier revision in the same run. The level of one seed says
// little.
import { resolve } from 'node:path';
import { Command } from 'commander';
import { formatAims, formatRow, rowFailures } from './scenario-row.ts';
import { readScenarios, runScenarios } from './scenario-runner.ts';

interface Options {
  kit: string;
  dir: string;
  base?: string;
  seeds: string[];
  only?: string[];
  jobs: string;
  aims?: boolean;
  why: string;
}

const print = (line: string): boolean => process.stdout.write(`${line}\n`);

async function main(options: Options): Promise<void> {
  const { only, seeds } = options;
  const chosen = readScenarios().filter(({ name }) => only === undefined || only.includes(name));
  const rows = await runScenarios(
    chosen,
    {
      kit: options.kit,
      dir: resolve(options.dir),
      seeds: seeds.map(Number),
      jobs: Number(options.jobs),
      base: options.base ?? null,
      why: options.why,
    },
    (row) => print(formatRow(row)),
  );
  if (options.aims) for (const row of rows) print(`${row.name} ${row.day}\n${formatAims(row).join('\n')}`);
  const failures = rows.flatMap(rowFailures);
  for (const failure of failures) print(`FAILED ${failure}`);
  print(`plays: days=${rows.length} seeds=${seeds.length} failures=${failures.length}`);
  if (failures.length > 0) process.exitCode = 1;
}

const program = new Command('scenarios')
  .description("days of the users' bench at copies of their sites, over several seeds")
  .option('--kit <dir>', "folder of the users' kit", '../given/kit')
  .option('--dir <dir>', 'where copies and reports go: not below /tmp', '../plays')
  .option('--base <revision>', 'revision to pair with')
  .option('--seeds <n...>', 'seeds', ['31', '32', '33'])
  .option('--only <names...>', 'only these of scripts/scenarios.json')
  .option('--jobs <n>', 'runs at once', '4')
  .option('--aims', 'print every aim')
  .option('--why <text>', 'what was tried and is expected, for the journal', 'paired plays')
  .action(main);
await program.parseAsync();
