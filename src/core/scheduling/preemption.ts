// Which running tasks give way to waiting work of a higher priority, and to nothing else (PROTOCOL, "Preemption"). Chosen are
// tasks of arrays that save their progress, have run for long enough that their start was worth it, and would not end by
// themselves as soon. Nobody can be stopped in turn by what it was stopped for: that is of a lower priority on no account.
import { elapsedMs, type Instant } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Job, TaskAssignment } from '../jobs/job.ts';
import type { Machine } from '../machines/machine.ts';

/** A start that is undone sooner than this helped nobody. */
const RAN_MS = 30_000;
/** A task is stopped no more often than this in a term, so that a stream of urgent work does not keep it from ending. */
const TIMES = 2;
/** Stops under way at once: a part of the machines, and a few in any case. */
const PART = 0.05;
const LEAST = 8;
/** The head of a queue waits so long for room that comes by itself. */
const QUEUED_MS = 1000;
const EPS = 1e-9;

export class Preemption {
  private readonly under = new Set<TaskAssignment>();
  private readonly times = new WeakMap<Job, Map<number, number>>();
  private most = LEAST;

  constructor(
    private readonly io: ControllerIo,
    private readonly reportS: number,
    /** Whether every machine has been heard and the share is held: nothing is stopped on a guess. */
    private readonly sure: () => boolean,
  ) {}

  /** At the start of a pass. */
  beginCycle(machines: number): void {
    for (const e of this.under) if (e.isGone === true) this.under.delete(e);
    this.most = this.sure() ? Math.max(LEAST, machines * PART) - this.under.size : 0;
  }

  /** How many more may be stopped in this pass. */
  get remainingStops(): number {
    return this.most;
  }

  /** Seconds until the task's room is free if it is told to stop with its machine's next answer; null if it may not be. */
  freeS(e: TaskAssignment, forJob: Job): number | null {
    const { job } = e;
    if (job.priority >= forJob.priority || job.spec.kind !== 'array' || job.spec.checkpointIntervalS <= 0)
      return null;
    if (e.state !== 'running' || e.stopping !== null || e.runningAt === null || job.isCancelling) return null;
    if (elapsedMs(this.io.now, e.runningAt as Instant) < RAN_MS) return null;
    if ((this.times.get(job)?.get(e.index) ?? 0) >= TIMES) return null;
    return this.reportS + job.spec.checkpointDurationS + 1;
  }

  /** Who must give way so that the machine has room for the job's task, fewest first; null if that does not help. */
  plan(m: Machine, job: Job): TaskAssignment[] | null {
    const { cpus, gpus, memoryGb } = job.spec;
    let c = m.type.cpus - m.usedCpus - cpus;
    let g = m.type.gpus - m.usedGpus - gpus;
    let mem = m.type.memoryGb - m.usedMemory - memoryGb;
    const out: TaskAssignment[] = [];
    const enough = () => c >= -EPS && g >= -EPS && mem >= -EPS;
    if (enough()) return out;
    for (const e of m.assignments.values()) {
      // What has been told to stop makes room as well.
      const freed = e.stopping !== null || this.freeS(e, job) !== null;
      if (!freed) continue;
      c += e.job.spec.cpus;
      g += e.job.spec.gpus;
      mem += e.job.spec.memoryGb;
      if (e.stopping === null) out.push(e);
      if (enough()) return out;
    }
    return null;
  }

  /** The head of a machine's queue has waited: less urgent tasks on the machine give way to it. */
  forQueue(m: Machine): void {
    const head = m.queue[0];
    if (head === undefined || elapsedMs(this.io.now, head.since) < QUEUED_MS || this.remainingStops <= 0)
      return;
    const stops = this.plan(m, head.job);
    if (stops !== null && stops.length <= this.remainingStops) for (const e of stops) this.stop(e, head.job);
  }

  stop(e: TaskAssignment, forJob: Job): void {
    const times = this.times.get(e.job) ?? new Map<number, number>();
    this.times.set(e.job, times);
    times.set(e.index, (times.get(e.index) ?? 0) + 1);
    this.under.add(e);
    this.most--;
    e.stopping = { graceS: e.job.spec.checkpointDurationS + 1 };
    this.io.log('info', 'task gives way', {
      task: `${e.job.id}/${e.index}`,
      machine: e.machine,
      for: forJob.id,
    });
  }
}
