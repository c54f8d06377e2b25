// Preempts running tasks for waiting work of a higher priority, and for nothing else (PROTOCOL,
// "Preemption"). Only array tasks that write checkpoints and have run long enough to justify their start are
// preempted. For a reservation, a task is preempted only if it would not end about as soon by itself
// (reservations.ts); for the head of a machine's queue, only after the head has waited for capacity to come
// free. Chains of preemptions cannot form a cycle, since a victim always has the lower priority.
import { elapsedMs, type Millis } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Job, TaskAssignment } from '../jobs/job.ts';
import type { Machine } from '../machines/machine.ts';
import { FreedCapacity } from './freed-capacity.ts';

/** A task that is preempted after less than this has not run long enough to justify its start. */
const MIN_RUN_BEFORE_PREEMPTION_MS: Millis = 30_000;
/** Limit for a task in one term, so that a stream of urgent work does not keep the task from ever ending. */
const MAX_PREEMPTIONS_PER_TASK = 2;
/** Limit of preemptions in progress at once: a fraction of the number of machines, but at least a few. */
const MAX_PREEMPTIONS_PER_MACHINE = 0.05;
const MIN_PREEMPTIONS_ALLOWED = 8;
/** How long the head of a queue waits for capacity to come free before tasks are preempted for it. */
const MIN_QUEUE_HEAD_WAIT_MS: Millis = 1000;
/** Time for the task to exit, in addition to the time that its checkpoint takes. */
const EXIT_GRACE_S = 1;

/** Chooses tasks to preempt, and marks them to be stopped with their machine's next heartbeat response. */
export class Preemption {
  /** Preempted tasks that may still be on their machines. */
  private readonly inProgress = new Set<TaskAssignment>();
  /** Number of preemptions by job and task index. */
  private readonly preemptionCounts = new WeakMap<Job, Map<number, number>>();
  private remaining = MIN_PREEMPTIONS_ALLOWED;

  constructor(
    private readonly io: ControllerIo,
    private readonly heartbeatIntervalS: number,
    /**
     * Whether every machine has sent a heartbeat and the leader lease is held; otherwise no task is
     * preempted.
     */
    private readonly isStateCertain: () => boolean,
  ) {}

  /** Starts a scheduling cycle: computes how many tasks may be preempted in it. */
  beginCycle(machineCount: number): void {
    for (const assignment of this.inProgress)
      if (assignment.isGone === true) this.inProgress.delete(assignment);
    if (!this.isStateCertain()) {
      this.remaining = 0;
      return;
    }
    const allowed = Math.max(MIN_PREEMPTIONS_ALLOWED, machineCount * MAX_PREEMPTIONS_PER_MACHINE);
    this.remaining = allowed - this.inProgress.size;
  }

  /** How many more tasks may be preempted in this cycle. */
  get remainingPreemptions(): number {
    return this.remaining;
  }

  /**
   * Seconds until the task's capacity is free if the next heartbeat response of its machine carries the stop
   * command; null if the task may not be preempted for the job.
   */
  secondsUntilFree(assignment: TaskAssignment, forJob: Job): number | null {
    if (!this.isPreemptible(assignment, forJob)) return null;
    return this.heartbeatIntervalS + assignment.job.spec.checkpointDurationS + EXIT_GRACE_S;
  }

  private isPreemptible(assignment: TaskAssignment, forJob: Job): boolean {
    const { job, index, runningAt } = assignment;
    if (job.priority >= forJob.priority || job.isCancelling) return false;
    if (job.spec.kind !== 'array' || job.spec.checkpointIntervalS <= 0) return false;
    if (assignment.state !== 'running' || assignment.stopping !== null || runningAt === null) return false;
    if (elapsedMs(this.io.now, runningAt) < MIN_RUN_BEFORE_PREEMPTION_MS) return false;
    return (this.preemptionCounts.get(job)?.get(index) ?? 0) < MAX_PREEMPTIONS_PER_TASK;
  }

  /**
   * The tasks to preempt so that the machine has capacity for a task of the job, taken in the order of
   * assignment until the capacity is enough; null if preempting every eligible task would not free enough.
   */
  findVictims(machine: Machine, job: Job): TaskAssignment[] | null {
    const capacity = new FreedCapacity(machine.unusedCapacity, job.spec);
    const victims: TaskAssignment[] = [];
    if (capacity.isEnough) return victims;
    for (const assignment of machine.assignments.values()) {
      // Tasks that are already stopping will free their capacity too.
      const isStopping = assignment.stopping !== null;
      if (!isStopping && !this.isPreemptible(assignment, job)) continue;
      capacity.addEndedTask(assignment.job.spec);
      if (!isStopping) victims.push(assignment);
      if (capacity.isEnough) return victims;
    }
    return null;
  }

  /** Preempts tasks of lower priority on the machine if the head of its queue has waited long enough. */
  preemptForQueueHead(machine: Machine): void {
    const head = machine.queue[0];
    if (head === undefined || this.remainingPreemptions <= 0) return;
    if (elapsedMs(this.io.now, head.queuedAt) < MIN_QUEUE_HEAD_WAIT_MS) return;
    const victims = this.findVictims(machine, head.job);
    if (victims === null || victims.length > this.remainingPreemptions) return;
    for (const victim of victims) this.preempt(victim, head.job);
  }

  /** Marks a task to be stopped, with time for a checkpoint. */
  preempt(victim: TaskAssignment, forJob: Job): void {
    this.countPreemption(victim);
    this.inProgress.add(victim);
    this.remaining--;
    victim.stopping = { graceS: victim.job.spec.checkpointDurationS + EXIT_GRACE_S };
    this.io.log('info', 'task preempted', {
      task: `${victim.job.id}/${victim.index}`,
      machine: victim.machine,
      for: forJob.id,
    });
  }

  private countPreemption({ job, index }: TaskAssignment): void {
    const counts = this.preemptionCounts.get(job) ?? new Map<number, number>();
    this.preemptionCounts.set(job, counts);
    counts.set(index, (counts.get(index) ?? 0) + 1);
  }
}
