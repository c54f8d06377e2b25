// The graph of dependencies between jobs in memory: readiness, cancellation, and what jobs inherit from their
// dependents.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ControllerIo, type Random } from '../src/core/base/io.ts';
import type { JobSpec } from '../src/core/base/model.ts';
import { Dependencies } from '../src/core/jobs/dependencies.ts';
import { Job } from '../src/core/jobs/job.ts';
import { JobOrdering, RuntimeEstimates } from '../src/core/jobs/job-ordering.ts';
import { JobTable } from '../src/core/jobs/job-table.ts';
import { seededRandom } from '../src/runtime/random.ts';
import type { Instant, JobId, Revision, WallTime } from '../src/types/index.ts';
import { job, settings } from './support/simulated-world.ts';

const dependent = (id: string, dependsOn: string[], over: Partial<JobSpec> = {}): JobSpec =>
  job(id, { ...over, dependsOn: dependsOn as JobId[] });

/** Dependencies between jobs in memory alone; the store never replies. */
function jobGraph() {
  const io = new ControllerIo(seededRandom(1));
  io.beginStep(0 as Instant, 1e9 as WallTime);
  const jobs = new JobTable(io, {} as never, {} as never);
  const estimates = new RuntimeEstimates();
  const dependencies = new Dependencies(io, settings('node-0'), jobs, estimates);
  jobs.listener = dependencies;
  const open = (spec: JobSpec): Job => {
    const opened = new Job({
      spec,
      revision: 1 as Revision,
      acceptedAt: 1e9 as WallTime,
      seenAt: 0 as Instant,
      mayHaveUnlocatedTasks: false,
      waitingJobs: jobs.waitingJobs,
    });
    jobs.openJobs.set(spec.id, opened);
    dependencies.onOpened(opened);
    return opened;
  };
  const close = (ended: Job, status: 'done' | 'cancelled', at = 1e9) => {
    ended.isOver = true;
    jobs.openJobs.delete(ended.id);
    jobs.waitingJobs.delete(ended);
    jobs.cacheFinalState(ended.id, status, at as WallTime);
    dependencies.onClosed(ended, status, at as WallTime);
  };
  const cancelJob = (cancelled: Job) => {
    cancelled.cancelled = true;
    dependencies.onCancelled(cancelled);
  };
  return { io, jobs, estimates, open, close, cancelJob };
}

/** A job graph that grows and ends at random, with what its states should be by the definition alone. */
class RandomJobGraph {
  readonly specs: JobSpec[] = [];
  private readonly graph = jobGraph();
  private readonly jobById = new Map<JobId, Job>();
  /** What happened to a job itself, not through a dependency. */
  private readonly ends = new Map<JobId, 'done' | 'cancelled'>();

  constructor(private readonly random: Random) {}

  /** Opens a job that depends on up to three earlier ones. */
  openRandomJob(): void {
    const { specs, random } = this;
    const indices =
      specs.length === 0 ? [] : [...Array(random.below(4))].map(() => random.below(specs.length));
    const dependsOn = [...new Set(indices.map((i) => specs[i]!.id))];
    const spec = job(`run-${specs.length}`, dependsOn.length === 0 ? {} : { dependsOn });
    specs.push(spec);
    this.jobById.set(spec.id, this.graph.open(spec));
  }

  /** Ends a ready job as done, or cancels any; then stores the final states of some cancelled ones. */
  endRandomJob(how: 'done' | 'cancelled'): void {
    const { random, graph, ends } = this;
    const going = [...graph.jobs.openJobs.values()].filter((opened) => !opened.cancelled);
    const ready = going.filter((opened) => !opened.isBlocked);
    if (how === 'done' && ready.length > 0) {
      const ended = ready[random.below(ready.length)]!;
      ends.set(ended.id, 'done');
      graph.close(ended, 'done');
    } else if (how === 'cancelled' && going.length > 0 && random.below(3) === 0) {
      const cancelled = going[random.below(going.length)]!;
      ends.set(cancelled.id, 'cancelled');
      graph.cancelJob(cancelled);
    }
    for (const opened of [...graph.jobs.openJobs.values()])
      if (opened.cancelled && random.below(3) === 0) graph.close(opened, 'cancelled');
  }

  /** By the definition alone: cancelled by its user, or a dependency is. */
  private shouldBeCancelled(spec: JobSpec): boolean {
    if (this.ends.get(spec.id) === 'cancelled') return true;
    return (spec.dependsOn ?? []).some((id) =>
      this.shouldBeCancelled(this.specs.find((other) => other.id === id)!),
    );
  }

  /** Compares the job's state with that of the recomputation. */
  check(spec: JobSpec, what: string): void {
    const checked = this.jobById.get(spec.id)!;
    if (this.ends.get(spec.id) === 'done') return;
    assert.equal(checked.cancelled, this.shouldBeCancelled(spec), what);
    const isReady = (spec.dependsOn ?? []).every((id) => this.ends.get(id) === 'done');
    if (!checked.cancelled) assert.equal(!checked.isBlocked, isReady, what);
    const shouldWait = !checked.isOver && !checked.isBlocked && checked.waitingTasks > 0;
    assert.equal(this.graph.jobs.waitingJobs.has(checked), shouldWait, what);
  }
}

describe('the graph of dependencies', () => {
  it('a final state that a repeated submission has read resolves the dependency on it', () => {
    const { io, jobs, open } = jobGraph();
    const blocked = open(dependent('run-b', ['run-a']));
    assert.equal(blocked.isBlocked, true);
    // While run-a's final state is being read for run-b, it is read for another reason first.
    jobs.cacheFinalState('run-a' as JobId, 'done', 1e9 as WallTime);
    for (const effect of io.takeEffects())
      if (effect.kind === 'store')
        io.resolve(effect.tag, {
          kind: 'item',
          item: { key: 'f/run-a', value: { s: 'done', w: 'x' }, revision: 1 },
        });
    assert.equal(blocked.isBlocked, false);
  });

  it('a job inherits the highest priority and the earliest deadline of its dependents, as long as they are open', () => {
    const { io, estimates, open, close, cancelJob } = jobGraph();
    const first = open(job('run-a', { priority: 0, estimatedRunS: 10 }));
    const second = open(dependent('run-b', ['run-a'], { priority: 0, estimatedRunS: 20 }));
    const urgent = open(dependent('run-c', ['run-b'], { priority: 2, estimatedRunS: 5, deadlineS: 100 }));
    const early = open(dependent('run-d', ['run-b'], { priority: 1, estimatedRunS: 5, deadlineS: 60 }));
    assert.deepEqual([first.priority, second.priority], [2, 2]);
    assert.deepEqual([first.inheritedDeadline, second.inheritedDeadline], [1e9 + 35_000, 1e9 + 55_000]);
    // The first is to start 10 s, its run time, before it must be done.
    const ordering = new JobOrdering([], estimates);
    assert.equal(ordering.slackS(first, io.now, 1e9), 25);
    cancelJob(early);
    assert.deepEqual([first.inheritedDeadline, second.inheritedDeadline], [1e9 + 75_000, 1e9 + 95_000]);
    cancelJob(urgent);
    assert.deepEqual([first.priority, first.inheritedDeadline], [0, Number.POSITIVE_INFINITY]);
    // Waits count from when the job became ready, deadlines from acceptance.
    close(first, 'done', 1e9 + 40_000);
    const waitOrdering = new JobOrdering(
      [{ kind: 'wait', class: 'plain', withinS: 30, share: 0.9, times: null }],
      estimates,
    );
    assert.equal(waitOrdering.slackS(second, io.now, 1e9 + 50_000), 20);
  });

  it('chains of thousands of jobs are cancelled, and pass on priorities, without recursion', () => {
    const { jobs, open, cancelJob } = jobGraph();
    const first = open(job('run-0', { priority: 0 }));
    for (let i = 1; i < 5000; i++)
      open(dependent(`run-${i}`, [`run-${i - 1}`], { priority: i === 4999 ? 3 : 0 }));
    assert.equal(first.priority, 3);
    cancelJob(first);
    assert.equal(
      [...jobs.openJobs.values()].every((opened) => opened.cancelled),
      true,
      'all are cancelled',
    );
  });

  it('over random graphs, ends and cancellations the states equal those of a plain recomputation', () => {
    for (let seed = 1; seed <= 30; seed++) {
      const random = seededRandom(seed);
      const graph = new RandomJobGraph(random);
      for (let step = 0; step < 120; step++) {
        const action = random.below(4);
        if (action < 2) graph.openRandomJob();
        else graph.endRandomJob(action === 2 ? 'done' : 'cancelled');
        for (const spec of graph.specs) graph.check(spec, `seed ${seed}, step ${step}: ${spec.id}`);
      }
    }
  });
});
