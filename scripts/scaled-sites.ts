// Copies of a deployment of the users' kit with other numbers of machines, zones, controllers, or other shares of the
// teams, to be played by their bench: what they play is never quite the site as it is on file. The copy is written
// outside the repository; nothing of the kit is kept in it.
import { copyFileSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { basename, dirname, join, resolve } from 'node:path';
import { Command } from 'commander';
import { parse, stringify } from 'smol-toml';

export interface Change {
  /** Factor on every count of machines. */
  capacity?: number;
  /** Factor on the counts of one zone, instead of `capacity`. */
  zone?: { name: string; capacity: number };
  /** Factor on the number of images of each class. */
  images?: number;
  /** Factor on arrivals and on the jobs at the start. */
  load?: number;
  /** Zones that machines are in: the first so many, or new ones, each with a copy of what the zones have in turn. */
  zones?: number;
  controllers?: number;
  /** Seconds after which a controller that ends is back. */
  restartS?: number;
  /** Factor on what teams are guaranteed and limited to. */
  quotas?: number;
  /** Factor on how long tasks run. */
  runS?: number;
  /** The part of each class's jobs that their users cancel. */
  cancelled?: number;
  /** Factor on a team's weight. */
  team?: { name: string; weight: number };
  /** So many teams with quotas in place of those of the site, which share out the classes as those do. */
  teams?: number;
  /** Factors on the machines of some types, beside `capacity`. */
  mix?: Record<string, number>;
  /** Tasks of the largest gangs and of the largest arrays. */
  gangs?: number;
  arrays?: number;
}

const QUOTAS = ['cpus', 'cpus_max', 'gpus', 'gpus_max'] as const;
type Quota = (typeof QUOTAS)[number];

/** What is changed of a site; the rest is passed through. */
interface Site {
  name: string;
  nodes: { count: number; zones: string[]; restart_delay_s?: number };
  capacity: { type: string; zone: string; count: number; spot: number }[];
  /** Up at the start. */
  machines?: { type: string; zone: string; count: number }[];
  jobs: {
    name: string;
    initial: number;
    arrivals: { rate: number };
    images: { count: number };
    run_s?: Record<string, number>;
    cancelled?: number;
    kind?: string;
    cpus: number;
    gpus: number;
    tasks?: { sizes?: number[]; weights?: number[]; median?: number; p95?: number; max?: number };
    teams?: string[];
  }[];
  machine_types?: { name: string; cpus: number; gpus?: number }[];
  teams?: ({ name: string; weight?: number } & { [quota in Quota]?: number })[];
  day?: { faults?: { zone?: string }[] }[];
}

const scaled = (n: number, by: number): number => Math.max(1, Math.round(n * by));

/** The text of the copy. The names of zones that troubles speak of are kept where there are as many. */
export function changed(text: string, name: string, c: Change): string {
  const site = parse(text) as unknown as Site;
  site.name = name;
  const factor = (zone: string): number => (c.zone?.name === zone ? c.zone.capacity : (c.capacity ?? 1));
  for (const m of site.machines ?? []) m.count = scaled(m.count, factor(m.zone));
  for (const m of site.capacity) {
    const by = factor(m.zone) * (c.mix?.[m.type] ?? 1);
    m.count = scaled(m.count, by);
    m.spot = Math.min(m.count, scaled(m.spot, by));
  }
  if (c.zones !== undefined) rezone(site, c.zones);
  for (const j of site.jobs) {
    if (c.images !== undefined) j.images.count = scaled(j.images.count, c.images);
    for (const k of Object.keys(j.run_s ?? {})) j.run_s![k]! *= c.runS ?? 1;
    if (c.cancelled !== undefined) j.cancelled = c.cancelled;
    if (c.load !== undefined) {
      j.initial = scaled(j.initial, c.load);
      j.arrivals.rate *= c.load;
    }
  }
  if (c.controllers !== undefined) site.nodes.count = c.controllers;
  if (c.restartS !== undefined) site.nodes.restart_delay_s = c.restartS;
  for (const t of site.teams ?? []) for (const q of QUOTAS) if (t[q] !== undefined) t[q] *= c.quotas ?? 1;
  for (const j of site.jobs) resizeTasks(j, c);
  if (c.teams !== undefined) replaceTeams(site, c.teams);
  const team = site.teams?.find((t) => t.name === c.team?.name);
  if (c.team !== undefined && team === undefined) throw new Error(`no team ${c.team.name} in the site`);
  if (c.team !== undefined && team !== undefined) team.weight = (team.weight ?? 1) * c.team.weight;
  return stringify(site);
}

/** Weight of gangs as large as the largest, beside those that the site has. */
const LARGE_GANGS = 0.02;
/** Arrays with the most tasks that are asked for are rare: one in twenty has a third of that. */
const P95_OF_MAX = 1 / 3;

function resizeTasks({ kind, tasks }: Site['jobs'][number], c: Change): void {
  if (tasks === undefined) return;
  if (kind === 'gang' && c.gangs !== undefined && tasks.sizes !== undefined && tasks.weights !== undefined) {
    const total = tasks.weights.reduce((a, b) => a + b, 0);
    for (const size of [c.gangs / 8, c.gangs]) {
      if (tasks.sizes.includes(size)) continue;
      tasks.sizes.push(Math.max(1, Math.round(size)));
      tasks.weights.push(total * LARGE_GANGS * (size === c.gangs ? 1 : 2));
    }
  }
  if (kind === 'array' && c.arrays !== undefined && tasks.max !== undefined) {
    tasks.p95 = Math.max(tasks.p95 ?? 0, Math.round(c.arrays * P95_OF_MAX));
    tasks.max = Math.max(tasks.max, c.arrays);
  }
}

/** Part of its even share of all machines that a team is guaranteed, and how many times that share it may use. */
const GUARANTEED = 0.5;
const AT_MOST = 4;
/** Teams ask for between this and twice as much. */
const LEAST_WEIGHT = 0.5;

/** Each team of the site gives its place in the classes to an even part of the new ones. */
function replaceTeams(site: Site, n: number): void {
  const old = (site.teams ?? []).map((t) => t.name);
  const sizes = new Map((site.machine_types ?? []).map((t) => [t.name, t]));
  const total = { cpus: 0, gpus: 0 };
  for (const m of site.capacity) {
    total.cpus += m.count * (sizes.get(m.type)?.cpus ?? 0);
    total.gpus += m.count * (sizes.get(m.type)?.gpus ?? 0);
  }
  const names = Array.from({ length: n }, (_, i) => `team${String(i + 1).padStart(3, '0')}`);
  const quota = (all: number, times: number): number => Math.round((all / n) * times);
  site.teams = names.map((name, i) => ({
    name,
    weight: LEAST_WEIGHT * 2 ** (i % 3),
    cpus: quota(total.cpus, GUARANTEED),
    cpus_max: quota(total.cpus, AT_MOST),
    gpus: quota(total.gpus, GUARANTEED),
    gpus_max: quota(total.gpus, AT_MOST),
  }));
  for (const j of site.jobs)
    if (j.teams !== undefined && old.length > 0)
      j.teams = names.filter((_, i) => j.teams!.includes(old[i % old.length]!));
}

/** The whole capacity of each type in n zones, as evenly as it goes. */
function rezone(site: Site, n: number): void {
  const names = [...new Set(site.capacity.map((m) => m.zone))];
  while (names.length < n) names.push(`zone${names.length + 1}`);
  const kept = names.slice(0, n);
  const types = new Map<string, Site['capacity'][number]>();
  for (const m of site.capacity) {
    const all = types.get(m.type);
    if (all === undefined) types.set(m.type, { ...m });
    else {
      all.count += m.count;
      all.spot += m.spot;
    }
  }
  site.capacity = kept.flatMap((zone) =>
    [...types.values()].map((m) => ({
      ...m,
      zone,
      count: scaled(m.count, 1 / n),
      spot: scaled(m.spot, 1 / n),
    })),
  );
  for (const m of site.machines ?? []) if (!kept.includes(m.zone)) m.zone = kept[0]!;
  const zones = site.nodes.zones.filter((z) => kept.includes(z));
  site.nodes.zones = zones.length > 0 ? zones : kept.slice(0, 1);
  for (const d of site.day ?? [])
    for (const f of d.faults ?? []) if (f.zone !== undefined && !kept.includes(f.zone)) f.zone = kept.at(-1)!;
}

/**
 * A day of our own, made to fit a site: a zone called "@zone" is its last one, "@first" that of the first controller, and a trouble for the class "@each" strikes
 * each class, `EACH_S` seconds apart.
 */
export function dayFor(day: string, site: string): string {
  const s = parse(site) as unknown as Site;
  const out = parse(day) as unknown as { day: { faults: Fault[] }[] };
  for (const d of out.day)
    d.faults = d.faults.flatMap((f) => {
      const zone =
        f.zone === '@zone' ? s.capacity.at(-1)!.zone : f.zone === '@first' ? s.nodes.zones[0]! : f.zone;
      const here = zone === undefined ? f : { ...f, zone };
      if (f.class !== '@each') return [here];
      return s.jobs.map((j, i) => ({ ...here, class: j.name, at_s: f.at_s + i * EACH_S }));
    });
  return stringify(out);
}
const EACH_S = 60;
interface Fault {
  at_s: number;
  zone?: string;
  class?: string;
}

/** Writes a copy, with what the bench looks for beside it; returns its path. */
export function writeCopy(site: string, dir: string, name: string, c: Change): string {
  mkdirSync(dir, { recursive: true });
  const out = join(dir, `${name}.toml`);
  writeFileSync(out, changed(readFileSync(site, 'utf8'), name, c));
  copyFileSync(join(dirname(site), 'wire.json'), join(dir, 'wire.json'));
  return out;
}

const pair = (v: string): { name: string; by: number } => {
  const [name, by] = v.split('=');
  if (name === undefined || !(Number(by) > 0)) throw new Error(`NAME=FACTOR is expected, not ${v}`);
  return { name, by: Number(by) };
};

if (basename(process.argv[1] ?? '') === 'scaled-sites.ts') {
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
    .option('--arrays <n>', 'tasks of the largest arrays', Number);
  program.parse();
  const o = program.opts<Record<string, number & string>>();
  const c: Change = { capacity: o.capacity, images: o.images, load: o.load, zones: o.zones };
  if (o.controllers !== undefined) c.controllers = o.controllers;
  if (o.restartS !== undefined) c.restartS = o.restartS;
  if (o.quotas !== undefined) c.quotas = o.quotas;
  if (o.runS !== undefined) c.runS = o.runS;
  if (o.cancelled !== undefined) c.cancelled = o.cancelled;
  if (o.zone !== undefined) c.zone = { name: pair(o.zone).name, capacity: pair(o.zone).by };
  if (o.teams !== undefined) c.teams = o.teams;
  if (o.gangs !== undefined) c.gangs = o.gangs;
  if (o.arrays !== undefined) c.arrays = o.arrays;
  const mix = (o.mix ?? []) as unknown as string[];
  if (mix.length > 0) c.mix = Object.fromEntries(mix.map((m) => [pair(m).name, pair(m).by]));
  if (o.team !== undefined) c.team = { name: pair(o.team).name, weight: pair(o.team).by };
  const [site, out] = program.args as [string, string];
  const path = writeCopy(resolve(site), dirname(resolve(out)), basename(out, '.toml'), c);
  process.stdout.write(`${path}\n`);
}
