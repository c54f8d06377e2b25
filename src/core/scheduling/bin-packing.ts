// How well a task suits a machine: what other waiting work could no longer use the machine's room.
// Choosing at random among equals keeps the rule of the paper; the score only says which are equals.
import type { TypeName } from '../../types/index.ts';
import type { JobSpec, MachineType } from '../base/model.ts';
import type { Job } from '../jobs/job.ts';
import type { CapacityIndex } from '../machines/capacity-index.ts';
import type { Machine, MachinePool } from '../machines/machine.ts';

interface Shape {
  cpus: number;
  gpus: number;
  memoryGb: number;
  types: TypeName[] | null;
  value: number;
  /** The highest priority among the class's jobs that wait; its own if none does. */
  priority: number;
  /** Whether it may run on spot machines. */
  spot: boolean;
}
interface Room {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** Large tasks are harder to place, so room for them is worth keeping together. */
const SIZE_BONUS = 0.3;
/** What room for a class is worth while none of its tasks wait. */
const NOT_WAITING = 0.3;
/** A task is not put where it displaces waiting work worth this many times as much. */
export const WASTEFUL_COST_RATIO = 1.6;
/** Dear machines are left to fall idle, and be returned, before cheap ones: so much for each time the price grows by e. */
const DEARER = 0.4;
/** Fuller machines are filled first: emptier ones drain, for tasks that need them whole or to be returned. */
const LOOSE = 1.5;
/** A start that takes all the time left to a link of a chain counts as much as this, and never more than the second. */
const LATE = 2;
const LATE_MAX = 1;

export class BinPackingScorer {
  private shapes: Shape[] = [];
  /** The least urgent class's. */
  leastPriority = 0;
  private readonly types: Map<TypeName, MachineType>;
  private readonly values = new Map<string, number>();
  private readonly bases = new Map<string, number>();

  private readonly shortestWaitS: (cls: string) => number | null;
  private readonly answerInS: (m: Machine) => number;

  constructor(
    types: Map<TypeName, MachineType>,
    shortestWaitS: (cls: string) => number | null,
    answerInS: (m: Machine) => number,
  ) {
    this.types = types;
    this.shortestWaitS = shortestWaitS;
    this.answerInS = answerInS;
  }

  /**
   * One shape a class of the open jobs: the mean of what its tasks take. Room is kept for a class of which none
   * wait only as far as tasks of it are expected soon; kept beyond that, it would stand empty and be paid for.
   */
  refresh(
    jobs: Iterable<Job>,
    rooms: CapacityIndex,
    expected: (cls: string) => number,
    allows: (job: Job) => number,
  ): void {
    const sums = new Map<
      string,
      { spec: JobSpec; n: number; wanted: number; priority: number; room: Room }
    >();
    for (const j of jobs) {
      if (j.isCancelling) continue;
      const s = sums.get(j.spec.class) ?? {
        spec: j.spec,
        n: 0,
        wanted: 0,
        priority: 0,
        room: { cpus: 0, gpus: 0, memoryGb: 0 },
      };
      s.n++;
      // What waits for its team's limit alone would not take the room.
      const wanted = j.unplacedTasks === 0 ? 0 : Math.min(j.unplacedTasks, allows(j));
      s.wanted += wanted;
      if (wanted > 0) s.priority = Math.max(s.priority, j.priority);
      s.room.cpus += j.spec.cpus;
      s.room.gpus += j.spec.gpus;
      s.room.memoryGb += j.spec.memoryGb;
      sums.set(j.spec.class, s);
    }
    this.values.clear();
    this.leastPriority = 3;
    this.shapes = [];
    for (const [cls, s] of sums) {
      const mean = { cpus: s.room.cpus / s.n, gpus: s.room.gpus / s.n, memoryGb: s.room.memoryGb / s.n };
      const value = this.valueOf(mean, s.spec.machineTypes);
      this.bases.set(cls, this.cheapest(mean, s.spec.machineTypes));
      this.values.set(cls, value);
      // While any of it waits all room counts: free room beyond that was gone to small tasks before the next look at it.
      const kept = s.wanted > 0 ? 1 : freeSlots(rooms, s.spec, mean, expected(cls)) ? 0 : NOT_WAITING;
      const { machineTypes, spot } = s.spec;
      const priority = s.wanted > 0 ? s.priority : s.spec.priority;
      this.leastPriority = Math.min(this.leastPriority, priority);
      this.shapes.push({ ...mean, types: machineTypes, spot, priority, value: value * kept });
    }
  }

  valueOfClass(cls: string): number {
    return this.values.get(cls) ?? 0;
  }

  /** What a task of the least demanding class is worth. */
  get leastValue(): number {
    let least = Number.POSITIVE_INFINITY;
    for (const v of this.values.values()) least = Math.min(least, v);
    return least;
  }

  /** Whether the job's tasks do not suit the type even on an empty machine. */
  wasteful(job: Job, pool: MachinePool): boolean {
    return this.typeScore(job, pool) > WASTEFUL_COST_RATIO;
  }

  /** The lowest price at which such a task could run. */
  private cheapest(shape: Room, types: TypeName[] | null): number {
    let best = Number.POSITIVE_INFINITY;
    for (const t of this.types.values())
      if ((types === null || types.includes(t.name)) && count(t, shape) >= 1)
        best = Math.min(best, Math.min(t.price, t.spotPrice) / count(t, shape));
    return Number.isFinite(best) ? best : 0;
  }

  /** What the cheapest machine for such a task costs, shared by as many tasks as it holds. */
  private valueOf(shape: Room, types: TypeName[] | null): number {
    let best = Number.POSITIVE_INFINITY;
    for (const t of this.types.values()) {
      if (types !== null && !types.includes(t.name)) continue;
      const n = count(t, shape);
      if (n < 1) continue;
      best = Math.min(best, (Math.min(t.price, t.spotPrice) / n) * (1 + SIZE_BONUS / n));
    }
    return Number.isFinite(best) ? best : 0;
  }

  /** `spot`: the room is on a spot machine. */
  private worth(room: Room, type: TypeName, spot: boolean, priority: number): number {
    let best = 0;
    for (const s of this.shapes) {
      if (s.priority < priority || (spot && !s.spot)) continue;
      if (s.types !== null && !s.types.includes(type)) continue;
      best = Math.max(best, count(room, s) * s.value);
    }
    return best;
  }

  /** Lower is better; infinite when the task would displace work worth much more than itself. */
  score(job: Job, m: Machine): number {
    const room = freeRoom(m);
    // Work is not kept from a machine for the sake of what is less urgent: services found 197 machines standing idle,
    // each worth more to a gang of lower priority.
    const kept = this.cost(job, m.type, room, m.spot, job.priority);
    if (kept > WASTEFUL_COST_RATIO) return Number.POSITIVE_INFINITY;
    // Among those it may take, still the one that is worth least to all others.
    const cost =
      job.priority <= this.leastPriority ? kept : this.cost(job, m.type, room, m.spot, this.leastPriority);
    // A fetch displaces nobody: however long, it must not keep a task from a machine that stands idle.
    const spare = Math.max(0, m.freeCpus - job.spec.cpus) / m.type.cpus;
    const suits = cost + this.fetchPenalty(job, m) + spare * LOOSE + this.dearness(job, m);
    return suits + this.fetchDelay(job, m) + this.lateness(job, m);
  }

  /**
   * The part that waiting for the machine's next report, and for the image, takes of the time left to a job that
   * others need, or that needed others: a chain pays it at every link.
   */
  private lateness(job: Job, m: Machine): number {
    if (!job.isInDependencyChain || job.slackS === null) return 0;
    const fetchS = m.images.has(job.spec.image) ? 0 : job.spec.imageGb / Math.max(1e-3, m.type.fetchGbPerS);
    return Math.min(LATE_MAX, (LATE * (this.answerInS(m) + fetchS)) / Math.max(1, job.slackS));
  }

  /** The part of the shortest wait that users want which fetching the image would take. */
  private fetchDelay(job: Job, m: Machine): number {
    const aimS = this.shortestWaitS(job.spec.class);
    if (aimS === null || m.images.has(job.spec.image) || m.type.fetchGbPerS <= 0) return 0;
    return Math.min(1, job.spec.imageGb / m.type.fetchGbPerS / aimS);
  }

  private dearness(job: Job, m: Machine): number {
    const per = count(m.type, job.spec);
    const base = this.bases.get(job.spec.class) ?? 0;
    const price = m.spot ? m.type.spotPrice : m.type.price;
    return per < 1 || base <= 0 ? 0 : Math.max(0, Math.log(price / per / base)) * DEARER;
  }

  /** The same for the machine when empty: says how well its type suits. */
  typeScore(job: Job, { type, spot }: MachinePool): number {
    return this.cost(job, type, type, spot, job.priority);
  }

  /** What the room is worth less with the task in it, to work of at least this priority, in tasks of its own class. */
  private cost(job: Job, type: MachineType, room: Room, spot: boolean, priority: number): number {
    const own = this.values.get(job.spec.class) ?? 0;
    if (own === 0) return 0;
    const left = {
      cpus: room.cpus - job.spec.cpus,
      gpus: room.gpus - job.spec.gpus,
      memoryGb: room.memoryGb - job.spec.memoryGb,
    };
    const worth = (r: Room): number => this.worth(r, type.name, spot, priority);
    return (worth(room) - worth(left)) / own;
  }

  private fetchPenalty(job: Job, m: Machine): number {
    if (m.images.has(job.spec.image) || m.type.fetchGbPerS <= 0) return 0;
    const fetchS = job.spec.imageGb / m.type.fetchGbPerS;
    return fetchS / (fetchS + Math.max(1, job.spec.estimatedRunS));
  }
}

const freeRoom = (m: Machine): Room => ({ cpus: m.freeCpus, gpus: m.freeGpus, memoryGb: m.freeMemory });

/** Whether there is room now for more than n tasks of about this size. */
function freeSlots(rooms: CapacityIndex, spec: JobSpec, shape: Room, n: number): boolean {
  let found = 0;
  for (const pool of rooms.pools.values()) {
    if (!pool.admits(spec)) continue;
    for (const b of pool.buckets.values()) {
      const like = b.members[0];
      if (like !== undefined) found += count(freeRoom(like), shape) * b.members.length;
    }
    if (found > n) return true;
  }
  return false;
}

function count(room: Room, each: Room): number {
  const per = (free: number, need: number) =>
    need <= 0 ? 1e6 : Math.max(0, Math.floor((free + 1e-6) / need));
  return Math.min(per(room.cpus, each.cpus), per(room.gpus, each.gpus), per(room.memoryGb, each.memoryGb));
}
