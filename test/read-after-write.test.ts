// Right after a job was accepted, has ended or was confirmed as cancelled, users ask at all nodes within
// milliseconds, repeat their submission, and some cancel; also while replies of the store are lost
// (docs/safety.md, point 15).
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { JobSpec, StoreRequest, UserResponse } from '../src/core/base/model.ts';
import type { JobId, TypeName, ZoneName } from '../src/types/index.ts';
import { type Judged, judge } from './support/checked-world.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

const idOf = (i: number): JobId => `run-${i}` as JobId;
/** When the users ask after the news, in milliseconds. */
const STATUS_DELAYS_MS = [0, 1, 3, 8, 20, 60, 150, 400];

interface CloseObservations {
  /** Number of requests that were answered within 100 ms of the news, by what the news was. */
  answersByNews: Map<string, number>;
}

/**
 * From now on users ask about every first news of a job; every fifth job that is accepted is cancelled at
 * once.
 */
function observeClosely(world: SimulatedWorld): CloseObservations {
  const known = new Set<string>();
  const answersByNews = new Map<string, number>();
  let acceptedCount = 0;
  const observed: CloseObservations = { answersByNews };
  world.onTold = (response: UserResponse) => {
    if (response.kind !== 'accepted' && response.kind !== 'ended') return;
    const { id } = response;
    const news = response.kind === 'ended' ? response.status : 'accepted';
    if (known.has(`${id} ${news}`)) return;
    known.add(`${id} ${news}`);
    const { spec } = world.jobs.get(id)!;
    if (news === 'accepted' && ++acceptedCount % 5 === 0)
      for (const node of world.nodes.keys()) world.ask(node, { op: 'cancel', id });
    const newsAt = world.now;
    for (const ms of STATUS_DELAYS_MS)
      world.after(ms, () => {
        for (const node of [...world.nodes.keys()]) {
          const requests = [world.ask(node, { op: 'status', id }), world.ask(node, { op: 'submit', spec })];
          world.after(45, () => {
            for (const request of requests)
              if (request.answer !== null && request.answer.kind !== 'retry' && world.now - newsAt < 100)
                answersByNews.set(news, (answersByNews.get(news) ?? 0) + 1);
          });
        }
      });
  };
  return observed;
}

/** Submits a job every so often, and follows each to its end. */
function submitJobs(
  world: SimulatedWorld,
  jobs: number,
  everyMs: number,
  changes: (i: number) => Partial<JobSpec> = () => ({}),
): Judged {
  const checked = judge(world);
  for (let i = 1; i <= jobs; i++)
    world.after(i * everyMs, () => {
      world.runOf.set(idOf(i), 0.7 + (i % 7) * 0.3);
      checked.insist({ op: 'submit', spec: job(idOf(i), changes(i)) });
      checked.follow(idOf(i));
    });
  return checked;
}

/** Asserts that all accepted jobs end, and that no rule was broken. */
function waitUntilEnded(world: SimulatedWorld, checked: Judged, seconds = 120): void {
  checked.rules.troublesOver(world.now);
  assert.ok(
    world.until(() => checked.rules.unfinished().length === 0, seconds),
    checked.rules.unfinished().join(),
  );
  checked.sound();
}

/** Whether a request puts a key with this prefix. */
const putsUnder = (prefix: string) => (request: StoreRequest) =>
  request.kind === 'compare-and-swap' && request.puts.some((put) => put.key.startsWith(prefix));

/** Faults that meanwhile persist: a name, and what begins the fault and returns what ends it. */
const faultCases: [string, (world: SimulatedWorld) => () => void][] = [
  ['nothing else goes wrong', () => () => {}],
  [
    'the leader is out of the other controllers’ reach',
    (world) => {
      const { owner: leader } = world;
      isolateLeader(world);
      return () => {
        for (const node of world.nodes.keys()) if (node !== leader) world.heal(node, leader!);
      };
    },
  ],
  [
    'half of all transactions are never answered, and carried out late',
    (world) => {
      let count = 0;
      world.state.lateMs = () => (++count % 2 === 0 ? 2500 + (count % 5) * 1000 : null);
      return () => {
        world.state.lateMs = null;
      };
    },
  ],
];

describe('users who ask at all nodes right after the news', () => {
  for (const [name, begin] of faultCases)
    it(`get no older state at any node: ${name}`, () => {
      const world = new SimulatedWorld();
      world.run(2);
      const observed = observeClosely(world);
      const checked = submitJobs(world, 24, 500);
      world.run(2);
      const end = begin(world);
      world.run(14);
      end();
      waitUntilEnded(world, checked);
      for (const news of ['accepted', 'done', 'cancelled'])
        assert.ok(
          (observed.answersByNews.get(news) ?? 0) >= 10,
          `${news}: ${observed.answersByNews.get(news)}`,
        );
    });
});

/** The leader serves its users and machines, and the other controllers can't ask it. */
function isolateLeader(world: SimulatedWorld): void {
  const { owner: leader } = world;
  for (const node of world.nodes.keys()) if (node !== leader) world.cut(node, leader!, 'drop');
}

// Carried out at once, only the reply is lost, while other nodes read what was written.
const lostReplyCases: [string, (request: StoreRequest) => boolean, (world: SimulatedWorld) => void][] = [
  ['acceptances and cancellations', putsUnder('o/'), () => {}],
  ['acceptances by a node without the leader', putsUnder('o/'), (world) => world.freeze(world.owner!)],
  ['final states', putsUnder('f/'), () => {}],
  ['the machine registry', putsUnder('m/'), () => {}],
  ['results', putsUnder('d/'), () => {}],
  ['cancellations, while the others read the record', putsUnder('o/'), isolateLeader],
  ['final states, while the others read the record', putsUnder('f/'), isolateLeader],
  ['elections', putsUnder('share/0'), (world) => world.crash(world.owner!)],
  ['lease renewals', (request) => request.kind === 'renew-lease', () => {}],
  ['all of them, and the leader ends', () => true, (world) => world.crash(world.owner!)],
];

describe('a transaction that is carried out while its reply is lost', () => {
  for (const [name, isAffected, beginFault] of lostReplyCases)
    it(`leaves users with no older state: ${name}`, () => {
      const world = new SimulatedWorld();
      world.run(2);
      const names = [...world.nodes.keys()];
      observeClosely(world);
      let count = 0;
      // Not every one: else nothing would ever be known to be written.
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
      waitUntilEnded(world, checked);
      assert.ok(world.state.answersLost > 0);
    });
});

describe('requests around the end of a job', () => {
  for (const atMs of [-30, -4, 0, 4, 30, 120, 300])
    it(`are answered consistently ${atMs} ms from the end of its last task: cancellation, status and repeated submission`, () => {
      const world = new SimulatedWorld();
      world.run(2);
      const checked = judge(world);
      const ids = [1, 2, 3, 4, 5, 6].map(idOf);
      let endsReached = 0;
      for (const [index, id] of ids.entries()) {
        world.runOf.set(id, 20);
        assert.equal(world.submit(job(id, { tasks: 1 + (index % 2) }))?.kind, 'accepted');
      }
      const nodes = [...world.nodes.keys()];
      assert.ok(world.until(() => ids.every((id) => world.holders(id).length > 0)));
      for (const [index, id] of ids.entries()) {
        const agent = world.workers.get(world.holders(id)[0]!)!;
        const lastEnd = Math.max(
          ...agent
            .live()
            .filter((task) => task.job === id)
            .map((task) => world.endsAt.get(task.task) ?? 0),
        );
        assert.ok(lastEnd > world.now);
        world.at(lastEnd + atMs, () => {
          endsReached++;
          const spec = world.jobs.get(id)!.spec;
          for (const [nodeIndex, node] of nodes.entries()) {
            if (nodeIndex === index % nodes.length && index < 4) world.ask(node, { op: 'cancel', id });
            world.ask(node, { op: 'status', id });
            world.ask(node, { op: 'submit', spec });
          }
        });
        checked.follow(id);
      }
      world.run(22);
      assert.equal(endsReached, ids.length);
      waitUntilEnded(world, checked, 40);
    });
});

// Submissions that can never run: the same response at every node, with and without a leader.
const infeasibleCases: [string, Partial<JobSpec>, string][] = [
  ['fits no machine', { cpus: 9 }, 'impossible'],
  ['is bound to a zone without machines', { zone: 'nowhere' as ZoneName }, 'impossible'],
  ['names only unknown types', { machineTypes: ['none' as TypeName] }, 'impossible'],
  ['is of an unknown team', { team: 'nobody' as never }, 'impossible'],
  [
    'needs more at once than its team may use',
    { team: 'small' as never, kind: 'gang', tasks: 4 },
    'impossible',
  ],
  [
    'must be spread and all at once in one zone',
    { kind: 'gang', tasks: 2, spread: true, oneZone: true },
    'impossible',
  ],
  [
    'must be spread over zones that have no such machines',
    { kind: 'gang', tasks: 2, spread: true, gpus: 1 },
    'impossible',
  ],
];

describe('an infeasible submission', () => {
  it('is refused at every node and accepted in no state of the service, and a running job stays known whatever a repetition says', () => {
    const world = new SimulatedWorld();
    world.runS = 400;
    const checked = judge(world);
    assert.equal(world.submit(job(idOf(1)))?.kind, 'accepted');
    assert.ok(world.until(() => world.holders(idOf(1)).length > 0));
    const nodes = [...world.nodes.keys()];
    let jobNumber = 100;
    const assertEverywhere = (expected: (kind: string) => string[], mayBeUnanswered: boolean): void => {
      for (const [what, changes, kind] of infeasibleCases)
        for (const node of nodes) {
          const firstRequest = world.ask(node, { op: 'submit', spec: job(`run-${++jobNumber}`, changes) });
          // The same contents under the name of a job that runs, and a cancellation of a job that nobody
          // knows.
          const repeatedRequest = world.ask(node, { op: 'submit', spec: job(idOf(1), changes) });
          const cancellation = world.ask(node, { op: 'cancel', id: `run-${jobNumber + 5000}` as JobId });
          world.run(2.2);
          const assertOneOf = (request: { answer: UserResponse | null }, kinds: string[]) =>
            assert.ok(
              request.answer === null ? mayBeUnanswered : kinds.includes(request.answer.kind),
              `${what} at ${node}: ${JSON.stringify(request.answer)}`,
            );
          assertOneOf(firstRequest, expected(kind));
          assertOneOf(repeatedRequest, mayBeUnanswered ? ['known', 'retry'] : ['known']);
          assertOneOf(cancellation, mayBeUnanswered ? ['not-found', 'retry'] : ['not-found']);
        }
    };
    assertEverywhere((kind) => [kind], false);
    // Without the leader in reach a node can't decide, and says so.
    const { owner: leader } = world;
    world.freeze(leader!);
    world.state.unreadable = 'o/';
    assertEverywhere((kind) => [kind, 'retry'], true);
    world.state.unreadable = null;
    world.thaw(leader!);
    world.run(8);
    world.state.outage(60);
    assertEverywhere((kind) => [kind, 'retry'], true);
    checked.sound();
  });

  it('is not refused when it repeats a job that another node accepted a moment ago', () => {
    const world = new SimulatedWorld();
    world.run(2);
    const { owner: leader } = world;
    const other = [...world.nodes.keys()].find((n) => n !== leader)!;
    // The leader learns of it neither from the node nor from its watch of the records.
    world.cut(leader!, other, 'drop');
    world.run(2);
    world.state.watchLagMs = 3000;
    assert.equal(world.insist({ op: 'submit', spec: job('run-1') }, other, 6)?.kind, 'accepted');
    const response = world.insist({ op: 'submit', spec: job('run-1', { cpus: 90 }) }, leader, 3);
    assert.equal(response?.kind, 'known', JSON.stringify(response));
  });
});

describe('a cancellation mark that was refused after an unanswered copy of it', () => {
  for (const watched of [true, false])
    it(`still ends the job when the copy is carried out late: ${watched ? 'seen by the watch' : 'found as the job ends'}`, () => {
      const world = new SimulatedWorld();
      world.runS = watched ? 60 : 12;
      const checked = judge(world);
      assert.equal(world.submit(job('run-1'))?.kind, 'accepted');
      assert.ok(world.until(() => world.holders('run-1').length > 0));
      const { owner: leader } = world;
      if (!watched) world.state.watchLagMs = 100_000;
      let first = true;
      world.state.lateMs = () => {
        if (!first) return null;
        first = false;
        return 4000;
      };
      const request = world.ask(leader!, { op: 'cancel', id: 'run-1' as JobId });
      world.run(0.5);
      // Whatever is written meanwhile is too large, so the mark is given up.
      world.state.limits = { valueBytes: 10, txnOps: 24 };
      world.run(2);
      assert.equal(request.answer?.kind, 'retry');
      world.state.limits = null;
      world.run(4);
      assert.equal((world.state.keys.get('o/run-1')?.value as { c?: number } | undefined)?.c ?? 1, 1);
      if (!watched) world.run(20);
      const [other] = [...world.nodes.keys()].filter((n) => n !== leader);
      for (const node of [other, leader!])
        assert.deepEqual(world.status('run-1', node), { kind: 'ended', id: 'run-1', status: 'cancelled' });
      assert.ok(world.until(() => world.holders('run-1').length === 0, 10));
      checked.sound();
    });
});
