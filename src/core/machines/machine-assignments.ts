// Maintains the queues and assignments of machines, and the sums that depend on them: used and queued
// capacity, tasks of a job by zone, and usage by team.
import { type Attempt, type TaskId, taskId } from '../../types/index.ts';
import type { Uint64 } from '../../types/uint64.ts';
import type { ControllerIo } from '../base/io.ts';
import { listedTaskBytes } from '../base/message-size.ts';
import { type Job, type TaskAssignment, TaskPhase } from '../jobs/job.ts';
import type { Quota } from '../teams/quota.ts';
import type { CapacityIndex } from './capacity-index.ts';
import type { Machine } from './machine.ts';
import { assignmentKey, type QueuedTask } from './machine-tasks.ts';

/** Requests scheduling cycles. */
export interface CycleRequester {
  /** Requests a scheduling cycle after a change that may allow tasks to be placed. */
  requestCycle(): void;
}

/** A queued task and the machine whose queue it is in. */
interface QueuePosition {
  machine: Machine;
  queued: QueuedTask;
}

/** Dependencies of {@link MachineAssignments}. */
export interface MachineAssignmentsDependencies {
  io: ControllerIo;
  quota: Quota;
  capacityIndex: CapacityIndex;
  listener: CycleRequester;
}

/** Queues and assignments of all machines; every change to them is made by this class. */
export class MachineAssignments {
  private readonly io: ControllerIo;
  private readonly quota: Quota;
  private readonly capacityIndex: CapacityIndex;
  private readonly listener: CycleRequester;
  private readonly queuePositions = new Map<TaskId, QueuePosition>();

  constructor(dependencies: MachineAssignmentsDependencies) {
    this.io = dependencies.io;
    this.quota = dependencies.quota;
    this.capacityIndex = dependencies.capacityIndex;
    this.listener = dependencies.listener;
  }

  /** Adds a task to the machine's queue, which is ordered by descending priority, then time of arrival. */
  enqueue(machine: Machine, queued: QueuedTask): void {
    let position = machine.queue.length;
    while (position > 0 && machine.queue[position - 1]!.job.priority < queued.job.priority) position--;
    machine.queue.splice(position, 0, queued);
    this.queuePositions.set(taskId(queued.job.id, queued.index), { machine, queued });
    queued.job.setPhase(queued.index, TaskPhase.Queued);
    this.adjustQueuedCapacity(machine, queued.job, 1);
    this.capacityIndex.update(machine);
  }

  /** Returns a queued task to waiting for placement; no-op if it is not in the machine's queue. */
  dequeue(machine: Machine, queued: QueuedTask): void {
    const position = machine.queue.indexOf(queued);
    if (position < 0) return;
    machine.queue.splice(position, 1);
    this.returnToWaiting(machine, queued);
  }

  /**
   * Removes a task from the queue that it is in, if any, because a machine has listed it as running or done:
   * it must neither start nor wait again from there.
   */
  removeFromQueue(job: Job, index: number): void {
    const position = this.queuePositions.get(taskId(job.id, index));
    if (position === undefined) return;
    const { machine, queued } = position;
    machine.queue.splice(machine.queue.indexOf(queued), 1);
    this.forgetPosition(machine, queued);
    this.capacityIndex.update(machine);
  }

  /** Returns all tasks in the machine's queue to waiting for placement. */
  dequeueAll(machine: Machine): void {
    for (const queued of machine.queue.splice(0)) this.returnToWaiting(machine, queued);
  }

  /** Removes the first task from the queue in order to start it; the caller must assign it next. */
  takeQueueHead(machine: Machine): void {
    this.forgetPosition(machine, machine.queue.shift()!);
  }

  /**
   * Records that the task, which must be in no queue, is on the machine or may be from now on. `sentSeq`:
   * sequence number of the heartbeat whose response starts the task; -1 for a task that the machine listed.
   */
  assign(machine: Machine, job: Job, index: number, attempt: Attempt, sentSeq: Uint64): TaskAssignment {
    const assignment: TaskAssignment = {
      job,
      index,
      attempt,
      machine: machine.id,
      state: 'sent',
      sentSeq,
      sentAt: this.io.now,
      runningAt: null,
      stopping: null,
    };
    const existing = job.assignments.get(index);
    if (existing !== undefined) {
      this.io.log('info', 'task listed by a second machine', {
        task: taskId(job.id, index),
        machines: [existing.machine, machine.id],
      });
    }
    job.addAssignment(assignment);
    machine.isTaskListSettled = false;
    machine.assignments.set(assignmentKey(taskId(job.id, index), attempt), assignment);
    this.adjustUsedCapacity(machine, job, 1);
    this.capacityIndex.update(machine);
    return assignment;
  }

  /** Removes an assignment once it is certain that the task is no longer on the machine. */
  unassign(machine: Machine, assignment: TaskAssignment): void {
    const { job, index } = assignment;
    const key = assignmentKey(taskId(job.id, index), assignment.attempt);
    if (!machine.assignments.delete(key)) return;
    machine.isTaskListSettled = false;
    assignment.isGone = true;
    // On a machine that is reconciled in this term, this leader has started the task or seen it listed: no
    // other leader can have assigned it meanwhile.
    job.removeAssignment(assignment, machine.isReconciled);
    if (assignment.runningAt !== null) job.runningTasks--;
    this.adjustUsedCapacity(machine, job, -1);
    this.capacityIndex.update(machine);
    if (job.assignedTasks === 0) {
      job.gangAttempt = null;
      job.gangHasRun = false;
    }
    this.listener.requestCycle();
  }

  /** Removes all tasks, queued ones included, once it is certain that none is on the machine any more. */
  removeAll(machine: Machine): void {
    for (const assignment of [...machine.assignments.values()]) this.unassign(machine, assignment);
    // No agent is left to execute forget commands for them; if they were kept, a lost machine would not be
    // released.
    machine.exitedTasks.clear();
    this.dequeueAll(machine);
    this.listener.requestCycle();
  }

  private returnToWaiting(machine: Machine, queued: QueuedTask): void {
    this.forgetPosition(machine, queued);
    queued.job.setPhase(queued.index, TaskPhase.Waiting);
    this.capacityIndex.update(machine);
  }

  /** Records that the task is in the machine's queue no longer. */
  private forgetPosition(machine: Machine, queued: QueuedTask): void {
    this.queuePositions.delete(taskId(queued.job.id, queued.index));
    this.adjustQueuedCapacity(machine, queued.job, -1);
  }

  private adjustQueuedCapacity(machine: Machine, job: Job, sign: 1 | -1): void {
    machine.queuedCpus += job.spec.cpus * sign;
    machine.queuedGpus += job.spec.gpus * sign;
    machine.queuedMemoryGb += job.spec.memoryGb * sign;
    machine.queuedTaskListBytes += listedTaskBytes(job.spec) * sign;
    // Rounding errors accumulate in sums of fractions; an empty queue allows them to be reset.
    if (machine.queue.length === 0) {
      machine.queuedCpus = 0;
      machine.queuedGpus = 0;
      machine.queuedMemoryGb = 0;
    }
    this.adjustUsage(machine, job, sign);
  }

  private adjustUsedCapacity(machine: Machine, job: Job, sign: 1 | -1): void {
    machine.usedCpus += job.spec.cpus * sign;
    machine.usedGpus += job.spec.gpus * sign;
    machine.usedMemoryGb += job.spec.memoryGb * sign;
    machine.assignedTaskListBytes += listedTaskBytes(job.spec) * sign;
    if (machine.assignments.size === 0) {
      machine.usedCpus = 0;
      machine.usedGpus = 0;
      machine.usedMemoryGb = 0;
    }
    this.adjustUsage(machine, job, sign);
  }

  private adjustUsage(machine: Machine, job: Job, sign: 1 | -1): void {
    job.countInZone(machine.zone, sign);
    this.quota.add(job, sign, machine.type.name);
  }
}
