// A constant rate of submissions of jobs with one task each, a quarter of which are cancelled, under each
// of several faults. Guards against status requests that get no response, requests to the store beyond its
// limits, and queues or tables that grow without bound (docs/safety.md, point 15).
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { JobId } from '../src/types/index.ts';
import { checkRules, type RuleChecks } from './support/checked-world.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

const JOBS_PER_S = 4;
/** Duration of the stream. */
const STREAM_S = 60;
/** Limits of the simulated store. */
const REQUESTS_PER_S = 200;
const WRITES_PER_S = 100;

interface Fault {
  name: string;
  /** Schedules the fault. */
  schedule: (world: SimulatedWorld) => void;
}

/** Crashes the leader, if there is one, and starts its controller again after `downtimeMs`. */
function restartLeader(world: SimulatedWorld, downtimeMs: number): void {
  const leader = world.leader;
  if (leader === undefined) return;
  world.crash(leader);
  world.after(downtimeMs, () => world.start(leader));
}

const faults: Fault[] = [
  { name: 'no fault', schedule: () => {} },
  {
    name: 'three crashes of the leader, each followed by an immediate restart',
    schedule: (world) => {
      for (const atS of [10, 22, 34]) world.after(atS * 1000, () => restartLeader(world, 400));
    },
  },
  {
    name: 'store outage for 15 s',
    schedule: (world) => world.after(15_000, () => world.state.outage(15)),
  },
  {
    name: 'the store refuses requests of the leader only, for 20 s',
    schedule: (world) =>
      world.after(12_000, () => {
        const leader = world.leader;
        if (leader === undefined) return;
        world.state.refusedNodes.add(leader);
        world.after(20_000, () => world.state.refusedNodes.clear());
      }),
  },
  {
    name: 'slow store for 15 s',
    schedule: (world) =>
      world.after(10_000, () => {
        world.storeDelayMs = 500;
        world.after(15_000, () => {
          world.storeDelayMs = 0;
        });
      }),
  },
  {
    name: 'every fifth store transaction is executed late',
    schedule: (world) => {
      let transactions = 0;
      world.after(10_000, () => {
        world.state.executionDelayMs = () => (++transactions % 5 === 0 ? 2500 : null);
        world.after(15_000, () => {
          world.state.executionDelayMs = null;
        });
      });
    },
  },
  {
    name: 'late copies of heartbeats, some of which reach the next leader',
    schedule: (world) => {
      let heartbeats = 0;
      world.heartbeatCopyDelayMs = () => (++heartbeats % 3 === 0 ? 2500 + (heartbeats % 9) * 1000 : null);
      world.shouldKeepHeartbeat = () => ++heartbeats % 4 === 0;
      world.after(25_000, () => restartLeader(world, 5000));
    },
  },
  {
    name: 'no leader can read the job records for 20 s, while users request the status of all jobs at every controller',
    schedule: (world) =>
      world.after(15_000, () => {
        world.state.refusedListPrefix = 'o/';
        restartLeader(world, 400);
        world.after(20_000, () => {
          world.state.refusedListPrefix = null;
        });
      }),
  },
];

/** Schedules the submission of all jobs, status requests for each, and the cancellation of every fourth. */
function scheduleJobs(world: SimulatedWorld, users: RuleChecks): JobId[] {
  const ids: JobId[] = [];
  for (let i = 0; i < JOBS_PER_S * STREAM_S; i++) {
    const id = `run-${i}` as JobId;
    ids.push(id);
    world.runSByJob.set(id, 1 + (i % 5));
    world.after((i * 1000) / JOBS_PER_S, () => {
      users.requestUntilAnswered({ op: 'submit', spec: job(id) });
      users.pollStatus(id);
      if (i % 4 === 0)
        world.after(200 + (i % 16) * 300, () => users.requestUntilAnswered({ op: 'cancel', id }));
    });
  }
  return ids;
}

/**
 * Runs the world for the duration of the stream; returns the maximum numbers of requests and of changes
 * that the store served in any one second.
 */
function runAndMeasureStoreLoad(world: SimulatedWorld): { requests: number; writes: number } {
  const peakPerS = { requests: 0, writes: 0 };
  let countedRequests = 0;
  for (let second = 0; second < STREAM_S; second++) {
    world.run(1);
    const served = world.state.executedRequests.slice(countedRequests);
    countedRequests = world.state.executedRequests.length;
    let writes = 0;
    for (const request of served)
      if (request.kind === 'compare-and-swap') writes += request.puts.length + request.deletes.length;
    peakPerS.requests = Math.max(peakPerS.requests, served.length);
    peakPerS.writes = Math.max(peakPerS.writes, writes);
  }
  return peakPerS;
}

/** Number of open jobs, pending writes and pending reads at each controller. */
const remainingWork = (world: SimulatedWorld): number[] =>
  [...world.nodes.values()].map(
    (controller) =>
      (controller.leaderTerm?.jobs.openJobs.size ?? 0) +
      (controller.leaderTerm?.writer.backlog ?? 0) +
      controller.jobRecords.backlog,
  );

describe('a stream of four jobs per second, a quarter of which are cancelled', () => {
  for (const { name, schedule } of faults)
    it(`gets timely responses within the limits of the store: ${name}`, () => {
      const world = new SimulatedWorld();
      world.run(3);
      const users = checkRules(world);
      const ids = scheduleJobs(world, users);
      schedule(world);
      const peakPerS = runAndMeasureStoreLoad(world);
      // The limits allow a burst of one second's budget in addition to the steady rate.
      assert.ok(peakPerS.requests <= 2 * REQUESTS_PER_S, `${peakPerS.requests} store requests in one second`);
      assert.ok(peakPerS.writes <= 2 * WRITES_PER_S, `${peakPerS.writes} store changes in one second`);
      users.rules.onFaultsEnded(world.now);
      assert.ok(
        world.until(() => users.rules.unfinishedJobs().length === 0, 90),
        `${users.rules.unfinishedJobs().length} jobs unfinished 90 s after the stream`,
      );
      assert.ok(
        users.rules.longestSilenceMs < 15_000,
        `a user got no response for ${users.rules.longestSilenceMs} ms`,
      );
      assert.ok(
        world.until(() => remainingWork(world).every((count) => count === 0), 15),
        `open jobs, writes and reads left at each controller: ${remainingWork(world)}`,
      );
      const cancelled = ids.filter((id) => world.jobs.get(id)?.cancelledAt !== null).length;
      assert.ok(cancelled >= ids.length / 8, `only ${cancelled} of ${ids.length} jobs were cancelled`);
      users.assertNoViolations();
    });
});
