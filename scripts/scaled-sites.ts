// npm run scaled-sites: a copy of a deployment of the users' kit with other numbers of machines, zones,
// controllers, or other shares of the teams, to be played by their bench: what they play is never quite the
// site as it is on file.
import { basename, dirname, resolve } from 'node:path';
import { Command } from 'commander';
import { InvalidInputError } from './errors.ts';
import { type SiteChange, writeChangedSite } from './site-changes.ts';

/** Options with one number, which are changes by the same name. */
const NUMBERS = [
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

interface Options extends Pick<SiteChange, (typeof NUMBERS)[number]> {
  zone?: string;
  team?: string;
  mix?: string[];
}

/** Reads NAME=FACTOR. */
function parseFactor(text: string): { name: string; factor: number } {
  const [name, factor] = text.split('=');
  if (name === undefined || !(Number(factor) > 0))
    throw new InvalidInputError(`NAME=FACTOR is expected, not ${text}`);
  return { name, factor: Number(factor) };
}

function changeOf(options: Options): SiteChange {
  const change: SiteChange = {};
  for (const name of NUMBERS) if (options[name] !== undefined) change[name] = options[name];
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

function main(site: string, out: string, options: Options): void {
  const folder = dirname(resolve(out));
  const path = writeChangedSite(resolve(site), folder, basename(out, '.toml'), changeOf(options));
  process.stdout.write(`${path}\n`);
}

const program = new Command('scaled-sites')
  .description("a copy of one of the kit's sites with other numbers, for the users' bench")
  .argument('<site>', 'site file')
  .argument('<out>', 'file to write, outside the repository and not below /tmp')
  .option('--capacity <factor>', 'machines', Number)
  .option('--zone <name=factor>', 'machines of one zone')
  .option('--images <factor>', 'images of each class', Number)
  .option('--load <factor>', 'arrivals and jobs at the start', Number)
  .option('--zones <n>', 'number of zones', Number)
  .option('--controllers <n>', 'number of controllers', Number)
  .option('--restart-s <seconds>', 'after which a controller that ends is back', Number)
  .option('--run-s <factor>', 'how long tasks run', Number)
  .option('--cancelled <part>', "of each class's jobs", Number)
  .option('--quotas <factor>', 'what teams are guaranteed and limited to', Number)
  .option('--team <name=factor>', "a team's weight")
  .option('--teams <n>', 'teams with quotas in place of those of the site', Number)
  .option('--mix <type=factor...>', 'machines of some types')
  .option('--gangs <n>', 'tasks of the largest gangs', Number)
  .option('--arrays <n>', 'tasks of the largest arrays', Number)
  .action(main);
program.parse();
