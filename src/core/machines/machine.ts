// One machine: what is on it and queued for it, its room, and where the index of free room has it.
import type { Attempt, Instant, JobId, MachineId, ZoneName } from '../../types/index.ts';
import type { JobSpec, MachineType, Report, TaskReport } from '../base/model.ts';
import type { Entry, Job } from '../jobs/job.ts';
import { compare } from '../reports/listing.ts';
import type { Resources } from '../teams/usage.ts';

const EPS = 1e-9;

/** The record that names the machine; see roster.ts. */
export interface RecordPage {
  readonly members: { delete(id: MachineId): boolean };
  dirtySince: Instant | null;
}

/** An exited task that its machine still reports, until it is told to forget it. */
export interface Exited {
  task: TaskReport['task'];
  attempt: Attempt;
  job: JobId;
  index: number;
  why: string;
  seen: number;
  gone?: boolean;
}

export interface Queued {
  job: Job;
  index: number;
  attempt: Attempt;
  since: Instant;
}

/** Something a machine reports that belongs to no open job; it is stopped and forgotten. */
export interface Stray {
  task: TaskReport['task'];
  attempt: Attempt;
}

export class Machine {
  addr: string | null = null;
  session = 0;
  /** The session whose lease has run out. */
  endedSession = 0;
  seq = -1;
  /** The tasks of the report with this number, as it listed them. */
  listed: readonly TaskReport[] | null = null;
  /** That report came as the answer to a probe. */
  probed = false;
  /** All that was listed is known, and nothing has come or gone since: the same list again says nothing new. */
  plain = false;
  seenToken = 0;
  /** This term's token has been seen by the machine and a report made after that has been read. */
  synced = false;
  up = false;
  /** Written in the state service, so that a later owner knows to ask it. Nothing is started before. */
  page: RecordPage | null = null;
  recording = false;
  releasing = false;
  /** Its lease has run out while nobody was answered: by when it is taken to be gone, if it does not report before. */
  backBy: Instant | null = null;
  /** Not heard when it should have been: nothing can be started on it before it is. */
  quiet = false;
  readonly entries = new Map<string, Entry>();
  strays: Stray[] = [];
  readonly queue: Queued[] = [];
  /** Exited tasks to be forgotten once recorded: key to job and index. */
  readonly exited = new Map<string, Exited>();
  lastReport: Instant;
  /** When everything on it is gone for certain, unless it is answered again. */
  leaseEnds: Instant;
  noticeEnds: Instant | null = null;
  drain: string | null = null;
  idleSince: Instant;
  readonly images = new Map<string, number>();
  /** The image noted last: most reports say nothing new of it. */
  lastImage: string | null = null;
  errorsInRow = 0;
  readonly erredJobs = new Set<JobId>();
  usedCpus = 0;
  usedGpus = 0;
  usedMemory = 0;
  queuedCpus = 0;
  queuedGpus = 0;
  queuedMemory = 0;
  /** Where the index of free room has it; null while it cannot be used. */
  place: Place | null = null;
  /** Counted whole against every team's limit. */
  inDoubt = false;

  constructor(
    readonly id: MachineId,
    readonly type: MachineType,
    readonly zone: ZoneName,
    readonly spot: boolean,
    readonly requestedAt: Instant,
    leaseEnds: Instant,
  ) {
    this.lastReport = requestedAt;
    this.idleSince = requestedAt;
    this.leaseEnds = leaseEnds;
  }

  /**
   * Whether a report that is not newer than the last that was read may be answered all the same: the very same one, come by
   * another way, or one that the answer to a probe has overtaken. Any other is a late copy that nobody waits for, or of a
   * worker that was started anew and counts from the beginning. Answered, that one's lease would be renewed while its tasks
   * are taken to be running; and the node that passes it on would tell its next report as what has changed since it.
   */
  mayAnswer(r: Report): boolean {
    if (r.session !== this.session) return false;
    if (r.seq < this.seq) return this.probed;
    return this.listed !== null && compare(this.listed, r.tasks).tasks === this.listed;
  }

  get usable(): boolean {
    return (
      this.synced &&
      this.up &&
      this.page !== null &&
      !this.releasing &&
      !this.quiet &&
      this.drain === null &&
      this.strays.length === 0
    );
  }
  get empty(): boolean {
    return this.entries.size === 0 && this.queue.length === 0 && this.strays.length === 0;
  }
  /** Room after all that is on it and queued for it. */
  get freeCpus(): number {
    return this.type.cpus - this.usedCpus - this.queuedCpus;
  }
  get freeGpus(): number {
    return this.type.gpus - this.usedGpus - this.queuedGpus;
  }
  get freeMemory(): number {
    return this.type.memoryGb - this.usedMemory - this.queuedMemory;
  }
}

export const entryKey = (task: string, attempt: number): string => `${task}@${attempt}`;

/** Machines of one pool whose free room is about the same. */
export interface Bucket {
  /** No member has more free than this. */
  cpusBelow: number;
  gpusBelow: number;
  members: Machine[];
}

/** Machines that are alike but for what is on them. */
export class Pool {
  readonly buckets = new Map<number, Bucket>();
  readonly usable: Machine[] = [];
  /** Of its usable machines: what they have, and what of it is free. */
  readonly total: Resources = [0, 0, 0];
  readonly free: Resources = [0, 0, 0];
  constructor(
    readonly type: MachineType,
    readonly zone: ZoneName,
    readonly spot: boolean,
  ) {}

  /** Whether a job's description lets its tasks run here. */
  admits(spec: JobSpec): boolean {
    const { type } = this;
    if (spec.types !== null && !spec.types.includes(type.name)) return false;
    if (spec.zone !== null && spec.zone !== this.zone) return false;
    if (this.spot && !spec.spot) return false;
    return (
      type.cpus + EPS >= spec.cpus && type.gpus + EPS >= spec.gpus && type.memoryGb + EPS >= spec.memoryGb
    );
  }
}

/** Where a machine stands in the index; kept by the machine itself so that leaving takes no search. */
export interface Place {
  pool: Pool;
  bucket: Bucket;
  at: number;
  usableAt: number;
  /** Its free room as the index has counted it. */
  free: Resources;
}

export function hasRoom(m: Machine, job: Job): boolean {
  const { spec } = job;
  return (
    m.type.cpus - m.usedCpus + EPS >= spec.cpus &&
    m.type.gpus - m.usedGpus + EPS >= spec.gpus &&
    m.type.memoryGb - m.usedMemory + EPS >= spec.memoryGb
  );
}

export function zoneAllowed(job: Job, zone: ZoneName, used: ReadonlyMap<ZoneName, number>): boolean {
  if (job.spec.oneZone) for (const z of used.keys()) if (z !== zone) return false;
  return !job.spec.spread || (used.get(zone) ?? 0) < Math.ceil(job.spec.tasks / 2);
}

/** Room for the task after everything on the machine and what is queued ahead of it. */
export function roomAhead(m: Machine, job: Job): boolean {
  const { spec } = job;
  let cpus = m.freeCpus;
  let gpus = m.freeGpus;
  let memory = m.freeMemory;
  for (const q of m.queue) {
    if (q.job.priority >= job.priority) continue;
    cpus += q.job.spec.cpus;
    gpus += q.job.spec.gpus;
    memory += q.job.spec.memoryGb;
  }
  return cpus + EPS >= spec.cpus && gpus + EPS >= spec.gpus && memory + EPS >= spec.memoryGb;
}
