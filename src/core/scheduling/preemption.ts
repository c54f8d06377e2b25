// Which running tasks are preempted for waiting work of a higher priority, and for nothing else (PROTOCOL,
// "Preemption"): tasks of arrays that write checkpoints, have run for long enough that their start was worth
// it, and would not end as soon by themselves. Chains of preemptions cannot form a cycle, since a victim
// always has the lower priority.
import { elapsedMs, type Millis } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Job, TaskAssignment } from '../jobs/job.ts';
import type { Machine } from '../machines/machine.ts';
import { FreedCapacity } from './freed-capacity.ts';

/** A start that is undone sooner than this helped nobody. */
const MIN_RUN_MS: Millis = 30_000;
/** Preemptions of a task in one term, so that a stream of urgent work does not keep it from ending. */
const MAX_PREEMPTIONS_PER_TASK = 2;
/** Preemptions under way at once: a fraction of the number of machines, and a few in any case. */
const MAX_PREEMPTIONS_PER_MACHINE = 0.05;
const MIN_PREEMPTIONS_ALLOWED = 8;
/** The head of a queue waits so long for capacity that comes free by itself. */
const QUEUE_HEAD_PATIENCE_MS: Millis = 1000;
/** Added to the time that a checkpoint takes, for the task to exit. */
const EXIT_GRACE_S = 1;

/** Chooses tasks to preempt, and marks them to be stopped with their machine's next heartbeat response. */
export class Preemption {
  /** Preempted tasks that are not known to be gone. */
  private readonly underWay = new Set<TaskAssignment>();
  /** Number of preemptions by job and task index. */
  private readonly counts = new WeakMap<Job, Map<number, number>>();
  private remaining = MIN_PREEMPTIONS_ALLOWED;

  constructor(
    private readonly io: ControllerIo,
    private readonly heartbeatS: number,
    /** Whether every machine has sent a heartbeat and the lease is held: nothing is preempted on a guess. */
    private readonly isStateCertain: () => boolean,
  ) {}

  /** At the start of a scheduling cycle. */
  beginCycle(machines: number): void {
    for (const assignment of this.underWay) if (assignment.isGone === true) this.underWay.delete(assignment);
    if (!this.isStateCertain()) {
      this.remaining = 0;
      return;
    }
    const allowed = Math.max(MIN_PREEMPTIONS_ALLOWED, machines * MAX_PREEMPTIONS_PER_MACHINE);
    this.remaining = allowed - this.underWay.size;
  }

  /** How many more tasks may be preempted in this cycle. */
  get remainingStops(): number {
    return this.remaining;
  }

  /**
   * Seconds until the task's capacity is free if it is told to stop with its machine's next heartbeat
   * response; null if it may not be preempted for the job.
   */
  secondsUntilFree(assignment: TaskAssignment, forJob: Job): number | null {
    if (!this.isPreemptible(assignment, forJob)) return null;
    return this.heartbeatS + assignment.job.spec.checkpointDurationS + EXIT_GRACE_S;
  }

  private isPreemptible(assignment: TaskAssignment, forJob: Job): boolean {
    const { job, index, runningAt } = assignment;
    if (job.priority >= forJob.priority || job.isCancelling) return false;
    if (job.spec.kind !== 'array' || job.spec.checkpointIntervalS <= 0) return false;
    if (assignment.state !== 'running' || assignment.stopping !== null || runningAt === null) return false;
    if (elapsedMs(this.io.now, runningAt) < MIN_RUN_MS) return false;
    return (this.counts.get(job)?.get(index) ?? 0) < MAX_PREEMPTIONS_PER_TASK;
  }

  /**
   * The tasks to preempt so that the machine has capacity for a task of the job, as few as possible; null if
   * even all that may be preempted would not be enough.
   */
  findVictims(machine: Machine, job: Job): TaskAssignment[] | null {
    const capacity = new FreedCapacity(
      machine.type.cpus - machine.usedCpus,
      machine.type.gpus - machine.usedGpus,
      machine.type.memoryGb - machine.usedMemory,
      job.spec,
    );
    const victims: TaskAssignment[] = [];
    if (capacity.isEnough) return victims;
    for (const assignment of machine.assignments.values()) {
      // What is stopping already frees its capacity as well.
      const isStopping = assignment.stopping !== null;
      if (!isStopping && !this.isPreemptible(assignment, job)) continue;
      capacity.addTask(assignment.job.spec);
      if (!isStopping) victims.push(assignment);
      if (capacity.isEnough) return victims;
    }
    return null;
  }

  /** Preempts less urgent tasks on the machine if the head of its queue has waited for long enough. */
  preemptForQueueHead(machine: Machine): void {
    const head = machine.queue[0];
    if (head === undefined || this.remainingStops <= 0) return;
    if (elapsedMs(this.io.now, head.since) < QUEUE_HEAD_PATIENCE_MS) return;
    const victims = this.findVictims(machine, head.job);
    if (victims === null || victims.length > this.remainingStops) return;
    for (const victim of victims) this.preempt(victim, head.job);
  }

  /** Marks a task to be stopped, with time for a checkpoint. */
  preempt(victim: TaskAssignment, forJob: Job): void {
    this.countPreemption(victim);
    this.underWay.add(victim);
    this.remaining--;
    victim.stopping = { graceS: victim.job.spec.checkpointDurationS + EXIT_GRACE_S };
    this.io.log('info', 'task preempted', {
      task: `${victim.job.id}/${victim.index}`,
      machine: victim.machine,
      for: forJob.id,
    });
  }

  private countPreemption({ job, index }: TaskAssignment): void {
    const counts = this.counts.get(job) ?? new Map<number, number>();
    this.counts.set(job, counts);
    counts.set(index, (counts.get(index) ?? 0) + 1);
  }
}
