// Which tasks are queued for machines and assigned to them, and the sums that follow from it: used and queued
// capacity, tasks of a job by zone, usage by team.
import { type Attempt, taskId } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import { type Job, type TaskAssignment, TaskPhase } from '../jobs/job.ts';
import type { Quota } from '../teams/quota.ts';
import type { CapacityIndex } from './capacity-index.ts';
import type { Machine } from './machine.ts';
import { assignmentKey, type QueuedTask } from './machine-tasks.ts';

/** Who looks for places for tasks. */
export interface CycleRequester {
  /** Something has changed that the scheduler should look at. */
  requestCycle(): void;
}

/** What {@link MachineAssignments} depends on. */
export interface MachineAssignmentsDependencies {
  io: ControllerIo;
  quota: Quota;
  capacityIndex: CapacityIndex;
  listener: CycleRequester;
}

/** Queues and assignments of all machines; every change of them goes through here. */
export class MachineAssignments {
  private readonly io: ControllerIo;
  private readonly quota: Quota;
  private readonly capacityIndex: CapacityIndex;
  private readonly listener: CycleRequester;

  constructor(dependencies: MachineAssignmentsDependencies) {
    this.io = dependencies.io;
    this.quota = dependencies.quota;
    this.capacityIndex = dependencies.capacityIndex;
    this.listener = dependencies.listener;
  }

  /**
   * Binds a task to the machine's queue: more urgent tasks go ahead; among equals first come, first served.
   */
  enqueue(machine: Machine, queued: QueuedTask): void {
    let position = machine.queue.length;
    while (position > 0 && machine.queue[position - 1]!.job.priority < queued.job.priority) position--;
    machine.queue.splice(position, 0, queued);
    queued.job.setPhase(queued.index, TaskPhase.Queued);
    this.countQueued(machine, queued.job, 1);
    this.capacityIndex.update(machine);
  }

  /** The task waits for a place again; nothing happens if it is not in the queue. */
  dequeue(machine: Machine, queued: QueuedTask): void {
    const position = machine.queue.indexOf(queued);
    if (position < 0) return;
    machine.queue.splice(position, 1);
    this.onDequeued(machine, queued);
  }

  /** All tasks in the machine's queue wait for a place again. */
  dequeueAll(machine: Machine): void {
    for (const queued of machine.queue.splice(0)) this.onDequeued(machine, queued);
  }

  /** Takes the first task out of the queue to start it; the caller assigns it next. */
  takeQueueHead(machine: Machine): void {
    const { job } = machine.queue.shift()!;
    this.countQueued(machine, job, -1);
  }

  /** The task is on the machine, or may be from now on; `sentSeq`: the heartbeat whose response starts it. */
  assign(machine: Machine, job: Job, index: number, attempt: Attempt, sentSeq: number): TaskAssignment {
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
    const earlier = job.assignments.get(index);
    if (earlier !== undefined) {
      this.io.log('info', 'task listed by a second machine', {
        task: taskId(job.id, index),
        machines: [earlier.machine, machine.id],
      });
    }
    job.addAssignment(assignment);
    machine.isTaskListSettled = false;
    machine.assignments.set(assignmentKey(taskId(job.id, index), attempt), assignment);
    this.countUsed(machine, job, 1);
    this.capacityIndex.update(machine);
    return assignment;
  }

  /** The task is certainly off the machine. */
  unassign(machine: Machine, assignment: TaskAssignment): void {
    const { job, index } = assignment;
    const key = assignmentKey(taskId(job.id, index), assignment.attempt);
    if (!machine.assignments.delete(key)) return;
    machine.isTaskListSettled = false;
    assignment.isGone = true;
    // Reconciled under this term, the machine had listed the task or was sent it, since no other leader could
    // assign it.
    job.removeAssignment(assignment, machine.isReconciled);
    if (assignment.runningAt !== null) job.runningTasks--;
    this.countUsed(machine, job, -1);
    this.capacityIndex.update(machine);
    if (job.assignedTasks === 0) {
      job.gangAttempt = null;
      job.gangHasRun = false;
    }
    this.listener.requestCycle();
  }

  /** No task is on the machine any more, for certain. */
  removeAll(machine: Machine): void {
    for (const assignment of [...machine.assignments.values()]) this.unassign(machine, assignment);
    // No agent is left to forget them; kept, they would keep a lost machine from being released.
    for (const exited of machine.exitedTasks.values()) exited.isGone = true;
    machine.exitedTasks.clear();
    this.dequeueAll(machine);
    this.listener.requestCycle();
  }

  private onDequeued(machine: Machine, queued: QueuedTask): void {
    this.countQueued(machine, queued.job, -1);
    queued.job.setPhase(queued.index, TaskPhase.Waiting);
    this.capacityIndex.update(machine);
  }

  private countQueued(machine: Machine, job: Job, by: 1 | -1): void {
    machine.queuedCpus += job.spec.cpus * by;
    machine.queuedGpus += job.spec.gpus * by;
    machine.queuedMemory += job.spec.memoryGb * by;
    // Sums of fractions drift; an empty queue is a chance to start from zero.
    if (machine.queue.length === 0) {
      machine.queuedCpus = 0;
      machine.queuedGpus = 0;
      machine.queuedMemory = 0;
    }
    this.countUsage(machine, job, by);
  }

  private countUsed(machine: Machine, job: Job, by: 1 | -1): void {
    machine.usedCpus += job.spec.cpus * by;
    machine.usedGpus += job.spec.gpus * by;
    machine.usedMemory += job.spec.memoryGb * by;
    if (machine.assignments.size === 0) {
      machine.usedCpus = 0;
      machine.usedGpus = 0;
      machine.usedMemory = 0;
    }
    this.countUsage(machine, job, by);
  }

  private countUsage(machine: Machine, job: Job, by: 1 | -1): void {
    job.countInZone(machine.zone, by);
    this.quota.add(job, by, machine.type.name);
  }
}
