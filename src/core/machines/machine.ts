// One machine: what is known of its agent, the tasks on it and queued for it, and its place in the capacity
// index. The pools of that index are here too, as machines and pools refer to one another.
import type { Instant, MachineId, ZoneName } from '../../types/index.ts';
import type { Heartbeat, JobSpec, MachineType, TaskStatus } from '../base/model.ts';
import { diffTaskLists } from '../heartbeats/task-list-delta.ts';
import type { TaskAssignment } from '../jobs/job.ts';
import type { Resources } from '../teams/usage.ts';
import { fitsCapacity, type MachineCapacity } from './capacity-checks.ts';
import type { ExitedTask, OrphanTask, QueuedTask } from './machine-tasks.ts';

export { hasCapacityAhead, isZoneAllowed } from './capacity-checks.ts';
export type { QueuedTask } from './machine-tasks.ts';

/** The stored record that lists the machine; see machine-registry.ts. */
export interface MachineRecordPage {
  /** Takes a machine off the page; the stored record follows. */
  removeMember(id: MachineId, now: Instant): void;
}

/** What a {@link Machine} begins with. */
export interface MachineInit {
  id: MachineId;
  type: MachineType;
  zone: ZoneName;
  spot: boolean;
  requestedAt: Instant;
  leaseExpiresAt: Instant;
}

/** A machine as the leader knows it. `MachineTable` and its parts change it; others only read it. */
export class Machine implements MachineCapacity {
  /** Where its agent answers probes; null before the first heartbeat. */
  addr: string | null = null;
  /** The newest epoch of its agent; each begins with no task on the machine. */
  agentEpoch = 0;
  /** The epoch whose lease has expired. */
  expiredEpoch = 0;
  /** Sequence number of the last heartbeat of the epoch. */
  seq = -1;
  /** The tasks of that heartbeat, as it listed them. */
  lastTaskList: readonly TaskStatus[] | null = null;
  /** That heartbeat was the reply to a probe. */
  answeredProbe = false;
  /**
   * All that was listed is known, and nothing has come or gone since: the same list again needs no
   * reconciliation.
   */
  isTaskListSettled = false;
  /**
   * The agent has seen this term's fencing token, and a heartbeat that it made after that has been processed.
   */
  isReconciled = false;
  /** It has sent a heartbeat, or the cloud lists it as running. */
  isUp = false;
  /**
   * Set once it is recorded in the store, so that the next leader knows to ask it. Nothing is started before.
   */
  registryPage: MachineRecordPage | null = null;
  /** The write that records it is under way. */
  isRegistering = false;
  /** It is being returned to the cloud. */
  isReleasing = false;
  /** Its lease expired while no agent could be answered: it counts as lost if it is silent until then. */
  expectedBackBy: Instant | null = null;
  /** Its heartbeat is late: nothing can be started on it before the next one. */
  isOverdue = false;
  /** Tasks on it, as far as is known or cannot be ruled out, by `assignmentKey`. */
  readonly assignments = new Map<string, TaskAssignment>();
  orphans: OrphanTask[] = [];
  /** Tasks bound to it that have not started, in the order in which they will. */
  readonly queue: QueuedTask[] = [];
  /** Exited tasks that it is commanded to forget once their results are recorded, by `assignmentKey`. */
  readonly exitedTasks = new Map<string, ExitedTask>();
  lastHeartbeat: Instant;
  /** When nothing runs on it for certain, unless a heartbeat of it is answered before. */
  leaseExpiresAt: Instant;
  /** When the cloud takes it back, by its preemption notice. */
  preemptedAt: Instant | null = null;
  /** Why it gets no more work; null while it may. */
  drainReason: string | null = null;
  idleSince: Instant;
  /** Images in its cache with their sizes in GB, least recently used first. */
  readonly images = new Map<string, number>();
  /** The image that was used last: most heartbeats name no other. */
  lastImage: string | null = null;
  /** Failed tasks since the last success. */
  consecutiveFailures = 0;
  usedCpus = 0;
  usedGpus = 0;
  /** In GB. */
  usedMemory = 0;
  queuedCpus = 0;
  queuedGpus = 0;
  /** In GB. */
  queuedMemory = 0;
  /** Its place in the capacity index; null while it is not schedulable. */
  indexPosition: IndexPosition | null = null;
  /** Counted in full against every team's limit, as it is unknown what runs on it. */
  countsAsUncertain = false;
  readonly id: MachineId;
  readonly type: MachineType;
  readonly zone: ZoneName;
  readonly spot: boolean;
  readonly requestedAt: Instant;

  constructor(init: MachineInit) {
    this.id = init.id;
    this.type = init.type;
    this.zone = init.zone;
    this.spot = init.spot;
    this.requestedAt = init.requestedAt;
    const { requestedAt } = init;
    this.lastHeartbeat = requestedAt;
    this.idleSince = requestedAt;
    this.leaseExpiresAt = init.leaseExpiresAt;
  }

  /**
   * Whether a heartbeat that is not newer than the last processed one may be answered all the same: the very
   * same one that came by another path, or one that the reply to a probe has overtaken. Any other is a late
   * copy that nobody waits for, or comes from an agent that was restarted and counts from the beginning. An
   * answer would renew the lease of that agent while its tasks are taken to be running, and the node that
   * forwards its heartbeats would send the next one as a delta to this one.
   */
  mayRespondTo(heartbeat: Heartbeat): boolean {
    if (heartbeat.agentEpoch !== this.agentEpoch) return false;
    if (heartbeat.seq < this.seq) return this.answeredProbe;
    if (this.lastTaskList === null) return false;
    return diffTaskLists(this.lastTaskList, heartbeat.tasks).tasks === this.lastTaskList;
  }

  /** Whether tasks can be started on it. */
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

  /** Nothing is on it or queued for it. */
  get isEmpty(): boolean {
    return this.assignments.size === 0 && this.queue.length === 0 && this.orphans.length === 0;
  }

  /** CPUs left after all that is on it and queued for it. */
  get freeCpus(): number {
    return this.type.cpus - this.usedCpus - this.queuedCpus;
  }

  /** Accelerators left after all that is on it and queued for it. */
  get freeGpus(): number {
    return this.type.gpus - this.usedGpus - this.queuedGpus;
  }

  /** Memory in GB left after all that is on it and queued for it. */
  get freeMemory(): number {
    return this.type.memoryGb - this.usedMemory - this.queuedMemory;
  }
}

/** Machines of one pool with about the same free capacity. */
export interface CapacityBucket {
  /** Every member has fewer free CPUs than this. */
  cpusBelow: number;
  /** Every member has fewer free accelerators than this. */
  gpusBelow: number;
  members: Machine[];
}

/** Machines of one type in one zone, either all spot or none: alike but for what is on them. */
export class MachinePool {
  readonly buckets = new Map<number, CapacityBucket>();
  /** Those that are schedulable. */
  readonly usable: Machine[] = [];
  /** Capacity of the schedulable machines, and what of it is free. */
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
    return fitsCapacity(spec, type.cpus, type.gpus, type.memoryGb);
  }
}

/**
 * Where a machine stands in the capacity index; kept with the machine so that its removal takes no search.
 */
export interface IndexPosition {
  pool: MachinePool;
  bucket: CapacityBucket;
  /** Its index in the bucket's `members`. */
  at: number;
  /** Its index in the pool's `usable`. */
  usableAt: number;
  /** Its free capacity as counted in the pool's sum. */
  free: Resources;
}
