// Tests the checker of the rules that users rely on: each rule with a history that breaks it.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { JobSpec, UserResponse } from '../src/core/base/model.ts';
import type { JobId, TeamName } from '../src/types/index.ts';
import { CANCEL_MS, impossibleReason, limitOf } from './support/checked-world.ts';
import {
  type FreeCapacity,
  type PlacedTask,
  RuleChecker,
  ScannedPlacements,
} from './support/rule-checker.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

const id = 'run-1' as JobId;

const northMachine = { id: 'i-1', type: 'box', zone: 'north', spot: false };

const southMachine = { id: 'i-2', type: 'box', zone: 'south', spot: false };

function createFixture(): {
  checker: RuleChecker;
  running: PlacedTask[];
  accept: (spec: JobSpec) => void;
  /** The free capacity of machines. */
  freeCapacity: FreeCapacity[];
  respond: (response: UserResponse, at?: number) => void;
} {
  const running: PlacedTask[] = [];
  const freeCapacity: FreeCapacity[] = [];
  const world = new SimulatedWorld();
  const limits = {
    cancelMs: CANCEL_MS,
    limitOf,
    unfit: (spec: JobSpec) => impossibleReason(world, spec),
    rooms: () => freeCapacity,
  };
  const checker = new RuleChecker(limits, new ScannedPlacements(() => running));
  const respond = (response: UserResponse, at = 1000) =>
    checker.onResponse(at, at, { op: 'status', id }, response);
  const accept = (spec: JobSpec) => {
    checker.onRequest(0, { op: 'submit', spec });
    checker.onResponse(1, 0, { op: 'submit', spec }, { kind: 'accepted', id: spec.id });
  };
  return { checker, running, accept, freeCapacity, respond };
}

const queuedResponse: UserResponse = { kind: 'status', id, status: 'queued', done: 0, running: 0 };

const endedResponse = (status: 'done' | 'cancelled'): UserResponse => ({ kind: 'ended', id, status });

const violations: [string, (fixture: ReturnType<typeof createFixture>) => void][] = [
  [
    'ran_twice',
    ({ checker, running, accept }) => {
      accept(job(id));
      running.push({ task: `${id}/0`, machine: northMachine });
      checker.onTaskStart(5, `${id}/0`, southMachine);
    },
  ],
  [
    'quota',
    ({ checker, running, accept }) => {
      accept(job(id, { team: 'small' as TeamName, tasks: 2, cpus: 4 }));
      running.push({ task: `${id}/0`, machine: northMachine });
      checker.onTaskStart(5, `${id}/1`, southMachine);
    },
  ],
  [
    'wrong_place',
    ({ checker, running, accept }) => {
      accept(job(id, { oneZone: true, tasks: 2 }));
      running.push({ task: `${id}/0`, machine: northMachine });
      checker.onTaskStart(5, `${id}/1`, southMachine);
    },
  ],
  [
    'wrong_place',
    ({ checker, running, accept }) => {
      accept(job(id, { spread: true, tasks: 2 }));
      running.push({ task: `${id}/0`, machine: northMachine });
      checker.onTaskStart(5, `${id}/1`, { ...northMachine, id: 'i-3' });
    },
  ],
  [
    'ran_cancelled',
    ({ checker, running, accept, respond }) => {
      accept(job(id));
      checker.onRequest(900, { op: 'cancel', id });
      respond(endedResponse('cancelled'));
      running.push({ task: `${id}/0`, machine: northMachine });
      checker.checkTimeLimits(1000 + CANCEL_MS);
      assert.deepEqual(checker.violations, []);
      checker.checkTimeLimits(1001 + CANCEL_MS);
    },
  ],
  [
    'ran_cancelled',
    ({ checker, accept, respond }) => {
      accept(job(id));
      checker.onRequest(900, { op: 'cancel', id });
      respond(endedResponse('cancelled'));
      checker.onTaskStart(1001 + CANCEL_MS, `${id}/0`, northMachine);
    },
  ],
  [
    'forgotten',
    ({ accept, respond }) => {
      accept(job(id));
      respond({ kind: 'not-found' });
    },
  ],
  [
    'forgotten',
    ({ checker, accept }) => {
      accept(job(id));
      checker.onFaultsEnded(10_000);
      checker.onRequest(80_000, { op: 'status', id });
      checker.checkTimeLimits(85_000);
      assert.deepEqual(checker.violations, []);
      checker.checkTimeLimits(85_001);
    },
  ],
  ['invented', ({ respond }) => respond(queuedResponse)],
  [
    'not_done',
    ({ checker, accept, respond }) => {
      accept(job(id, { tasks: 2 }));
      checker.onTaskDone(`${id}/0`);
      respond(endedResponse('done'));
    },
  ],
  [
    'went_back',
    ({ checker, accept, respond }) => {
      accept(job(id));
      checker.onTaskDone(`${id}/0`);
      respond(endedResponse('done'));
      // An earlier status is allowed as the response to a request that was sent before the job was reported
      // as done.
      checker.onResponse(2000, 900, { op: 'status', id }, queuedResponse);
      assert.deepEqual(checker.violations, []);
      respond(queuedResponse, 2000);
    },
  ],
  [
    'went_back',
    ({ accept, respond }) => {
      accept(job(id));
      respond(endedResponse('cancelled'));
    },
  ],
  [
    'started_cancelled',
    ({ checker, accept, respond }) => {
      accept(job(id));
      checker.onRequest(900, { op: 'cancel', id });
      respond(endedResponse('cancelled'));
      // A start command sent before the cancellation was confirmed may still arrive for a few seconds.
      checker.onTaskStart(5000, `${id}/0`, northMachine);
      assert.deepEqual(checker.violations, []);
      checker.onTaskStart(5200, `${id}/0`, northMachine);
    },
  ],
  [
    'ran_cancelled',
    ({ checker, running, accept, respond }) => {
      accept(job(id));
      checker.onRequest(900, { op: 'cancel', id });
      running.push({ task: `${id}/0`, machine: northMachine });
      respond(endedResponse('cancelled'));
      // The machine hangs, so that its task is not observed, and then resumes.
      running.pop();
      checker.checkTimeLimits(1000 + CANCEL_MS + 2000);
      assert.deepEqual(checker.violations, []);
      running.push({ task: `${id}/0`, machine: northMachine });
      checker.checkTimeLimits(1000 + CANCEL_MS + 4000);
    },
  ],
  [
    'left_waiting',
    ({ checker, accept, freeCapacity }) => {
      accept(job(id, { team: 'small' as TeamName, cpus: 4 }));
      checker.onFaultsEnded(10_000);
      // Without free capacity, or with an interruption of it, the job does not count as left waiting.
      for (let at = 10_000; at < 60_000; at += 1000) checker.checkTimeLimits(at);
      freeCapacity.push({ machine: northMachine, cpus: 4, gpus: 0, memoryGb: 8 });
      for (let at = 60_000; at < 120_000; at += 1000) checker.checkTimeLimits(at);
      freeCapacity[0]!.cpus = 3;
      checker.checkTimeLimits(120_000);
      freeCapacity[0]!.cpus = 4;
      for (let at = 121_000; at <= 211_000; at += 1000) checker.checkTimeLimits(at);
      assert.deepEqual(checker.violations, []);
      checker.checkTimeLimits(211_001);
    },
  ],
  [
    'accepted_unfit',
    ({ accept }) => {
      accept(job(id, { cpus: 99 }));
    },
  ],
  [
    'accepted_unfit',
    ({ accept }) => {
      const { image: _, ...rest } = job(id);
      accept(rest as JobSpec);
    },
  ],
  [
    'nothing_ran',
    ({ checker, accept }) => {
      accept(job(id));
      checker.checkAnyTaskStarted(100_000);
    },
  ],
];

describe('the rule checker', () => {
  it('reports each rule that a history breaks, and nothing for a history that breaks none', () => {
    for (const [rule, breakRule] of violations) {
      const fixture = createFixture();
      breakRule(fixture);
      assert.equal(fixture.checker.violations.length, 1, rule);
      assert.match(fixture.checker.violations[0]!, new RegExp(` ${rule}: `));
    }
    const { checker, accept, respond } = createFixture();
    accept(job(id));
    checker.onTaskStart(5, `${id}/0`, northMachine);
    checker.onTaskDone(`${id}/0`);
    respond(endedResponse('done'));
    checker.checkTimeLimits(2000);
    checker.checkAnyTaskStarted(3000);
    assert.deepEqual(checker.violations, []);
  });
});
