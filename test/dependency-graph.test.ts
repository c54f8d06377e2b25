// Tests of the in-memory dependency graph of jobs: readiness, cancellation, and the priorities and deadlines
// that jobs inherit from their dependents.
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

const dependent = (id: string, dependsOn: string[], overrides: Partial<JobSpec> = {}): JobSpec =>
  job(id, { ...overrides, dependsOn: dependsOn as JobId[] });

/** Creates a dependency graph without a store: requests to it get no reply unless the test sends one. */
function createJobGraph() {
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
  const close = (ended: Job, status: 'done' | 'cancelled', endedAt = 1e9) => {
    ended.isOver = true;
    jobs.openJobs.delete(ended.id);
    jobs.waitingJobs.delete(ended);
    jobs.cacheFinalState(ended.id, status, endedAt as WallTime);
    dependencies.onClosed(ended, status, endedAt as WallTime);
  };
  const cancelJob = (cancelled: Job) => {
    cancelled.cancelled = true;
    dependencies.onCancelled(cancelled);
  };
  return { io, jobs, estimates, open, close, cancelJob };
}

/**
 * A job graph in which jobs are opened and ended at random, with a reference computation of their expected
 * states directly from the definition.
 */
class RandomJobGraph {
  readonly specs: JobSpec[] = [];
  private readonly graph = createJobGraph();
  private readonly jobById = new Map<JobId, Job>();
  /** How jobs were ended directly by `endRandomJob`, without cancellations through dependencies. */
  private readonly directEnds = new Map<JobId, 'done' | 'cancelled'>();

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

  /**
   * Ends a ready job as done, or cancels any open job; then closes some of the cancelled jobs with their
   * final states.
   */
  endRandomJob(how: 'done' | 'cancelled'): void {
    const { random, graph, directEnds } = this;
    const notCancelled = [...graph.jobs.openJobs.values()].filter((opened) => !opened.cancelled);
    const ready = notCancelled.filter((opened) => !opened.isBlocked);
    if (how === 'done' && ready.length > 0) {
      const ended = ready[random.below(ready.length)]!;
      directEnds.set(ended.id, 'done');
      graph.close(ended, 'done');
    } else if (how === 'cancelled' && notCancelled.length > 0 && random.below(3) === 0) {
      const cancelled = notCancelled[random.below(notCancelled.length)]!;
      directEnds.set(cancelled.id, 'cancelled');
      graph.cancelJob(cancelled);
    }
    for (const opened of [...graph.jobs.openJobs.values()])
      if (opened.cancelled && random.below(3) === 0) graph.close(opened, 'cancelled');
  }

  /** Reference computation: a job is cancelled if its user or any of its dependencies was. */
  private shouldBeCancelled(spec: JobSpec): boolean {
    if (this.directEnds.get(spec.id) === 'cancelled') return true;
    return (spec.dependsOn ?? []).some((id) =>
      this.shouldBeCancelled(this.specs.find((other) => other.id === id)!),
    );
  }

  /** Compares the job's state with the reference computation. */
  check(spec: JobSpec, message: string): void {
    const checked = this.jobById.get(spec.id)!;
    if (this.directEnds.get(spec.id) === 'done') return;
    assert.equal(checked.cancelled, this.shouldBeCancelled(spec), message);
    const isReady = (spec.dependsOn ?? []).every((id) => this.directEnds.get(id) === 'done');
    if (!checked.cancelled) assert.equal(!checked.isBlocked, isReady, message);
    const shouldWait = !checked.isOver && !checked.isBlocked && checked.waitingTasks > 0;
    assert.equal(this.graph.jobs.waitingJobs.has(checked), shouldWait, message);
  }
}

describe('dependency graph of jobs', () => {
  it('a dependency is resolved when a repeated submission has its final state read first', () => {
    const { io, jobs, open } = createJobGraph();
    const blocked = open(dependent('run-b', ['run-a']));
    assert.equal(blocked.isBlocked, true);
    // While the graph reads the final state of run-a for run-b, another read puts it into the cache.
    jobs.cacheFinalState('run-a' as JobId, 'done', 1e9 as WallTime);
    for (const effect of io.takeEffects())
      if (effect.kind === 'store')
        io.resolve(effect.tag, {
          kind: 'item',
          item: { key: 'f/run-a', value: { s: 'done', w: 'x' }, revision: 1 },
        });
    assert.equal(blocked.isBlocked, false);
  });

  it('a job inherits the highest priority and the earliest deadline of its open dependents', () => {
    const { io, estimates, open, close, cancelJob } = createJobGraph();
    const first = open(job('run-a', { priority: 0, estimatedRunS: 10 }));
    const second = open(dependent('run-b', ['run-a'], { priority: 0, estimatedRunS: 20 }));
    const urgent = open(dependent('run-c', ['run-b'], { priority: 2, estimatedRunS: 5, deadlineS: 100 }));
    const early = open(dependent('run-d', ['run-b'], { priority: 1, estimatedRunS: 5, deadlineS: 60 }));
    assert.deepEqual([first.priority, second.priority], [2, 2]);
    assert.deepEqual([first.inheritedDeadline, second.inheritedDeadline], [1e9 + 35_000, 1e9 + 55_000]);
    // The latest start of run-a is 10 s, its run time, before its inherited deadline.
    const ordering = new JobOrdering([], estimates);
    assert.equal(ordering.slackS(first, io.now, 1e9), 25);
    cancelJob(early);
    assert.deepEqual([first.inheritedDeadline, second.inheritedDeadline], [1e9 + 75_000, 1e9 + 95_000]);
    cancelJob(urgent);
    assert.deepEqual([first.priority, first.inheritedDeadline], [0, Number.POSITIVE_INFINITY]);
    // Waiting time counts from when the job became ready, deadlines from acceptance.
    close(first, 'done', 1e9 + 40_000);
    const waitOrdering = new JobOrdering(
      [{ kind: 'wait', class: 'plain', withinS: 30, share: 0.9, times: null }],
      estimates,
    );
    assert.equal(waitOrdering.slackS(second, io.now, 1e9 + 50_000), 20);
  });

  it('cancellations and priorities pass through a chain of 5000 jobs without a stack overflow', () => {
    const { jobs, open, cancelJob } = createJobGraph();
    const first = open(job('run-0', { priority: 0 }));
    for (let i = 1; i < 5000; i++)
      open(dependent(`run-${i}`, [`run-${i - 1}`], { priority: i === 4999 ? 3 : 0 }));
    assert.equal(first.priority, 3);
    cancelJob(first);
    assert.equal(
      [...jobs.openJobs.values()].every((opened) => opened.cancelled),
      true,
      'all jobs of the chain should be cancelled',
    );
  });

  it('states in random graphs with random ends and cancellations equal those of the reference computation', () => {
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
