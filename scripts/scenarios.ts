// npm run scenarios: runs days of the users' bench on copies of their sites (scenarios.json), without
// charging processor time, and compares the results with an earlier revision in the same run. Several seeds
// are used, because the score of a single seed is not representative.
import { resolve } from 'node:path';
import { Command } from 'commander';
import { formatObjectives, formatRow, rowFailures } from './scenario-row.ts';
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
  if (options.aims)
    for (const row of rows) print(`${row.name} ${row.day}\n${formatObjectives(row).join('\n')}`);
  const failures = rows.flatMap(rowFailures);
  for (const failure of failures) print(`FAILED ${failure}`);
  print(`plays: days=${rows.length} seeds=${seeds.length} failures=${failures.length}`);
  if (failures.length > 0) process.exitCode = 1;
}

const program = new Command('scenarios')
  .description("run days of the users' bench on copies of their sites, with several seeds")
  .option('--kit <dir>', "folder of the users' kit", '../given/kit')
  .option('--dir <dir>', 'folder for copies and reports: outside the repository, not below /tmp', '../plays')
  .option('--base <revision>', 'earlier revision to compare with')
  .option('--seeds <n...>', 'seeds', ['31', '32', '33'])
  .option('--only <names...>', 'run only these scenarios of scripts/scenarios.json')
  .option('--jobs <n>', 'number of runs in parallel', '4')
  .option('--aims', 'print the degree to which each objective is met')
  .option('--why <text>', 'purpose and expected result of the run, for the journal', 'paired plays')
  .action(main);
await program.parseAsync();
