// A machine's state: its agent, the tasks on it and queued for it, and its position in the capacity index.
// The pools of that index are defined here too, because machines and pools refer to each other.
import type { Instant, MachineId, ZoneName } from '../../types/index.ts';
import type { Uint64 } from '../../types/uint64.ts';
import { MIN_LISTED_TASK_BYTES, TASK_LIST_BYTES } from '../base/message-size.ts';
import type { Heartbeat, JobSpec, MachineType, TaskStatus } from '../base/model.ts';
import { diffTaskLists } from '../heartbeats/task-list-delta.ts';
import type { TaskAssignment } from '../jobs/job.ts';
import { type Capacity, capacityOfType, fitsCapacity } from '../jobs/task-capacity.ts';
import type { Resources } from '../teams/usage.ts';
import type { MachineCapacity } from './capacity-checks.ts';
import { ExitedTasks } from './exited-tasks.ts';
import type { OrphanTask, QueuedTask } from './machine-tasks.ts';

/** The stored registry record that lists a machine; implemented in machine-registry.ts. */
export interface RegistryRecordHandle {
  /** Removes a machine from the record; the stored value is rewritten later. */
  removeMember(id: MachineId, now: Instant): void;
}

/** Constructor arguments of {@link Machine}. */
export interface MachineInit {
  id: MachineId;
  type: MachineType;
  zone: ZoneName;
  spot: boolean;
  requestedAt: Instant;
  leaseExpiresAt: Instant;
}

/** The leader's view of a machine. To be changed by `MachineTable` and its components only. */
export class Machine implements MachineCapacity {
  /** Address at which the agent answers probes; null before the first heartbeat. */
  addr: string | null = null;
  /** The latest epoch of the agent; each epoch begins without tasks on the machine. */
  agentEpoch: Uint64 = 0;
  /** The last epoch whose lease has expired. */
  expiredEpoch: Uint64 = 0;
  /** Sequence number of the last heartbeat that was processed; -1 before the first one. */
  seq: Uint64 = -1;
  /** Task list of that heartbeat; null before the first heartbeat of the epoch. */
  lastTaskList: readonly TaskStatus[] | null = null;
  /** Whether that heartbeat was the reply to a probe. */
  isLastHeartbeatProbeReply = false;
  /**
   * Whether the assignments match the last task list exactly, without exited tasks or orphans, and have not
   * changed since. The same list then needs no reconciliation.
   */
  isTaskListSettled = false;
  /**
   * Whether a heartbeat sent by the agent after it saw this term's fencing token has been processed. Also set
   * without one if no task can be on the machine any more: its lease has expired and it is cordoned as
   * silent, or the cloud lists it as failed.
   */
  isReconciled = false;
  /** Whether the machine has sent a heartbeat, or the cloud lists it as running. */
  isUp = false;
  /**
   * The stored record that lists the machine; null until it has been stored. No task is started before,
   * because the next leader would not know that it has to reconcile the machine.
   */
  registryRecord: RegistryRecordHandle | null = null;
  /** Whether a registry record that will list the machine is planned or being written. */
  isRegistering = false;
  /** Whether the machine is being released to the cloud. */
  isReleasing = false;
  /**
   * Set if the lease expired while this leader could not answer heartbeats: a machine that sends no heartbeat
   * until then is cordoned.
   */
  reconnectDeadline: Instant | null = null;
  /** Whether the next heartbeat is overdue; no task can be started before it arrives. */
  isOverdue = false;
  /** Tasks that are, or may be, on the machine, by `assignmentKey`. */
  readonly assignments = new Map<string, TaskAssignment>();
  /** Orphans in the last task list. */
  orphans: OrphanTask[] = [];
  /** Tasks that wait to be started on the machine, in the order in which they will be started. */
  readonly queue: QueuedTask[] = [];
  /**
   * Exited tasks that the machine lists, by `assignmentKey`. A `forget` command is sent for each; for a
   * completed task only once its result is stored.
   */
  readonly exitedTasks = new ExitedTasks();
  lastHeartbeat: Instant;
  /** From then on, no task runs on the machine, unless a heartbeat of it is answered before. */
  leaseExpiresAt: Instant;
  /** When the cloud preempts the machine, according to its preemption notice. */
  preemptedAt: Instant | null = null;
  /** Why the machine is cordoned, that is, excluded from new work; null if it is not. */
  cordonReason: string | null = null;
  idleSince: Instant;
  /** Images in the machine's cache with their sizes in GB, least recently used first. */
  readonly images = new Map<string, number>();
  /** The image that was used last. Most heartbeats list no other, and `images` then needs no update. */
  lastImage: string | null = null;
  /** Number of failed tasks since the last completed one. */
  consecutiveFailures = 0;
  usedCpus = 0;
  usedGpus = 0;
  /** In GB. */
  usedMemoryGb = 0;
  /** What the assigned tasks take of the machine's task list. */
  assignedTaskListBytes = 0;
  queuedCpus = 0;
  queuedGpus = 0;
  /** In GB. */
  queuedMemoryGb = 0;
  /** What the queued tasks will take of the machine's task list. */
  queuedTaskListBytes = 0;
  /** Position in the capacity index; null while the machine is not schedulable. */
  indexPosition: IndexPosition | null = null;
  /** Whether the full machine is counted against every team's limit, as it is unknown what runs on it. */
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
   * Whether a heartbeat that is not newer than the last processed one may still be answered. This holds for
   * the same heartbeat received by another path, and for one that the reply to a probe has overtaken. Any
   * other heartbeat is a late copy whose response no agent waits for, or comes from a restarted agent, whose
   * sequence numbers begin anew. A response would renew the lease of the restarted agent while its former
   * tasks are assumed to be running, and the node that forwards its heartbeats would send the next one as a
   * delta to this one.
   */
  mayRespondTo(heartbeat: Heartbeat): boolean {
    if (heartbeat.agentEpoch !== this.agentEpoch) return false;
    if (heartbeat.seq < this.seq) return this.isLastHeartbeatProbeReply;
    if (this.lastTaskList === null) return false;
    return diffTaskLists(this.lastTaskList, heartbeat.tasks).tasks === this.lastTaskList;
  }

  /** Whether tasks can be placed and started on the machine. */
  get isSchedulable(): boolean {
    return (
      this.isReconciled &&
      this.isUp &&
      this.registryRecord !== null &&
      !this.isReleasing &&
      !this.isOverdue &&
      this.cordonReason === null &&
      this.orphans.length === 0
    );
  }

  /** Whether the machine has no assignments, queued tasks or orphans. */
  get isEmpty(): boolean {
    return this.assignments.size === 0 && this.queue.length === 0 && this.orphans.length === 0;
  }

  /** CPUs that neither tasks on the machine nor queued tasks use. */
  get freeCpus(): number {
    return this.type.cpus - this.usedCpus - this.queuedCpus;
  }

  /** Accelerators that neither tasks on the machine nor queued tasks use. */
  get freeGpus(): number {
    return this.type.gpus - this.usedGpus - this.queuedGpus;
  }

  /** Memory in GB that neither tasks on the machine nor queued tasks use. */
  get freeMemoryGb(): number {
    return this.type.memoryGb - this.usedMemoryGb - this.queuedMemoryGb;
  }

  /** Bytes of the machine's task list that neither tasks on the machine, exited or not, nor queued tasks use. */
  get freeTaskListBytes(): number {
    return this.unusedTaskListBytes - this.queuedTaskListBytes;
  }

  /** Bytes of the machine's task list that tasks on the machine, exited or not, do not use. */
  get unusedTaskListBytes(): number {
    return TASK_LIST_BYTES - this.assignedTaskListBytes - this.exitedTasks.listBytes;
  }

  /** Whether no task at all can be added to the machine's task list. */
  get isTaskListFull(): boolean {
    return this.freeTaskListBytes < MIN_LISTED_TASK_BYTES;
  }

  /** Capacity that neither tasks on the machine nor queued tasks use. */
  get freeCapacity(): Capacity {
    const { freeCpus, freeGpus, freeMemoryGb, freeTaskListBytes } = this;
    return { cpus: freeCpus, gpus: freeGpus, memoryGb: freeMemoryGb, taskListBytes: freeTaskListBytes };
  }

  /** Capacity that tasks on the machine do not use. */
  get unusedCapacity(): Capacity {
    return {
      cpus: this.type.cpus - this.usedCpus,
      gpus: this.type.gpus - this.usedGpus,
      memoryGb: this.type.memoryGb - this.usedMemoryGb,
      taskListBytes: this.unusedTaskListBytes,
    };
  }
}

/** Machines of one pool with free CPUs and accelerators in the same levels of the capacity index. */
export interface CapacityBucket {
  /** Every member has fewer free CPUs than this. */
  cpusBelow: number;
  /** Every member has fewer free accelerators than this. */
  gpusBelow: number;
  members: Machine[];
}

/** Machines of one type in one zone, all spot instances or none; they differ only in what is on them. */
export class MachinePool {
  readonly buckets = new Map<number, CapacityBucket>();
  /** The schedulable machines of the pool. */
  readonly schedulableMachines: Machine[] = [];
  /** Total capacity of the schedulable machines. */
  readonly total: Resources = [0, 0, 0];
  /** Free capacity of the schedulable machines. */
  readonly free: Resources = [0, 0, 0];
  /** Capacity of an empty machine. */
  readonly machineCapacity: Capacity;

  constructor(
    readonly type: MachineType,
    readonly zone: ZoneName,
    readonly spot: boolean,
  ) {
    this.machineCapacity = capacityOfType(type);
  }

  /** Whether the job's spec allows its tasks to run on machines of this pool. */
  admits(spec: JobSpec): boolean {
    const { type } = this;
    if (spec.machineTypes !== null && !spec.machineTypes.includes(type.name)) return false;
    if (spec.zone !== null && spec.zone !== this.zone) return false;
    if (this.spot && !spec.spot) return false;
    return fitsCapacity(spec, this.machineCapacity);
  }
}

/** Position of a machine in the capacity index; stored in the machine so that its removal needs no search. */
export interface IndexPosition {
  pool: MachinePool;
  bucket: CapacityBucket;
  /** Index of the machine in the bucket's `members`. */
  indexInBucket: number;
  /** Index of the machine in the pool's array of schedulable machines. */
  indexInPool: number;
  /** Free capacity of the machine as included in the pool's sum. */
  free: Resources;
}
