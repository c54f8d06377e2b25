// npm run scaled-sites: writes a copy of a site of the users' kit with other numbers of machines, zones or
// controllers, or other shares of the teams, to be run by their bench. Users run variants of the sites in the
// kit, so results at the original sites alone are not representative.
import { basename, dirname, resolve } from 'node:path';
import { Command } from 'commander';
import { InvalidInputError } from './errors.ts';
import { type SiteChange, writeChangedSite } from './site-changes.ts';

/** Options with a numeric value that map to the field of `SiteChange` with the same name. */
const NUMERIC_CHANGES = [
  'capacity',
  'images',
  'load',
  'zones',
  'controllers',
  'restartS',
  'quotas',
  'runS',
  'cancelled',
  'teams',
  'gangs',
  'arrays',
] as const;

interface Options extends Pick<SiteChange, (typeof NUMERIC_CHANGES)[number]> {
  zone?: string;
  team?: string;
  mix?: string[];
}

/** Parses NAME=FACTOR. */
function parseFactor(text: string): { name: string; factor: number } {
  const [name, factor] = text.split('=');
  if (name === undefined || !(Number(factor) > 0))
    throw new InvalidInputError(`expected NAME=FACTOR with a factor above 0, got ${text}`);
  return { name, factor: Number(factor) };
}

function changeOf(options: Options): SiteChange {
  const change: SiteChange = {};
  for (const name of NUMERIC_CHANGES) if (options[name] !== undefined) change[name] = options[name];
  if (options.zone !== undefined) {
    const { name, factor } = parseFactor(options.zone);
    change.zone = { name, capacity: factor };
  }
  if (options.team !== undefined) {
    const { name, factor } = parseFactor(options.team);
    change.team = { name, weight: factor };
  }
  if (options.mix !== undefined && options.mix.length > 0)
    change.mix = Object.fromEntries(options.mix.map(parseFactor).map(({ name, factor }) => [name, factor]));
  return change;
}

function main(site: string, outputFile: string, options: Options): void {
  const folder = dirname(resolve(outputFile));
  const path = writeChangedSite(resolve(site), folder, basename(outputFile, '.toml'), changeOf(options));
  process.stdout.write(`${path}\n`);
}

const program = new Command('scaled-sites')
  .description("write a changed copy of one of the kit's sites, for the users' bench")
  .argument('<site>', 'site file')
  .argument('<out>', 'file to write, outside the repository and not below /tmp')
  .option('--capacity <factor>', 'factor on the number of machines', Number)
  .option('--zone <name=factor>', 'factor on the number of machines of one zone')
  .option('--images <factor>', 'factor on the number of images of each class', Number)
  .option('--load <factor>', 'factor on arrivals and on the jobs at the start', Number)
  .option('--zones <n>', 'number of zones', Number)
  .option('--controllers <n>', 'number of controllers', Number)
  .option('--restart-s <seconds>', 'time after which a controller that ended is restarted', Number)
  .option('--run-s <factor>', 'factor on the run time of tasks', Number)
  .option('--cancelled <part>', "fraction of each class's jobs that users cancel", Number)
  .option('--quotas <factor>', 'factor on the guarantees and limits of teams', Number)
  .option('--team <name=factor>', "factor on a team's weight")
  .option('--teams <n>', "replace the site's teams by this many teams with quotas", Number)
  .option('--mix <type=factor...>', 'factors on the numbers of machines of some types')
  .option('--gangs <n>', 'number of tasks of the largest gangs', Number)
  .option('--arrays <n>', 'number of tasks of the largest arrays', Number)
  .action(main);
program.parse();
