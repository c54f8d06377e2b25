// Changed copies of the sites of the users' kit: other numbers of machines, zones and controllers, or other
// teams. Pure but for `writeChangedSite`, which writes outside the repository: nothing of the kit is kept in
// it.
import { copyFileSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { parse, stringify } from 'smol-toml';
import { InvalidInputError } from './errors.ts';

/** What is changed of a site; what is absent stays. */
export interface SiteChange {
  /** Factor on every count of machines. */
  capacity?: number;
  /** Factor on the counts of one zone, instead of `capacity`. */
  zone?: { name: string; capacity: number };
  /** Factor on the number of images of each class. */
  images?: number;
  /** Factor on arrivals and on the jobs at the start. */
  load?: number;
  /**
   * Zones that machines are in: the first so many, or new ones, each with a copy of what the zones have in
   * turn.
   */
  zones?: number;
  /** Number of controllers. */
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

/** Machines of a type in a zone. */
interface SiteCapacity {
  type: string;
  zone: string;
  count: number;
  spot: number;
}

/** How many tasks jobs of a class have. */
interface SiteTasks {
  sizes?: number[];
  weights?: number[];
  median?: number;
  p95?: number;
  max?: number;
}

/** A class of jobs. */
interface SiteJobs {
  name: string;
  initial: number;
  arrivals: { rate: number };
  images: { count: number };
  run_s?: Record<string, number>;
  cancelled?: number;
  kind?: string;
  cpus: number;
  gpus: number;
  tasks?: SiteTasks;
  teams?: string[];
}

type SiteTeam = { name: string; weight?: number } & { [Amount in Quota]?: number };

/** What is changed of a site; the rest is passed through. */
export interface Site {
  name: string;
  nodes: { count: number; zones: string[]; restart_delay_s?: number };
  capacity: SiteCapacity[];
  /** Up at the start. */
  machines?: { type: string; zone: string; count: number }[];
  jobs: SiteJobs[];
  machine_types?: { name: string; cpus: number; gpus?: number }[];
  teams?: SiteTeam[];
  day?: { faults?: { zone?: string }[] }[];
}

/** Weight of gangs as large as the largest, beside those that the site has. */
const LARGE_GANGS_WEIGHT = 0.02;
/** Arrays with the most tasks that are asked for are rare: one in twenty has a third of that. */
const P95_OF_MAX = 1 / 3;
/**
 * Part of its even share of all machines that a team is guaranteed, and how many times that share it may use.
 */
const GUARANTEED = 0.5;
const AT_MOST = 4;
/** Teams ask for between this and four times as much. */
const LEAST_WEIGHT = 0.5;

const scaled = (count: number, factor: number): number => Math.max(1, Math.round(count * factor));

/** Reads the text of a site. */
export const parseSite = (text: string): Site => parse(text) as unknown as Site;

/**
 * The text of a changed copy. The names of zones that faults speak of are kept where there are as many.
 *
 * @throws InvalidInputError if the change is for a team that the site does not have
 */
export function changedSite(text: string, name: string, change: SiteChange): string {
  const site = parseSite(text);
  site.name = name;
  scaleMachines(site, change);
  if (change.zones !== undefined) changeZones(site, change.zones);
  for (const jobs of site.jobs) changeLoad(jobs, change);
  if (change.controllers !== undefined) site.nodes.count = change.controllers;
  if (change.restartS !== undefined) site.nodes.restart_delay_s = change.restartS;
  for (const team of site.teams ?? [])
    for (const quota of QUOTAS) if (team[quota] !== undefined) team[quota] *= change.quotas ?? 1;
  for (const jobs of site.jobs) changeTaskCounts(jobs, change);
  if (change.teams !== undefined) replaceTeams(site, change.teams);
  if (change.team !== undefined) changeWeight(site, change.team);
  return stringify(site);
}

/** Writes a changed copy, with what the bench looks for beside it; returns its path. */
export function writeChangedSite(site: string, dir: string, name: string, change: SiteChange): string {
  mkdirSync(dir, { recursive: true });
  const path = join(dir, `${name}.toml`);
  writeFileSync(path, changedSite(readFileSync(site, 'utf8'), name, change));
  copyFileSync(join(dirname(site), 'wire.json'), join(dir, 'wire.json'));
  return path;
}

function scaleMachines(site: Site, { zone, capacity, mix }: SiteChange): void {
  const factorOf = (name: string): number => (zone?.name === name ? zone.capacity : (capacity ?? 1));
  for (const machines of site.machines ?? [])
    machines.count = scaled(machines.count, factorOf(machines.zone));
  for (const machines of site.capacity) {
    const factor = factorOf(machines.zone) * (mix?.[machines.type] ?? 1);
    machines.count = scaled(machines.count, factor);
    machines.spot = Math.min(machines.count, scaled(machines.spot, factor));
  }
}

function changeLoad(jobs: SiteJobs, { images, runS, cancelled, load }: SiteChange): void {
  if (images !== undefined) jobs.images.count = scaled(jobs.images.count, images);
  for (const key of Object.keys(jobs.run_s ?? {})) jobs.run_s![key]! *= runS ?? 1;
  if (cancelled !== undefined) jobs.cancelled = cancelled;
  if (load === undefined) return;
  jobs.initial = scaled(jobs.initial, load);
  jobs.arrivals.rate *= load;
}

function changeTaskCounts({ kind, tasks }: SiteJobs, { gangs, arrays }: SiteChange): void {
  if (tasks === undefined) return;
  if (kind === 'gang' && gangs !== undefined) addLargeGangs(tasks, gangs);
  if (kind === 'array' && arrays !== undefined && tasks.max !== undefined) {
    tasks.p95 = Math.max(tasks.p95 ?? 0, Math.round(arrays * P95_OF_MAX));
    tasks.max = Math.max(tasks.max, arrays);
  }
}

/** Adds gangs of a size, and twice as many of an eighth of it. */
function addLargeGangs({ sizes, weights }: SiteTasks, largest: number): void {
  if (sizes === undefined || weights === undefined) return;
  const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
  for (const size of [largest / 8, largest]) {
    if (sizes.includes(size)) continue;
    sizes.push(Math.max(1, Math.round(size)));
    weights.push(totalWeight * LARGE_GANGS_WEIGHT * (size === largest ? 1 : 2));
  }
}

/** Each team of the site gives its place in the classes to an even part of the new ones. */
function replaceTeams(site: Site, count: number): void {
  const earlier = (site.teams ?? []).map((team) => team.name);
  const total = totalCapacity(site);
  const names = Array.from({ length: count }, (_, i) => `team${String(i + 1).padStart(3, '0')}`);
  const quota = (all: number, times: number): number => Math.round((all / count) * times);
  site.teams = names.map((name, i) => ({
    name,
    weight: LEAST_WEIGHT * 2 ** (i % 3),
    cpus: quota(total.cpus, GUARANTEED),
    cpus_max: quota(total.cpus, AT_MOST),
    gpus: quota(total.gpus, GUARANTEED),
    gpus_max: quota(total.gpus, AT_MOST),
  }));
  if (earlier.length === 0) return;
  for (const jobs of site.jobs) {
    const { teams } = jobs;
    if (teams === undefined) continue;
    jobs.teams = names.filter((_, i) => teams.includes(earlier[i % earlier.length]!));
  }
}

function totalCapacity(site: Site): { cpus: number; gpus: number } {
  const types = new Map((site.machine_types ?? []).map((type) => [type.name, type]));
  const total = { cpus: 0, gpus: 0 };
  for (const { type, count } of site.capacity) {
    total.cpus += count * (types.get(type)?.cpus ?? 0);
    total.gpus += count * (types.get(type)?.gpus ?? 0);
  }
  return total;
}

function changeWeight(site: Site, { name, weight }: NonNullable<SiteChange['team']>): void {
  const team = site.teams?.find((candidate) => candidate.name === name);
  if (team === undefined) throw new InvalidInputError(`no team ${name} in the site`);
  team.weight = (team.weight ?? 1) * weight;
}

/** The whole capacity of each type in so many zones, as evenly as it goes. */
function changeZones(site: Site, count: number): void {
  const names = [...new Set(site.capacity.map((machines) => machines.zone))];
  while (names.length < count) names.push(`zone${names.length + 1}`);
  const zones = names.slice(0, count);
  const types = capacityByType(site);
  site.capacity = zones.flatMap((zone) =>
    types.map((machines) => ({
      ...machines,
      zone,
      count: scaled(machines.count, 1 / count),
      spot: scaled(machines.spot, 1 / count),
    })),
  );
  for (const machines of site.machines ?? []) if (!zones.includes(machines.zone)) machines.zone = zones[0]!;
  const nodeZones = site.nodes.zones.filter((zone) => zones.includes(zone));
  site.nodes.zones = nodeZones.length > 0 ? nodeZones : zones.slice(0, 1);
  for (const { faults } of site.day ?? [])
    for (const fault of faults ?? [])
      if (fault.zone !== undefined && !zones.includes(fault.zone)) fault.zone = zones.at(-1)!;
}

/** The machines of each type, of all zones together. */
function capacityByType(site: Site): SiteCapacity[] {
  const types = new Map<string, SiteCapacity>();
  for (const machines of site.capacity) {
    const total = types.get(machines.type);
    if (total === undefined) types.set(machines.type, { ...machines });
    else {
      total.count += machines.count;
      total.spot += machines.spot;
    }
  }
  return [...types.values()];
}
