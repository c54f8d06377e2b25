// Workers spread over all controllers, and one budget for what is asked of the state service (docs/scale.md).
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ControllerIo } from '../src/core/base/io.ts';
import type {
  ForwardedHeartbeat,
  ForwardedHeartbeatResponse,
  Heartbeat,
  PeerMessage,
  TaskStatus,
} from '../src/core/base/model.ts';
import { StorePriority, StoreRequestBudget } from '../src/core/base/store-request-budget.ts';
import { ConnectionBalancer } from '../src/core/heartbeats/connection-balancer.ts';
import { HeartbeatForwarder } from '../src/core/heartbeats/heartbeat-forwarder.ts';
import { applyTaskListDelta, diffTaskLists } from '../src/core/heartbeats/task-list-delta.ts';
import type { LeaderTerm } from '../src/core/leader/leader-term.ts';
import { seededRandom } from '../src/runtime/random.ts';
import type { Attempt, Instant, MachineId, NodeId, Revision, TaskId, WallTime } from '../src/types/index.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

const shareOf = (w: SimulatedWorld): LeaderTerm => w.nodes.get(w.owner!)!.leaderTerm!;
const short = (r: Heartbeat, baseSeq: number): ForwardedHeartbeat => {
  const { machine, agentEpoch, seq, fencingToken, preemptionNoticeS } = r;
  return {
    kind: 'delta',
    machine,
    agentEpoch,
    seq,
    fencingToken,
    preemptionNoticeS,
    baseSeq,
    removed: [],
    changed: [],
  };
};

test('workers stay with the node they came to; most of what is passed on only repeats, and work is done', () => {
  const w = new SimulatedWorld();
  const said = { whole: 0, short: 0 };
  w.tapPeer = (m: PeerMessage) => {
    if (m.kind === 'forwarded-heartbeat') said[m.heartbeat.kind === 'delta' ? 'short' : 'whole']++;
    return true;
  };
  w.runS = 20;
  w.submit(job('run-1', { tasks: 12, cpus: 4 }));
  assert.ok(w.until(() => w.isDone('run-1'), 80));
  assert.ok(said.short > 2 * said.whole && said.whole > 0, JSON.stringify(said));
  assert.ok(Math.max(...[...w.workers.values()].map((x) => x.moves)) <= 1);
  assert.deepEqual(w.broken, []);
});

/** An owner with one idle machine that another node speaks for. */
function fronted() {
  const w = new SimulatedWorld({}, ['node-0']);
  w.submit(job('run-0'));
  assert.ok(w.until(() => w.isDone('run-0')));
  const worker = [...w.workers.values()][0]!;
  w.run(5);
  worker.die();
  w.run(3);
  const answers: ForwardedHeartbeatResponse[] = [];
  const pass = (f: ForwardedHeartbeat) =>
    w.nodes.get('node-0')!.leaderTerm!.onForwardedHeartbeat(f, (a) => answers.push(a));
  const report = (): Heartbeat => ({
    ...worker.report(),
    fencingToken: w.nodes.get('node-0')!.election.term as never,
  });
  return { w, answers, pass, report };
}
const starts = (a: ForwardedHeartbeatResponse | undefined) =>
  a?.kind === 'commands' ? a.commands.filter((c) => c.op === 'start') : [];

test('a start that was lost is found out from a report that only repeats, and is made again', () => {
  const { w, answers, pass, report } = fronted();
  const first = report();
  pass({ kind: 'full', heartbeat: first });
  w.ask('node-0', { op: 'submit', spec: job('run-1') });
  w.run(2.5);
  assert.equal(starts(answers.at(-1)).length, 1, 'started in the answer, which the worker never got');
  // The worker says what it said before: that the task is missing must be seen though the list has not changed.
  pass(short(report(), first.seq));
  w.run(2.5);
  assert.ok(w.logs.some((l) => l.includes('task not on its machine')));
  const [again] = starts(answers.at(-1));
  assert.equal(again?.task, 'run-1/0');
});

test('a repetition of anything but the report that was read last is asked for whole', () => {
  const { w, answers, pass, report } = fronted();
  const [one, two, three] = [report(), report(), report()];
  pass({ kind: 'full', heartbeat: one });
  pass({ kind: 'full', heartbeat: two });
  pass(short(three, one.seq));
  assert.deepEqual(answers.at(-1), { kind: 'full-heartbeat-required' });
  pass(short({ ...report(), agentEpoch: 2 }, two.seq));
  assert.deepEqual(answers.at(-1), { kind: 'full-heartbeat-required' });
  pass(short({ ...report(), machine: 'i-404' as never }, 1));
  assert.deepEqual(answers.at(-1), { kind: 'full-heartbeat-required' });
  pass(short(report(), two.seq));
  w.run(2.5);
  assert.equal(answers.at(-1)?.kind, 'commands');
});

test('lists are told by what has changed, whatever happens to them, and a change of another list is not taken', () => {
  const random = seededRandom(11);
  const task = (n: number): TaskStatus => ({
    task: `run-${n}/0` as TaskId,
    attempt: (n + 1) as Attempt,
    state: 'running',
    exitReason: null,
    checkpointed: false,
  });
  let before: readonly TaskStatus[] = [];
  for (let i = 0; i < 3000; i++) {
    const now = before.filter(() => random.below(5) > 0).map((t) => ({ ...t }));
    for (const t of now) if (random.below(4) === 0) Object.assign(t, { state: 'exited', why: 'done' });
    for (let k = random.below(4); k > 0; k--) now.splice(random.below(now.length + 1), 0, task(i * 4 + k));
    if (random.below(10) === 0) now.reverse();
    const c = diffTaskLists(before, now);
    assert.deepEqual(c.tasks, now);
    const { removed, changed } = c;
    assert.deepEqual(applyTaskListDelta(before, { removed, changed }), now);
    // What has not changed is the object that it was, on both sides.
    for (const t of c.tasks) assert.equal(before.includes(t), !changed.some((x) => x.task === t));
    if (removed.length > 0 && before.length === removed.at(-1)! + 1)
      assert.equal(applyTaskListDelta(before.slice(0, -1), { removed, changed }), null);
    before = c.tasks;
  }
});

test('lost, repeated and late messages between nodes neither double nor lose a task', () => {
  const w = new SimulatedWorld();
  w.runS = 6;
  let n = 0;
  w.tapPeer = (m) =>
    (m.kind !== 'forwarded-heartbeat' && m.kind !== 'forwarded-heartbeat-response') || ++n % 7 !== 0;
  for (let i = 0; i < 8; i++) w.submit(job(`run-${i}`, { tasks: 6, cpus: 3 }));
  w.run(10);
  w.cut('node-1', w.owner!, 'hold');
  w.run(6);
  w.heal('node-1', w.owner!);
  w.crash(w.owner!);
  for (let i = 0; i < 8; i++) {
    const asker = [...w.nodes.keys()][0]!;
    assert.ok(
      w.until(() => w.isDone(`run-${i}`, asker), 200),
      `run-${i}`,
    );
  }
  assert.deepEqual(w.broken, []);
});

test('while an owner is chosen reports wait for it: workers are not sent round, and no task is lost', () => {
  const w = new SimulatedWorld();
  w.runS = 60;
  w.submit(job('run-1', { tasks: 9, cpus: 4 }));
  assert.ok(w.until(() => w.holders('run-1').length >= 5 && w.holders('run-1').length <= 9));
  w.run(6);
  const before = [...w.workers.values()].reduce((sum, x) => sum + x.starts, 0);
  const old = w.owner!;
  const at = [...w.workers.values()].filter((x) => x.node !== old);
  const moves = at.reduce((sum, x) => sum + x.moves, 0);
  w.crash(old);
  w.run(15);
  assert.notEqual(w.owner, old);
  assert.ok(shareOf(w).failover.isComplete);
  assert.ok(at.length > 0);
  // Each waits once for 3 s, at most twice if its report came just after the crash.
  const moved = at.reduce((sum, x) => sum + x.moves, 0) - moves;
  assert.ok(moved <= 2 * at.length, `${moved} moves of ${at.length} workers`);
  assert.equal(
    [...w.workers.values()].reduce((sum, x) => sum + x.starts, 0),
    before,
  );
  assert.deepEqual(w.broken, []);
});

test('reports that come before the records are read wait for them: machines are heard in their first turn', () => {
  const w = new SimulatedWorld();
  w.runS = 60;
  w.submit(job('run-1', { tasks: 9, cpus: 4 }));
  assert.ok(w.until(() => w.holders('run-1').length >= 5));
  w.run(6);
  w.state.unreadable = 'm/';
  // Without the cloud's list nobody knows where to ask them.
  w.cloud.down = true;
  w.reportMs = 4000;
  w.crash(w.owner!);
  assert.ok(w.until(() => w.owner !== undefined, 20));
  w.run(1.5);
  const share = shareOf(w);
  assert.equal(share.failover.isLoaded, false);
  w.state.unreadable = null;
  assert.ok(w.until(() => share.failover.isLoaded, 1));
  w.run(0.3);
  const seen = [...w.workers.values()].filter((x) => x.token === share.machines.fencingToken);
  assert.ok(seen.length >= 2);
  // A report period is 4 s, but none is waited for.
  for (const x of seen) assert.ok(share.machines.byId.get(x.id)?.isReconciled, `${x.id} was not heard`);
  assert.deepEqual(w.broken, []);
});

test('a report that waits for the records is not answered once the owner may no longer renew leases', () => {
  const w = new SimulatedWorld({}, ['node-0']);
  w.submit(job('run-1', { tasks: 2, cpus: 4 }));
  assert.ok(w.until(() => w.holders('run-1').length >= 1));
  w.crash('node-0');
  w.run(6);
  w.state.unreadable = 'm/';
  w.start('node-0');
  assert.ok(w.until(() => w.owner !== undefined, 20));
  const { leaderTerm, election } = w.nodes.get('node-0')!;
  const x = [...w.workers.values()][0]!;
  const answers: (string | undefined)[] = [];
  leaderTerm!.onHeartbeat({ ...x.report(), fencingToken: election.term as never }, (a) =>
    answers.push(a.kind),
  );
  assert.deepEqual(answers, []);
  leaderTerm!.tick(false);
  assert.deepEqual(answers, ['redirect']);
});

test('a front whose owner stops answering sends its workers there themselves, and tries again later', () => {
  const w = new SimulatedWorld();
  w.runS = 40;
  w.submit(job('run-1', { tasks: 6, cpus: 4 }));
  assert.ok(w.until(() => w.holders('run-1').length >= 3));
  w.run(4);
  const owner = w.owner!;
  // The link is up but answers nothing; workers reach the owner all the same.
  w.tapPeer = (m) => m.kind !== 'forwarded-heartbeat-response' && m.kind !== 'load';
  w.run(25);
  for (const x of w.workers.values()) assert.equal(x.session, 1, `${x.id} lost its lease`);
  assert.equal(w.owner, owner);
  w.tapPeer = null;
  assert.ok(w.until(() => w.isDone('run-1'), 80));
  assert.deepEqual(w.broken, []);
});

test('an owner that stands still, beside a node that is cut off, costs no worker in reach of the third its lease', () => {
  // Reports before the freeze that are answered, those under way in it, and those after: no moment may lose a lease.
  for (const at of [0, 250, 500, 750]) {
    const w = new SimulatedWorld({
      workers: { heartbeatS: 2, leaseS: 13, gangWaitS: 30, gangPeerS: 4, cancelS: 40 },
    });
    w.reportMs = 2000;
    w.leaseMs = 13_000;
    w.runS = 60;
    w.submit(job('run-1', { tasks: 9, cpus: 4 }));
    assert.ok(w.until(() => w.holders('run-1').length >= 5));
    w.run(6 + at / 1000);
    const owner = w.owner!;
    const cutOff = [...w.nodes.keys()].find((n) => n !== owner)!;
    const alive = [...w.nodes.keys()].find((n) => n !== owner && n !== cutOff)!;
    const others = [...w.workers.keys(), ...w.nodes.keys(), 'state', 'cloud', 'user'];
    const inReach = [...w.workers.values()].filter((x) => x.node === alive || x.node === owner);
    assert.ok(inReach.some((x) => x.node === alive));
    for (const x of others) if (x !== cutOff) w.cut(cutOff, x, 'hold');
    w.run(4);
    // Its links stay up; nothing comes of it.
    w.freeze(owner);
    w.run(20);
    for (const x of inReach) assert.equal(x.session, 1, `${x.id} lost its lease, ${at} ms later; ${x.node}`);
    assert.equal(w.owner, alive);
    assert.deepEqual(w.broken, []);
  }
});

test('a worker that cannot wait any longer goes to a node heard lately, and to a silent owner only once its hold is long over', () => {
  const io = new ControllerIo(seededRandom(1));
  const [owner, third] = ['node-0', 'node-1'] as NodeId[];
  const report = { machine: 'i-1', session: 1, seq: 1, tasks: [] } as unknown as Heartbeat;
  /** Where a report goes that nobody answers, the nodes having been heard so many milliseconds before. */
  const goes = (ownerMs: number, thirdMs: number): NodeId | null => {
    const fronts = new HeartbeatForwarder(io);
    const at = (ms: number) => io.beginStep((100_000 + ms) as Instant, 0 as WallTime);
    for (const [node, ms] of [
      [owner!, ownerMs],
      [third!, thirdMs],
    ] as const) {
      at(-ms);
      fronts.recordPeerActivity(node);
    }
    let to: NodeId | null = null;
    at(-4000);
    fronts.onLeader({ node: owner!, revision: 1 as Revision });
    fronts.forward(report, owner!, (a) => {
      to = a.kind === 'redirect' ? a.node : null;
    });
    at(0);
    fronts.tick(owner!);
    return to;
  };
  assert.equal(goes(4000, 500), third);
  assert.equal(goes(7000, 500), third);
  assert.equal(goes(4000, 4000), null);
  assert.equal(goes(500, 4000), owner);
  assert.equal(goes(7000, 4000), owner);
});

test('workers are spread again after nodes have ended, a few a second, and none is sent to and fro', () => {
  const io = new ControllerIo(seededRandom(2));
  const nodes = ['node-0', 'node-1', 'node-2'] as NodeId[];
  const at = new Map(nodes.map((n) => [n, new ConnectionBalancer(io, 5)]));
  const workers = Array.from({ length: 900 }, (_, i) => ({
    id: `i-${i}` as MachineId,
    node: nodes[0]!,
    moves: 0,
  }));
  let most = 0;
  const size = (n: NodeId) => workers.filter((x) => x.node === n).length;
  for (let s = 0; s < 120; s++) {
    io.beginStep((s * 1000) as Instant, 0 as WallTime);
    let moved = 0;
    for (const w of workers) {
      const to = s % 5 === Number(w.id.slice(2)) % 5 ? at.get(w.node)!.onHeartbeat(w.id) : null;
      if (to === null) continue;
      w.node = to;
      w.moves++;
      moved++;
    }
    most = Math.max(most, moved);
    for (const [n, b] of at)
      for (const other of nodes) if (other !== n) at.get(other)!.recordPeerWeight(n, b.weight);
    for (const b of at.values()) b.tick(() => true);
  }
  for (const n of nodes) assert.ok(size(n) > 220 && size(n) < 390, `${n}: ${size(n)}`);
  assert.ok(most > 0 && most <= 900 * 0.04 + 1, `${most} in a second`);
  assert.ok(workers.every((w) => w.moves <= 2));
  // A small fleet is left alone, and so is one whose other nodes cannot be reached.
  const few = new ConnectionBalancer(io, 5);
  few.recordPeerWeight(nodes[1]!, 0);
  for (let i = 0; i < 20; i++) few.onHeartbeat(`i-${i}` as MachineId);
  few.tick(() => true);
  assert.equal(few.onHeartbeat('i-0' as MachineId), null);
  for (let i = 0; i < 200; i++) few.onHeartbeat(`i-${i}` as MachineId);
  io.beginStep(200_000 as Instant, 0 as WallTime);
  for (let i = 0; i < 200; i++) few.onHeartbeat(`i-${i}` as MachineId);
  few.recordPeerWeight(nodes[1]!, 0);
  few.tick(() => false);
  assert.equal(few.onHeartbeat('i-0' as MachineId), null);
});

// ---- the budget for the state service

const at = (ms: number) => ms as Instant;

test('holds are renewed at once whatever waits; questions wait briefly and are given up, in order of rank', () => {
  const b = new StoreRequestBudget(10, 3);
  const log: string[] = [];
  const put = (now: number, rank: StorePriority, name: string) =>
    b.submit(
      at(now),
      rank,
      () => log.push(name),
      () => log.push(`${name} given up`),
    );
  for (let i = 0; i < 40; i++) put(0, StorePriority.query, `ask-${i}`);
  put(1, StorePriority.lease, 'extend');
  assert.equal(log.at(-1), 'extend');
  put(2, StorePriority.leader, 'write');
  log.length = 0;
  for (let t = 100; t <= 2000; t += 100) b.tick(at(t));
  assert.equal(
    log.find((l) => !l.endsWith('given up')),
    'write',
  );
  assert.ok(log.filter((l) => l.endsWith('given up')).length > 30);
  assert.equal(b.waiting, 0);
});

test('what all nodes together send stays below the limit, whoever owns', () => {
  const rps = 90;
  const nodes = [true, false, false].map((owner) => {
    const b = new StoreRequestBudget(rps, 3);
    b.setLeader(owner);
    return b;
  });
  let sent = 0;
  const second = 1000;
  for (let t = 0; t < 20 * second; t += 10)
    for (const b of nodes) {
      b.submit(
        at(t),
        StorePriority.work,
        () => sent++,
        () => {},
      );
      b.tick(at(t));
    }
  // Everything that is allowed for is used, and no more: bursts of a second's worth come on top once.
  assert.ok(sent <= rps * 0.95 * 21 && sent >= rps * 0.85 * 20, `${sent}`);
});

test('a refusal slows the node once, not once for each request under way, and it comes back', () => {
  const b = new StoreRequestBudget(100, 1);
  b.setLeader(true);
  for (let i = 0; i < 50; i++) b.onThrottled(at(i));
  const count = (from: number, ms: number): number => {
    const before = b.sent;
    for (let t = from; t < from + ms; t += 10) {
      b.submit(
        at(t),
        StorePriority.work,
        () => {},
        () => {},
      );
      b.tick(at(t));
    }
    return b.sent - before;
  };
  const slow = count(100, 1000);
  assert.ok(slow > 30 && slow < 80, `${slow}`);
  count(1100, 9000);
  assert.ok(count(10_100, 1000) > 85);
});

test('with half of all requests refused the owner keeps the share, tries do not multiply, and work is done', () => {
  const w = new SimulatedWorld();
  w.runS = 3;
  w.submit(job('run-0'));
  w.run(3);
  const term = w.nodes.get(w.owner!)!.election.term;
  w.state.halfRefused = true;
  for (let i = 1; i <= 12; i++) w.ask(`node-${i % 3}`, { op: 'submit', spec: job(`run-${i}`, { tasks: 3 }) });
  w.run(1);
  const before = w.state.refusals;
  w.run(20);
  // 200 requests a second are allowed; retries of what is refused stay far below that.
  assert.ok(w.state.refusals - before < 20 * 60, `${w.state.refusals - before} requests`);
  assert.equal(w.nodes.get(w.owner!)!.election.term, term);
  w.state.halfRefused = false;
  for (let i = 1; i <= 12; i++) w.submit(job(`run-${i}`, { tasks: 3 }));
  for (let i = 0; i <= 12; i++) assert.ok(w.until(() => w.isDone(`run-${i}`, 'node-2' as NodeId), 60));
  assert.deepEqual(w.broken, []);
});

test('a state service or cloud out of reach is in the log at once, then ever more seldom, and once when it is back', () => {
  const w = new SimulatedWorld();
  w.submit(job('run-1'));
  w.run(5);
  const told = (what: string) => w.logs.filter((l) => l.includes(`node-0 the ${what} `)).length;
  const start = w.now;
  w.state.down = true;
  w.cloud.down = true;
  w.run(2);
  assert.ok(w.logs.some((l) => l.includes('the state service refuses requests')));
  w.run(58);
  assert.ok(
    told('state service') >= 3 && told('state service') <= 6,
    `${told('state service')} lines in a minute`,
  );
  w.state.down = false;
  w.cloud.down = false;
  w.run(20);
  const back = w.logs.filter((l) => l.includes('node-0 the state service answers again'));
  assert.equal(back.length, 1, `${(w.now - start) / 1000} s`);
  assert.equal(w.logs.filter((l) => l.includes('node-0 the cloud answers again')).length, 1);
});
