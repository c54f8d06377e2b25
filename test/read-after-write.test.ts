// Tests that no node responds with an older state of a job than users were told before. Within milliseconds
// of the response that a job was accepted, has ended or is cancelled, users query its status at all nodes,
// repeat its submission, and cancel some jobs; also while replies of the store are lost (docs/safety.md,
// point 15).
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { JobSpec, StoreRequest, UserResponse } from '../src/core/base/model.ts';
import type { JobId, MachineTypeName, ZoneName } from '../src/types/index.ts';
import { checkRules, type RuleChecks } from './support/checked-world.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

const idOf = (i: number): JobId => `run-${i}` as JobId;
/** Delays after the first response with a new state at which users send requests to all nodes. */
const REQUEST_DELAYS_MS = [0, 1, 3, 8, 20, 60, 150, 400];

interface ObservedResponses {
  /**
   * Number of requests that were answered within 100 ms of the first response with a state, by that state.
   */
  promptByState: Map<string, number>;
}

/**
 * From now on, after the first response with each new state of a job, users send requests about the job to
 * all nodes. Every fifth job that is accepted is cancelled at once.
 */
function sendRequestsOnNewState(world: SimulatedWorld): ObservedResponses {
  const seenStates = new Set<string>();
  const promptByState = new Map<string, number>();
  let acceptedCount = 0;
  const observed: ObservedResponses = { promptByState };
  world.onUserResponse = (response: UserResponse) => {
    if (response.kind !== 'accepted' && response.kind !== 'ended') return;
    const { id } = response;
    const state = response.kind === 'ended' ? response.status : 'accepted';
    if (seenStates.has(`${id} ${state}`)) return;
    seenStates.add(`${id} ${state}`);
    const { spec } = world.jobs.get(id)!;
    if (state === 'accepted' && ++acceptedCount % 5 === 0)
      for (const node of world.nodes.keys()) world.sendRequest(node, { op: 'cancel', id });
    const firstResponseAt = world.now;
    for (const delayMs of REQUEST_DELAYS_MS)
      world.after(delayMs, () => {
        for (const node of [...world.nodes.keys()]) {
          const requests = [
            world.sendRequest(node, { op: 'status', id }),
            world.sendRequest(node, { op: 'submit', spec }),
          ];
          world.after(45, () => {
            for (const request of requests)
              if (
                request.answer !== null &&
                request.answer.kind !== 'retry' &&
                world.now - firstResponseAt < 100
              )
                promptByState.set(state, (promptByState.get(state) ?? 0) + 1);
          });
        }
      });
  };
  return observed;
}

/** Submits `jobCount` jobs at an interval, and queries the status of each one regularly from then on. */
function submitJobs(
  world: SimulatedWorld,
  jobCount: number,
  intervalMs: number,
  overridesOf: (i: number) => Partial<JobSpec> = () => ({}),
): RuleChecks {
  const checked = checkRules(world);
  for (let i = 1; i <= jobCount; i++)
    world.after(i * intervalMs, () => {
      world.runSByJob.set(idOf(i), 0.7 + (i % 7) * 0.3);
      checked.requestUntilAnswered({ op: 'submit', spec: job(idOf(i), overridesOf(i)) });
      checked.pollStatus(idOf(i));
    });
  return checked;
}

/** Asserts that all accepted jobs end, and that no rule was broken. */
function assertAllJobsEnd(world: SimulatedWorld, checked: RuleChecks, seconds = 120): void {
  checked.rules.onFaultsEnded(world.now);
  assert.ok(
    world.until(() => checked.rules.unfinishedJobs().length === 0, seconds),
    checked.rules.unfinishedJobs().join(),
  );
  checked.assertNoViolations();
}

/** Whether a request puts a key with this prefix. */
const putsUnder = (prefix: string) => (request: StoreRequest) =>
  request.kind === 'compare-and-swap' && request.puts.some((put) => put.key.startsWith(prefix));

/**
 * Faults during the requests: a name, and a function that begins the fault and returns the one that ends it.
 */
const faultCases: [string, (world: SimulatedWorld) => () => void][] = [
  ['without faults', () => () => {}],
  [
    'the other controllers cannot reach the leader',
    (world) => {
      const { leader } = world;
      isolateLeader(world);
      return () => {
        for (const node of world.nodes.keys()) if (node !== leader) world.heal(node, leader!);
      };
    },
  ],
  [
    'half of all transactions get no reply and are carried out late',
    (world) => {
      let count = 0;
      world.state.executionDelayMs = () => (++count % 2 === 0 ? 2500 + (count % 5) * 1000 : null);
      return () => {
        world.state.executionDelayMs = null;
      };
    },
  ],
];

describe('requests to all nodes right after a response with a new job state', () => {
  for (const [name, beginFault] of faultCases)
    it(`are not answered with an older state by any node: ${name}`, () => {
      const world = new SimulatedWorld();
      world.run(2);
      const observed = sendRequestsOnNewState(world);
      const checked = submitJobs(world, 24, 500);
      world.run(2);
      const endFault = beginFault(world);
      world.run(14);
      endFault();
      assertAllJobsEnd(world, checked);
      for (const state of ['accepted', 'done', 'cancelled'])
        assert.ok(
          (observed.promptByState.get(state) ?? 0) >= 10,
          `${state}: ${observed.promptByState.get(state)}`,
        );
    });
});

/** Cuts the leader off from the other controllers; its users and machines can still reach it. */
function isolateLeader(world: SimulatedWorld): void {
  const { leader } = world;
  for (const node of world.nodes.keys()) if (node !== leader) world.cut(node, leader!, 'drop');
}

// The transactions are carried out at once and only their replies are lost, so other nodes read what was
// written before its sender knows that it was.
const lostReplyCases: [string, (request: StoreRequest) => boolean, (world: SimulatedWorld) => void][] = [
  ['acceptances and cancellations', putsUnder('o/'), () => {}],
  [
    'acceptances by another node while the leader is frozen',
    putsUnder('o/'),
    (world) => world.freeze(world.leader!),
  ],
  ['final states', putsUnder('f/'), () => {}],
  ['the machine registry', putsUnder('m/'), () => {}],
  ['results', putsUnder('d/'), () => {}],
  ['cancellations, while the other nodes read the record', putsUnder('o/'), isolateLeader],
  ['final states, while the other nodes read the record', putsUnder('f/'), isolateLeader],
  ['elections', putsUnder('share/0'), (world) => world.crash(world.leader!)],
  ['lease renewals', (request) => request.kind === 'renew-lease', () => {}],
  ['all transactions, and the leader crashes', () => true, (world) => world.crash(world.leader!)],
];

describe('a transaction that is carried out although its reply is lost', () => {
  for (const [name, isAffected, beginFault] of lostReplyCases)
    it(`causes no response with an older state: ${name}`, () => {
      const world = new SimulatedWorld();
      world.run(2);
      const names = [...world.nodes.keys()];
      sendRequestsOnNewState(world);
      let count = 0;
      // Every third affected reply arrives: without any, no write would ever be known to be stored.
      world.state.losesAnswer = (_node, request) => isAffected(request) && ++count % 3 !== 0;
      const checked = submitJobs(world, 16, 500, (i) => ({ tasks: i % 4 === 0 ? 3 : 1, cpus: 4 }));
      world.run(3);
      beginFault(world);
      world.run(12);
      for (const name of names) {
        world.thaw(name);
        for (const other of names) world.heal(name, other);
        if (!world.nodes.has(name)) world.start(name);
      }
      world.state.losesAnswer = null;
      assertAllJobsEnd(world, checked);
      assert.ok(world.state.answersLost > 0);
    });
});

describe('requests around the end of a job', () => {
  for (const offsetMs of [-30, -4, 0, 4, 30, 120, 300])
    it(`get consistent responses at an offset of ${offsetMs} ms from the end of its last task: cancellation, status and repeated submission`, () => {
      const world = new SimulatedWorld();
      world.run(2);
      const checked = checkRules(world);
      const ids = [1, 2, 3, 4, 5, 6].map(idOf);
      let offsetsReached = 0;
      for (const [index, id] of ids.entries()) {
        world.runSByJob.set(id, 20);
        assert.equal(world.submit(job(id, { tasks: 1 + (index % 2) }))?.kind, 'accepted');
      }
      const nodes = [...world.nodes.keys()];
      assert.ok(world.until(() => ids.every((id) => world.machinesRunning(id).length > 0)));
      for (const [index, id] of ids.entries()) {
        const agent = world.workers.get(world.machinesRunning(id)[0]!)!;
        const lastEnd = Math.max(
          ...agent
            .activeTasks()
            .filter((task) => task.job === id)
            .map((task) => world.endsAt.get(task.task) ?? 0),
        );
        assert.ok(lastEnd > world.now);
        world.at(lastEnd + offsetMs, () => {
          offsetsReached++;
          const spec = world.jobs.get(id)!.spec;
          for (const [nodeIndex, node] of nodes.entries()) {
            if (nodeIndex === index % nodes.length && index < 4)
              world.sendRequest(node, { op: 'cancel', id });
            world.sendRequest(node, { op: 'status', id });
            world.sendRequest(node, { op: 'submit', spec });
          }
        });
        checked.pollStatus(id);
      }
      world.run(22);
      assert.equal(offsetsReached, ids.length);
      assertAllJobsEnd(world, checked, 40);
    });
});

// Submissions that can never run, with the response that every node must give, with and without a leader.
const infeasibleCases: [string, Partial<JobSpec>, string][] = [
  ['fits no machine', { cpus: 9 }, 'impossible'],
  ['is bound to a zone without machines', { zone: 'nowhere' as ZoneName }, 'impossible'],
  ['names only unknown types', { machineTypes: ['none' as MachineTypeName] }, 'impossible'],
  ['is of an unknown team', { team: 'nobody' as never }, 'impossible'],
  [
    'needs more resources at once than its team may use',
    { team: 'small' as never, kind: 'gang', tasks: 4 },
    'impossible',
  ],
  [
    'must be spread over zones and also be in one zone',
    { kind: 'gang', tasks: 2, spread: true, oneZone: true },
    'impossible',
  ],
  [
    'must be spread over zones but needs machines that only one zone has',
    { kind: 'gang', tasks: 2, spread: true, gpus: 1 },
    'impossible',
  ],
];

describe('an infeasible submission', () => {
  it('is refused by every node and never accepted during faults, and a running job stays known whatever its repeated submission contains', () => {
    const world = new SimulatedWorld();
    world.runS = 400;
    const checked = checkRules(world);
    assert.equal(world.submit(job(idOf(1)))?.kind, 'accepted');
    assert.ok(world.until(() => world.machinesRunning(idOf(1)).length > 0));
    const nodes = [...world.nodes.keys()];
    let jobNumber = 100;
    const assertEverywhere = (expected: (kind: string) => string[], mayBeUnanswered: boolean): void => {
      for (const [name, overrides, kind] of infeasibleCases)
        for (const node of nodes) {
          const firstRequest = world.sendRequest(node, {
            op: 'submit',
            spec: job(`run-${++jobNumber}`, overrides),
          });
          // The same contents under the id of a running job, and the cancellation of a job that does not
          // exist.
          const repeatedRequest = world.sendRequest(node, { op: 'submit', spec: job(idOf(1), overrides) });
          const cancellation = world.sendRequest(node, {
            op: 'cancel',
            id: `run-${jobNumber + 5000}` as JobId,
          });
          world.run(2.2);
          const assertOneOf = (request: { answer: UserResponse | null }, kinds: string[]) =>
            assert.ok(
              request.answer === null ? mayBeUnanswered : kinds.includes(request.answer.kind),
              `${name} at ${node}: ${JSON.stringify(request.answer)}`,
            );
          assertOneOf(firstRequest, expected(kind));
          assertOneOf(repeatedRequest, mayBeUnanswered ? ['known', 'retry'] : ['known']);
          assertOneOf(cancellation, mayBeUnanswered ? ['not-found', 'retry'] : ['not-found']);
        }
    };
    assertEverywhere((kind) => [kind], false);
    // A node that cannot reach the leader cannot decide, and may respond that the user should retry.
    const { leader } = world;
    world.freeze(leader!);
    world.state.refusedListPrefix = 'o/';
    assertEverywhere((kind) => [kind, 'retry'], true);
    world.state.refusedListPrefix = null;
    world.thaw(leader!);
    world.run(8);
    world.state.outage(60);
    assertEverywhere((kind) => [kind, 'retry'], true);
    checked.assertNoViolations();
  });

  it('is not refused if it repeats a job that another node has just accepted', () => {
    const world = new SimulatedWorld();
    world.run(2);
    const { leader } = world;
    const other = [...world.nodes.keys()].find((node) => node !== leader)!;
    // Neither the other node nor the watch of the records informs the leader of the acceptance.
    world.cut(leader!, other, 'drop');
    world.run(2);
    world.state.watchLagMs = 3000;
    assert.equal(
      world.requestUntilAnswered({ op: 'submit', spec: job('run-1') }, other, 6)?.kind,
      'accepted',
    );
    const response = world.requestUntilAnswered(
      { op: 'submit', spec: job('run-1', { cpus: 90 }) },
      leader,
      3,
    );
    assert.equal(response?.kind, 'known', JSON.stringify(response));
  });
});

describe('a cancellation mark that was refused after a copy of it got no reply', () => {
  for (const isWatched of [true, false])
    it(`still ends the job if that copy is carried out late: ${isWatched ? 'reported by the watch' : 'found when the job ends'}`, () => {
      const world = new SimulatedWorld();
      world.runS = isWatched ? 60 : 12;
      const checked = checkRules(world);
      assert.equal(world.submit(job('run-1'))?.kind, 'accepted');
      assert.ok(world.until(() => world.machinesRunning('run-1').length > 0));
      const { leader } = world;
      if (!isWatched) world.state.watchLagMs = 100_000;
      let isFirst = true;
      world.state.executionDelayMs = () => {
        if (!isFirst) return null;
        isFirst = false;
        return 4000;
      };
      const request = world.sendRequest(leader!, { op: 'cancel', id: 'run-1' as JobId });
      world.run(0.5);
      // The store now refuses every value as too large, so the leader gives up writing the mark.
      world.state.limits = { valueBytes: 10, txnOps: 24 };
      world.run(2);
      assert.equal(request.answer?.kind, 'retry');
      world.state.limits = null;
      world.run(4);
      assert.equal((world.state.entries.get('o/run-1')?.value as { c?: number } | undefined)?.c ?? 1, 1);
      if (!isWatched) world.run(20);
      const [other] = [...world.nodes.keys()].filter((node) => node !== leader);
      for (const node of [other, leader!])
        assert.deepEqual(world.status('run-1', node), { kind: 'ended', id: 'run-1', status: 'cancelled' });
      assert.ok(world.until(() => world.machinesRunning('run-1').length === 0, 10));
      checked.assertNoViolations();
    });
});
