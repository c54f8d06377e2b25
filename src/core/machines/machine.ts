// One machine: what is on it and queued for it, its room, and where the index of free room has it.
import type { Attempt, Instant, JobId, MachineId, ZoneName } from '../../types/index.ts';
import type { Heartbeat, JobSpec, MachineType, TaskStatus } from '../base/model.ts';
import { diffTaskLists } from '../heartbeats/task-list-delta.ts';
import type { Job, TaskAssignment } from '../jobs/job.ts';
import { maxTasksPerZone } from '../jobs/zone-constraints.ts';
import type { Resources } from '../teams/usage.ts';

const EPS = 1e-9;

/** The record that names the machine; see roster.ts. */
export interface RecordPage {
  readonly members: { delete(id: MachineId): boolean };
  dirtySince: Instant | null;
}

/** An exited task that its machine still reports, until it is told to forget it. */
export interface ExitedTask {
  task: TaskStatus['task'];
  attempt: Attempt;
  job: JobId;
  index: number;
  exitReason: string;
  seenSeq: number;
  isGone?: boolean;
}

export interface QueuedTask {
  job: Job;
  index: number;
  attempt: Attempt;
  since: Instant;
}

/** Something a machine reports that belongs to no open job; it is stopped and forgotten. */
export interface OrphanTask {
  task: TaskStatus['task'];
  attempt: Attempt;
}

export class Machine {
  addr: string | null = null;
  agentEpoch = 0;
  /** The session whose lease has run out. */
  expiredEpoch = 0;
  seq = -1;
  /** The tasks of the report with this number, as it listed them. */
  lastTaskList: readonly TaskStatus[] | null = null;
  /** That report came as the answer to a probe. */
  answeredProbe = false;
  /** All that was listed is known, and nothing has come or gone since: the same list again says nothing new. */
  isTaskListSettled = false;
  seenFencingToken = 0;
  /** This term's token has been seen by the machine and a report made after that has been read. */
  isReconciled = false;
  isUp = false;
  /** Written in the state service, so that a later owner knows to ask it. Nothing is started before. */
  registryPage: RecordPage | null = null;
  isRegistering = false;
  isReleasing = false;
  /** Its lease has run out while nobody was answered: by when it is taken to be gone, if it does not report before. */
  expectedBackBy: Instant | null = null;
  /** Not heard when it should have been: nothing can be started on it before it is. */
  isOverdue = false;
  readonly assignments = new Map<string, TaskAssignment>();
  orphans: OrphanTask[] = [];
  readonly queue: QueuedTask[] = [];
  /** Exited tasks to be forgotten once recorded: key to job and index. */
  readonly exitedTasks = new Map<string, ExitedTask>();
  lastHeartbeat: Instant;
  /** When everything on it is gone for certain, unless it is answered again. */
  leaseExpiresAt: Instant;
  preemptedAt: Instant | null = null;
  drainReason: string | null = null;
  idleSince: Instant;
  readonly images = new Map<string, number>();
  /** The image noted last: most reports say nothing new of it. */
  lastImage: string | null = null;
  consecutiveFailures = 0;
  readonly failedJobs = new Set<JobId>();
  usedCpus = 0;
  usedGpus = 0;
  usedMemory = 0;
  queuedCpus = 0;
  queuedGpus = 0;
  queuedMemory = 0;
  /** Where the index of free room has it; null while it cannot be used. */
  indexPosition: IndexPosition | null = null;
  /** Counted whole against every team's limit. */
  countsAsUncertain = false;

  constructor(
    readonly id: MachineId,
    readonly type: MachineType,
    readonly zone: ZoneName,
    readonly spot: boolean,
    readonly requestedAt: Instant,
    leaseEnds: Instant,
  ) {
    this.lastHeartbeat = requestedAt;
    this.idleSince = requestedAt;
    this.leaseExpiresAt = leaseEnds;
  }

  /**
   * Whether a report that is not newer than the last that was read may be answered all the same: the very same one, come by
   * another way, or one that the answer to a probe has overtaken. Any other is a late copy that nobody waits for, or of a
   * worker that was started anew and counts from the beginning. Answered, that one's lease would be renewed while its tasks
   * are taken to be running; and the node that passes it on would tell its next report as what has changed since it.
   */
  mayRespondTo(r: Heartbeat): boolean {
    if (r.agentEpoch !== this.agentEpoch) return false;
    if (r.seq < this.seq) return this.answeredProbe;
    return (
      this.lastTaskList !== null && diffTaskLists(this.lastTaskList, r.tasks).tasks === this.lastTaskList
    );
  }

  get isSchedulable(): boolean {
    return (
      this.isReconciled &&
      this.isUp &&
      this.registryPage !== null &&
      !this.isReleasing &&
      !this.isOverdue &&
      this.drainReason === null &&
      this.orphans.length === 0
    );
  }
  get isEmpty(): boolean {
    return this.assignments.size === 0 && this.queue.length === 0 && this.orphans.length === 0;
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

export const assignmentKey = (task: string, attempt: number): string => `${task}@${attempt}`;

/** Machines of one pool whose free room is about the same. */
export interface CapacityBucket {
  /** No member has more free than this. */
  cpusBelow: number;
  gpusBelow: number;
  members: Machine[];
}

/** Machines that are alike but for what is on them. */
export class MachinePool {
  readonly buckets = new Map<number, CapacityBucket>();
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
    if (spec.machineTypes !== null && !spec.machineTypes.includes(type.name)) return false;
    if (spec.zone !== null && spec.zone !== this.zone) return false;
    if (this.spot && !spec.spot) return false;
    return (
      type.cpus + EPS >= spec.cpus && type.gpus + EPS >= spec.gpus && type.memoryGb + EPS >= spec.memoryGb
    );
  }
}

/** Where a machine stands in the index; kept by the machine itself so that leaving takes no search. */
export interface IndexPosition {
  pool: MachinePool;
  bucket: CapacityBucket;
  at: number;
  usableAt: number;
  /** Its free room as the index has counted it. */
  free: Resources;
}

export function hasFreeCapacity(m: Machine, job: Job): boolean {
  const { spec } = job;
  return (
    m.type.cpus - m.usedCpus + EPS >= spec.cpus &&
    m.type.gpus - m.usedGpus + EPS >= spec.gpus &&
    m.type.memoryGb - m.usedMemory + EPS >= spec.memoryGb
  );
}

export function isZoneAllowed(job: Job, zone: ZoneName, used: ReadonlyMap<ZoneName, number>): boolean {
  if (job.spec.oneZone) for (const z of used.keys()) if (z !== zone) return false;
  return !job.spec.spread || (used.get(zone) ?? 0) < maxTasksPerZone(job.spec);
}

/** Room for the task after everything on the machine and what is queued ahead of it. */
export function hasCapacityAhead(m: Machine, job: Job): boolean {
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
