// Gangs: all parts get their places at once, under one attempt; a waiting gang that lost a part gets a
// replacement under the same attempt. A gang that finds no room has it gathered in one zone.
import type { Attempt, ZoneName } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import { type Job, TaskPhase } from '../jobs/job.ts';
import type { CapacityIndex } from '../machines/capacity-index.ts';
import { hasCapacityAhead, isZoneAllowed, type Machine } from '../machines/machine.ts';
import type { BinPackingScorer } from './bin-packing.ts';
import type { Reservations } from './reservations.ts';

type Enqueue = (m: Machine, index: number, attempt: Attempt) => void;
interface Slot {
  m: Machine;
  score: number;
}
/** Places looked for in a zone, as a multiple of what is missing: the best of them are taken. */
const SPARE = 3;
/** Machines with the image looked at for each part. */
const LOOK_IMAGE = 30;
export class GangScheduler {
  constructor(
    private readonly io: ControllerIo,
    private readonly rooms: CapacityIndex,
    private readonly fit: BinPackingScorer,
    private readonly reservations: Reservations,
  ) {}

  /** Gives every missing part its place, or none; returns how many were placed. */
  plan(job: Job, allowed: number, nextAttempt: () => Attempt, enqueue: Enqueue, mayReserve = true): number {
    if (job.unlocatedTasks > 0 || job.queuedTasks > 0) return 0;
    // A gang that has run and lost a part is over: its other parts exit, and the next attempt starts afresh.
    if (job.assignedTasks > 0 && (job.gangHasRun || job.gangAttempt === null)) return 0;
    const missing = partsToPlace(job);
    if (missing.length === 0 || missing.length > allowed) return 0;
    const places = this.places(job, missing.length, mayReserve);
    if (places === null) return 0;
    const attempt = job.assignedTasks > 0 ? job.gangAttempt! : nextAttempt();
    job.gangAttempt = attempt;
    missing.forEach((index, i) => {
      enqueue(places[i]!, index, attempt);
    });
    return missing.length;
  }

  /** Places for n parts: in the best zone for gangs bound to one, else over all. */
  private places(job: Job, n: number, mayReserve: boolean): Machine[] | null {
    const zones = this.zonesFor(job);
    const groups = job.spec.oneZone ? zones.map((z) => [z]) : [zones];
    let best: Slot[] | null = null;
    let most: { zone: ZoneName | null; n: number } | null = null;
    for (const group of groups) {
      const slots = this.fill(job, n, group);
      if (slots.length === n && (best === null || cost(slots) < cost(best))) best = slots;
      if (most === null || slots.length > most.n)
        most = { zone: job.spec.oneZone ? group[0]! : null, n: slots.length };
    }
    if (best !== null) return best.map((s) => s.m);
    if (!mayReserve) return null;
    // Once begun in a zone, gathering goes on there.
    let zone = most?.zone ?? null;
    if (zone !== null) for (const m of this.reservations.of(job)) zone = m.zone;
    this.reservations.reserve(job, n, zone);
    return null;
  }

  private zonesFor(job: Job): ZoneName[] {
    if (job.spec.oneZone && job.zones.size > 0) return [...job.zones.keys()];
    return [...new Set([...this.rooms.pools.values()].map((p) => p.zone))];
  }

  private fill(job: Job, n: number, zones: ZoneName[]): Slot[] {
    const slots: Slot[] = [];
    const seen = new Set<Machine>();
    const add = (m: Machine): boolean => {
      if (
        seen.has(m) ||
        this.reservations.isReservedAgainst(m, job) ||
        job.failedOn.has(m.id) ||
        !hasCapacityAhead(m, job)
      )
        return false;
      const score = this.fit.score(job, m);
      if (!Number.isFinite(score)) return false;
      seen.add(m);
      for (let k = slotsOn(m, job); k > 0; k--) slots.push({ m, score });
      return true;
    };
    for (const m of this.reservations.of(job)) if (zones.includes(m.zone)) add(m);
    this.addImageHolders(job, n, zones, add);
    for (const pool of this.rooms.pools.values()) {
      if (!zones.includes(pool.zone) || !pool.admits(job.spec)) continue;
      let wanted = n * SPARE;
      for (const b of pool.buckets.values()) {
        if (b.cpusBelow <= job.spec.cpus || b.gpusBelow <= job.spec.gpus || b.members.length === 0) continue;
        const from = this.io.random.below(b.members.length);
        for (let i = 0; i < b.members.length && wanted > 0; i++) {
          if (add(b.members[(from + i) % b.members.length]!)) wanted--;
        }
      }
    }
    slots.sort((a, b) => a.score - b.score);
    return this.within(job, slots, n);
  }

  /** Those that need not fetch the image would seldom be met by chance. */
  private addImageHolders(job: Job, n: number, zones: ZoneName[], add: (m: Machine) => boolean): void {
    let wanted = n * SPARE;
    let looks = n * LOOK_IMAGE;
    for (const m of this.rooms.machinesWithImage(job.spec.image) ?? []) {
      if (wanted <= 0 || looks-- <= 0) return;
      if (m.indexPosition?.pool.admits(job.spec) && zones.includes(m.zone) && add(m)) wanted--;
    }
  }

  private within(job: Job, slots: Slot[], n: number): Slot[] {
    if (!job.spec.spread) return slots.slice(0, n);
    const zones = new Map(job.zones);
    const out: Slot[] = [];
    for (const s of slots) {
      if (out.length === n) break;
      if (!isZoneAllowed(job, s.m.zone, zones)) continue;
      out.push(s);
      zones.set(s.m.zone, (zones.get(s.m.zone) ?? 0) + 1);
    }
    return out;
  }
}

const cost = (slots: Slot[]): number => slots.reduce((sum, s) => sum + s.score, 0);

function partsToPlace(job: Job): number[] {
  const out: number[] = [];
  for (let i = 0; i < job.spec.tasks; i++) if (job.phases[i] === TaskPhase.Waiting) out.push(i);
  return out;
}

/** How many parts the machine has room for now. */
function slotsOn(m: Machine, job: Job): number {
  const { spec } = job;
  const per = (free: number, each: number) =>
    each <= 0 ? Number.POSITIVE_INFINITY : Math.floor((free + 1e-9) / each);
  return Math.min(
    spec.tasks,
    per(m.freeCpus, spec.cpus),
    per(m.freeGpus, spec.gpus),
    per(m.freeMemory, spec.memoryGb),
  );
}
