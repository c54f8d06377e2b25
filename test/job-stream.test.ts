// A steady stream of jobs with one task each, a quarter of them cancelled, under each of several faults: no
// status request stays unanswered, requests to the store stay within their limit, and nothing grows without
// bound (docs/safety.md, point 15).
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { JobId } from '../src/types/index.ts';
import { type Judged, judge } from './support/checked-world.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

const JOBS_PER_S = 4;
const SECONDS = 60;
/** Limits of the simulated store. */
const REQUESTS_PER_S = 200;
const WRITES_PER_S = 100;

interface Fault {
  name: string;
  /** Schedules the fault. */
  schedule: (world: SimulatedWorld) => void;
}

/** Crashes the leader, if there is one, and starts its controller again after a while. */
function restartLeader(world: SimulatedWorld, downMs: number): void {
  const leader = world.owner;
  if (leader === undefined) return;
  world.crash(leader);
  world.after(downMs, () => world.start(leader));
}

const faults: Fault[] = [
  { name: 'no fault', schedule: () => {} },
  {
    name: 'the leader crashes, restarts at once, and crashes again',
    schedule: (world) => {
      for (const atS of [10, 22, 34]) world.after(atS * 1000, () => restartLeader(world, 400));
    },
  },
  {
    name: 'an outage of the store for 15 s',
    schedule: (world) => world.after(15_000, () => world.state.outage(15)),
  },
  {
    name: 'the store refuses the leader alone for 20 s',
    schedule: (world) =>
      world.after(12_000, () => {
        const leader = world.owner;
        if (leader === undefined) return;
        world.state.refused.add(leader);
        world.after(20_000, () => world.state.refused.clear());
      }),
  },
  {
    name: 'a slow store',
    schedule: (world) =>
      world.after(10_000, () => {
        world.stateSlowMs = 500;
        world.after(15_000, () => {
          world.stateSlowMs = 0;
        });
      }),
  },
  {
    name: 'transactions that are executed late',
    schedule: (world) => {
      let transactions = 0;
      world.after(10_000, () => {
        world.state.lateMs = () => (++transactions % 5 === 0 ? 2500 : null);
        world.after(15_000, () => {
          world.state.lateMs = null;
        });
      });
    },
  },
  {
    name: 'late copies of heartbeats, also to the next leader',
    schedule: (world) => {
      let heartbeats = 0;
      world.copyMs = () => (++heartbeats % 3 === 0 ? 2500 + (heartbeats % 9) * 1000 : null);
      world.keepReport = () => ++heartbeats % 4 === 0;
      world.after(25_000, () => restartLeader(world, 5000));
    },
  },
  {
    name: 'no leader that can read the records for 20 s, while users ask about all jobs at every controller',
    schedule: (world) =>
      world.after(15_000, () => {
        world.state.unreadable = 'o/';
        restartLeader(world, 400);
        world.after(20_000, () => {
          world.state.unreadable = null;
        });
      }),
  },
];

/** Schedules the submission of all jobs, status requests for each, and the cancellation of every fourth. */
function scheduleJobs(world: SimulatedWorld, users: Judged): JobId[] {
  const ids: JobId[] = [];
  for (let i = 0; i < JOBS_PER_S * SECONDS; i++) {
    const id = `run-${i}` as JobId;
    ids.push(id);
    world.runOf.set(id, 1 + (i % 5));
    world.after((i * 1000) / JOBS_PER_S, () => {
      users.insist({ op: 'submit', spec: job(id) });
      users.follow(id);
      if (i % 4 === 0) world.after(200 + (i % 16) * 300, () => users.insist({ op: 'cancel', id }));
    });
  }
  return ids;
}

/**
 * Runs the world for the stream's duration; returns the most requests and changes that the store served in a
 * second.
 */
function runAndMeasureStoreLoad(world: SimulatedWorld): { requests: number; writes: number } {
  const most = { requests: 0, writes: 0 };
  let counted = 0;
  for (let second = 0; second < SECONDS; second++) {
    world.run(1);
    const served = world.state.served.slice(counted);
    counted = world.state.served.length;
    let writes = 0;
    for (const request of served)
      if (request.kind === 'compare-and-swap') writes += request.puts.length + request.deletes.length;
    most.requests = Math.max(most.requests, served.length);
    most.writes = Math.max(most.writes, writes);
  }
  return most;
}

/** What is left at each controller of jobs that users were told are over: open jobs, writes and reads. */
const remainingWork = (world: SimulatedWorld): number[] =>
  [...world.nodes.values()].map(
    (controller) =>
      (controller.leaderTerm?.jobs.openJobs.size ?? 0) +
      (controller.leaderTerm?.writer.backlog ?? 0) +
      controller.jobRecords.backlog,
  );

describe('a stream of four jobs a second, a quarter of them cancelled', () => {
  for (const { name, schedule } of faults)
    it(`is served in time and within the limits of the store: ${name}`, () => {
      const world = new SimulatedWorld();
      world.run(3);
      const users = judge(world);
      const ids = scheduleJobs(world, users);
      schedule(world);
      const most = runAndMeasureStoreLoad(world);
      // Bursts of a second's worth are allowed.
      assert.ok(most.requests <= 2 * REQUESTS_PER_S, `${most.requests} requests in a second`);
      assert.ok(most.writes <= 2 * WRITES_PER_S, `${most.writes} changes in a second`);
      users.rules.troublesOver(world.now);
      assert.ok(
        world.until(() => users.rules.unfinished().length === 0, 90),
        `${users.rules.unfinished().length} left`,
      );
      assert.ok(users.rules.longestSilenceMs < 15_000, `${users.rules.longestSilenceMs} ms`);
      assert.ok(
        world.until(() => remainingWork(world).every((count) => count === 0), 15),
        `${remainingWork(world)} left`,
      );
      const cancelled = ids.filter((id) => world.jobs.get(id)?.cancelledAt !== null).length;
      assert.ok(cancelled >= ids.length / 8, `${cancelled} cancelled`);
      users.sound();
    });
});
