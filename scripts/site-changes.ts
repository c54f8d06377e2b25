// Makes changed copies of the sites of the users' kit, with other numbers of machines, zones and controllers,
// or other teams. Only `writeChangedSite` does I/O; it is to write outside the repository, which must not
// contain files of the kit.
import { copyFileSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { parse, stringify } from 'smol-toml';
import { InvalidInputError } from './errors.ts';

/** Changes to a site; absent fields leave the site unchanged. */
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
   * Number of zones that have machines. Zones are removed from the end of the list, or new ones are added;
   * the machines of each type are distributed evenly over the zones.
   */
  zones?: number;
  /** Number of controllers. */
  controllers?: number;
  /** Seconds after which a controller that ended is restarted. */
  restartS?: number;
  /** Factor on the guarantees and limits of teams. */
  quotas?: number;
  /** Factor on the run time of tasks. */
  runS?: number;
  /** Fraction of each class's jobs that their users cancel. */
  cancelled?: number;
  /** Factor on a team's weight. */
  team?: { name: string; weight: number };
  /**
   * Number of teams with quotas that replace the site's teams; the classes of jobs are distributed among them
   * as among the site's teams.
   */
  teams?: number;
  /** Factors on the counts of machines of some types, in addition to `capacity`. */
  mix?: Record<string, number>;
  /** Number of tasks of the largest gangs and of the largest arrays. */
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

/** Distribution of the number of tasks of a class's jobs. */
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

/** The fields of a site file that can be changed; all others are copied unchanged. */
export interface Site {
  name: string;
  nodes: { count: number; zones: string[]; restart_delay_s?: number };
  capacity: SiteCapacity[];
  /** Machines that run at the start. */
  machines?: { type: string; zone: string; count: number }[];
  jobs: SiteJobs[];
  machine_types?: { name: string; cpus: number; gpus?: number }[];
  teams?: SiteTeam[];
  day?: { faults?: { zone?: string }[] }[];
}

/** Weight of the added gangs of the largest size, relative to the total weight of the site's gangs. */
const LARGE_GANGS_WEIGHT = 0.02;
/**
 * 95th percentile of the number of tasks of arrays, as a fraction of the new maximum: large arrays are rare.
 */
const P95_OF_MAX = 1 / 3;
/** Guarantee and limit of a team, as factors on an equal share of all machines. */
const QUOTA_GUARANTEED_FACTOR = 0.5;
const QUOTA_MAX_FACTOR = 4;
/** The lowest weight of a team; weights go up to four times this. */
const MIN_TEAM_WEIGHT = 0.5;

const scaled = (count: number, factor: number): number => Math.max(1, Math.round(count * factor));

/** Parses the text of a site file. */
export const parseSite = (text: string): Site => parse(text) as unknown as Site;

/**
 * Returns the text of a changed copy of a site. Faults in a zone that no longer exists are moved to the last
 * zone.
 *
 * @throws InvalidInputError if the change refers to a team that the site does not have
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

/**
 * Writes a changed copy with the file wire.json, which the bench expects next to it; returns the copy's path.
 */
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

/** Adds gangs of the given size, and twice as many of an eighth of that size. */
function addLargeGangs({ sizes, weights }: SiteTasks, largestSize: number): void {
  if (sizes === undefined || weights === undefined) return;
  const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
  for (const size of [largestSize / 8, largestSize]) {
    if (sizes.includes(size)) continue;
    sizes.push(Math.max(1, Math.round(size)));
    weights.push(totalWeight * LARGE_GANGS_WEIGHT * (size === largestSize ? 1 : 2));
  }
}

/** Replaces the teams; each former team is replaced in the classes by an equal number of new ones. */
function replaceTeams(site: Site, count: number): void {
  const formerNames = (site.teams ?? []).map((team) => team.name);
  const total = totalCapacity(site);
  const names = Array.from({ length: count }, (_, i) => `team${String(i + 1).padStart(3, '0')}`);
  const quota = (all: number, factor: number): number => Math.round((all / count) * factor);
  site.teams = names.map((name, i) => ({
    name,
    weight: MIN_TEAM_WEIGHT * 2 ** (i % 3),
    cpus: quota(total.cpus, QUOTA_GUARANTEED_FACTOR),
    cpus_max: quota(total.cpus, QUOTA_MAX_FACTOR),
    gpus: quota(total.gpus, QUOTA_GUARANTEED_FACTOR),
    gpus_max: quota(total.gpus, QUOTA_MAX_FACTOR),
  }));
  if (formerNames.length === 0) return;
  for (const jobs of site.jobs) {
    const { teams } = jobs;
    if (teams === undefined) continue;
    jobs.teams = names.filter((_, i) => teams.includes(formerNames[i % formerNames.length]!));
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

/** Distributes the total capacity of each type over `count` zones as evenly as possible. */
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

/** The machines of each type, summed over all zones. */
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
