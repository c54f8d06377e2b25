// Tests of heartbeats from agents that are connected to controllers other than the leader: forwarding,
// deferral, redirects and balancing of connections. Also tests of the request budget of the store
// (docs/scale.md).
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
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
import type { Uint64 } from '../src/types/uint64.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';
import { wireTransport } from './support/transport.ts';

const leaderTermOf = (world: SimulatedWorld): LeaderTerm => world.nodes.get(world.leader!)!.leaderTerm!;

/** A delta stating that no task has changed since the heartbeat with the sequence number `baseSeq`. */
function unchangedSince(heartbeat: Heartbeat, baseSeq: Uint64): ForwardedHeartbeat {
  const { machine, agentEpoch, seq, fencingToken, preemptionNoticeS } = heartbeat;
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
}

/** A leader with one idle machine; the test passes the machine's heartbeats to it as forwarded ones. */
function leaderWithForwardedMachine() {
  const world = new SimulatedWorld({}, ['node-0']);
  world.submit(job('run-0'));
  assert.ok(world.until(() => world.isDone('run-0')));
  const worker = [...world.workers.values()][0]!;
  world.run(5);
  worker.terminate();
  world.run(3);
  const responses: ForwardedHeartbeatResponse[] = [];
  const forward = (forwarded: ForwardedHeartbeat) =>
    world.nodes
      .get('node-0')!
      .leaderTerm!.onForwardedHeartbeat(forwarded, (response) => responses.push(response));
  const nextHeartbeat = (): Heartbeat => ({
    ...worker.nextHeartbeat(),
    fencingToken: world.nodes.get('node-0')!.election.term as never,
  });
  return { world, responses, forward, nextHeartbeat };
}

const startCommandsIn = (response: ForwardedHeartbeatResponse | undefined) =>
  response?.kind === 'commands' ? response.commands.filter((command) => command.op === 'start') : [];

const instant = (ms: number) => ms as Instant;

describe('forwarding of heartbeats to the leader', () => {
  it('keeps agents connected to the same node, sends most forwarded heartbeats as deltas, and completes jobs', () => {
    const world = new SimulatedWorld();
    const forwarded = { full: 0, delta: 0 };
    world.filterPeerMessage = (message: PeerMessage) => {
      if (message.kind === 'forwarded-heartbeat') forwarded[message.heartbeat.kind]++;
      return true;
    };
    world.runS = 20;
    world.submit(job('run-1', { tasks: 12, cpus: 4 }));
    assert.ok(world.until(() => world.isDone('run-1'), 80));
    assert.ok(forwarded.delta > 2 * forwarded.full && forwarded.full > 0, JSON.stringify(forwarded));
    assert.ok(Math.max(...[...world.workers.values()].map((worker) => worker.moves)) <= 1);
    assert.deepEqual(world.violations, []);
  });

  // Guards against heartbeats that lose the machine's address and type: the frame of a delta to heartbeat 0 is
  // that of a full heartbeat.
  it('does not send a delta to heartbeat number 0', () => {
    const world = new SimulatedWorld();
    world.transport = wireTransport;
    const createMachine = world.createMachine.bind(world);
    world.createMachine = (...args) => {
      const worker = createMachine(...args);
      worker.seq = -1;
      return worker;
    };
    world.runS = 30;
    world.submit(job('run-1', { tasks: 12, cpus: 4 }));
    const { machines } = leaderTermOf(world);
    const reportedTwice = (): boolean => {
      const workers = [...world.workers.values()].filter((worker) => worker.up);
      return workers.length > 2 && workers.every((worker) => worker.seq === 1);
    };
    assert.ok(world.until(reportedTwice, 30), 'no machine has sent two heartbeats');
    world.run(0.1);
    const known = [...machines.byId.values()].map(({ addr, type, zone }) => [addr, type.name, zone]);
    const actual = [...machines.byId.keys()].map((id) => {
      const { addr, type, zone } = world.workers.get(id)!;
      return [addr, type, zone];
    });
    assert.deepEqual(known, actual);
  });

  it('detects a lost start command from an unchanged delta and sends it again', () => {
    const { world, responses, forward, nextHeartbeat } = leaderWithForwardedMachine();
    const first = nextHeartbeat();
    forward({ kind: 'full', heartbeat: first });
    world.sendRequest('node-0', { op: 'submit', spec: job('run-1') });
    world.run(2.5);
    assert.equal(
      startCommandsIn(responses.at(-1)).length,
      1,
      'the start command is in the response, which does not reach the agent',
    );
    // The agent sends the same task list as before: the leader must detect that the task is missing from it
    // although the list has not changed.
    forward(unchangedSince(nextHeartbeat(), first.seq));
    world.run(2.5);
    assert.ok(world.logs.some((line) => line.includes('task not on its machine')));
    const [repeatedStart] = startCommandsIn(responses.at(-1));
    assert.equal(repeatedStart?.task, 'run-1/0');
  });

  it('requires the full heartbeat if a delta is not based on the last processed heartbeat', () => {
    const { world, responses, forward, nextHeartbeat } = leaderWithForwardedMachine();
    const [first, second, third] = [nextHeartbeat(), nextHeartbeat(), nextHeartbeat()];
    forward({ kind: 'full', heartbeat: first });
    forward({ kind: 'full', heartbeat: second });
    forward(unchangedSince(third, first.seq));
    assert.deepEqual(responses.at(-1), { kind: 'full-heartbeat-required' });
    forward(unchangedSince({ ...nextHeartbeat(), agentEpoch: 2 }, second.seq));
    assert.deepEqual(responses.at(-1), { kind: 'full-heartbeat-required' });
    forward(unchangedSince({ ...nextHeartbeat(), machine: 'i-404' as never }, 1));
    assert.deepEqual(responses.at(-1), { kind: 'full-heartbeat-required' });
    forward(unchangedSince(nextHeartbeat(), second.seq));
    world.run(2.5);
    assert.equal(responses.at(-1)?.kind, 'commands');
  });

  it('restores random task lists from their deltas, and rejects a delta that does not fit the list', () => {
    const random = seededRandom(11);
    const runningTask = (number: number): TaskStatus => ({
      task: `run-${number}/0` as TaskId,
      attempt: (number + 1) as Attempt,
      state: 'running',
      exitReason: null,
      checkpointed: false,
    });
    let before: readonly TaskStatus[] = [];
    for (let i = 0; i < 3000; i++) {
      const now = before.filter(() => random.below(5) > 0).map((task) => ({ ...task }));
      for (const task of now)
        if (random.below(4) === 0) Object.assign(task, { state: 'exited', exitReason: 'done' });
      for (let added = random.below(4); added > 0; added--)
        now.splice(random.below(now.length + 1), 0, runningTask(i * 4 + added));
      if (random.below(10) === 0) now.reverse();
      const diff = diffTaskLists(before, now);
      assert.deepEqual(diff.tasks, now);
      const { removed, changed } = diff;
      assert.deepEqual(applyTaskListDelta(before, { removed, changed }), now);
      // Unchanged tasks are the same objects in both lists.
      for (const task of diff.tasks)
        assert.equal(before.includes(task), !changed.some((change) => change.task === task));
      if (removed.length > 0 && before.length === removed.at(-1)! + 1)
        assert.equal(applyTaskListDelta(before.slice(0, -1), { removed, changed }), null);
      before = diff.tasks;
    }
  });

  it('neither duplicates nor loses a task when messages between nodes are lost, repeated or late', () => {
    const world = new SimulatedWorld();
    world.runS = 6;
    let messages = 0;
    // Every seventh forwarded heartbeat or response is lost.
    world.filterPeerMessage = ({ kind }) => {
      if (kind !== 'forwarded-heartbeat' && kind !== 'forwarded-heartbeat-response') return true;
      return ++messages % 7 !== 0;
    };
    for (let i = 0; i < 8; i++) world.submit(job(`run-${i}`, { tasks: 6, cpus: 3 }));
    world.run(10);
    world.cut('node-1', world.leader!, 'hold');
    world.run(6);
    world.heal('node-1', world.leader!);
    world.crash(world.leader!);
    for (let i = 0; i < 8; i++) {
      const node = [...world.nodes.keys()][0]!;
      assert.ok(
        world.until(() => world.isDone(`run-${i}`, node), 200),
        `run-${i}`,
      );
    }
    assert.deepEqual(world.violations, []);
  });

  it('defers heartbeats during a leader election: agents are not redirected from node to node, and no task is lost', () => {
    const world = new SimulatedWorld();
    world.runS = 60;
    world.submit(job('run-1', { tasks: 9, cpus: 4 }));
    assert.ok(
      world.until(
        () => world.machinesRunning('run-1').length >= 5 && world.machinesRunning('run-1').length <= 9,
      ),
    );
    world.run(6);
    const totalStarts = () => [...world.workers.values()].reduce((sum, worker) => sum + worker.starts, 0);
    const startsBefore = totalStarts();
    const oldLeader = world.leader!;
    const forwardedWorkers = [...world.workers.values()].filter((worker) => worker.node !== oldLeader);
    const totalMoves = () => forwardedWorkers.reduce((sum, worker) => sum + worker.moves, 0);
    const movesBefore = totalMoves();
    world.crash(oldLeader);
    world.run(15);
    assert.notEqual(world.leader, oldLeader);
    assert.ok(leaderTermOf(world).failover.isComplete);
    assert.ok(forwardedWorkers.length > 0);
    // Each agent waits for one timeout of 3.8 s, or for two if it sent its heartbeat just after the crash.
    const moved = totalMoves() - movesBefore;
    assert.ok(moved <= 2 * forwardedWorkers.length, `${moved} moves of ${forwardedWorkers.length} workers`);
    assert.equal(totalStarts(), startsBefore);
    assert.deepEqual(world.violations, []);
  });

  it('defers heartbeats until a new leader has loaded the records, and then reconciles their machines at once', () => {
    const world = new SimulatedWorld();
    world.runS = 60;
    world.submit(job('run-1', { tasks: 9, cpus: 4 }));
    assert.ok(world.until(() => world.machinesRunning('run-1').length >= 5));
    world.run(6);
    world.state.refusedListPrefix = 'm/';
    // Without the machine list of the cloud, the new leader has no addresses to which to send probes.
    world.cloud.down = true;
    world.reportMs = 4000;
    world.crash(world.leader!);
    assert.ok(world.until(() => world.leader !== undefined, 20));
    world.run(1.5);
    const leaderTerm = leaderTermOf(world);
    assert.equal(leaderTerm.failover.isLoaded, false);
    world.state.refusedListPrefix = null;
    assert.ok(world.until(() => leaderTerm.failover.isLoaded, 1));
    world.run(0.3);
    const { byId, fencingToken } = leaderTerm.machines;
    const workersOfTerm = [...world.workers.values()].filter(
      (worker) => worker.fencingToken === fencingToken,
    );
    assert.ok(workersOfTerm.length >= 2);
    // Machines are reconciled from their deferred heartbeats; the next ones would come up to 4 s later.
    for (const worker of workersOfTerm)
      assert.ok(byId.get(worker.id)?.isReconciled, `${worker.id} was not reconciled`);
    assert.deepEqual(world.violations, []);
  });

  it('redirects the agent of a heartbeat that waits for the records once the leader may no longer renew leases', () => {
    const world = new SimulatedWorld({}, ['node-0']);
    world.submit(job('run-1', { tasks: 2, cpus: 4 }));
    assert.ok(world.until(() => world.machinesRunning('run-1').length >= 1));
    world.crash('node-0');
    world.run(6);
    world.state.refusedListPrefix = 'm/';
    world.start('node-0');
    assert.ok(world.until(() => world.leader !== undefined, 20));
    const { leaderTerm, election } = world.nodes.get('node-0')!;
    const worker = [...world.workers.values()][0]!;
    const responses: (string | undefined)[] = [];
    leaderTerm!.onHeartbeat({ ...worker.nextHeartbeat(), fencingToken: election.term as never }, (response) =>
      responses.push(response.kind),
    );
    assert.deepEqual(responses, []);
    leaderTerm!.tick(false);
    assert.deepEqual(responses, ['redirect']);
  });

  it('redirects agents to a leader that stops answering forwarded heartbeats, and forwards again later', () => {
    const world = new SimulatedWorld();
    world.runS = 40;
    world.submit(job('run-1', { tasks: 6, cpus: 4 }));
    assert.ok(world.until(() => world.machinesRunning('run-1').length >= 3));
    world.run(4);
    const leader = world.leader!;
    // The link is up but carries no responses, while agents can still connect to the leader.
    world.filterPeerMessage = ({ kind }) => kind !== 'forwarded-heartbeat-response' && kind !== 'load';
    world.run(25);
    for (const worker of world.workers.values())
      assert.equal(worker.agentEpoch, 1, `${worker.id} lost its lease`);
    assert.equal(world.leader, leader);
    world.filterPeerMessage = null;
    assert.ok(world.until(() => world.isDone('run-1'), 80));
    assert.deepEqual(world.violations, []);
  });

  it('with a frozen leader and a partitioned node, no agent that can reach the third node loses its lease', () => {
    // Depending on the delay, heartbeats are answered before the freeze, in flight during it, or sent after
    // it: no lease may be lost in any of these cases.
    for (const delayMs of [0, 250, 500, 750]) {
      const world = new SimulatedWorld({
        workers: { heartbeatS: 2, leaseS: 13, gangWaitS: 30, gangPeerS: 4, cancelS: 40 },
      });
      world.reportMs = 2000;
      world.leaseMs = 13_000;
      world.runS = 60;
      world.submit(job('run-1', { tasks: 9, cpus: 4 }));
      assert.ok(world.until(() => world.machinesRunning('run-1').length >= 5));
      world.run(6 + delayMs / 1000);
      const leader = world.leader!;
      const partitioned = [...world.nodes.keys()].find((node) => node !== leader)!;
      const third = [...world.nodes.keys()].find((node) => node !== leader && node !== partitioned)!;
      const others = [...world.workers.keys(), ...world.nodes.keys(), 'state', 'cloud', 'user'];
      const reachableWorkers = [...world.workers.values()].filter(
        (worker) => worker.node === third || worker.node === leader,
      );
      assert.ok(reachableWorkers.some((worker) => worker.node === third));
      for (const other of others) if (other !== partitioned) world.cut(partitioned, other, 'hold');
      world.run(4);
      // The links of the frozen leader stay up, but it sends nothing.
      world.freeze(leader);
      world.run(20);
      for (const worker of reachableWorkers)
        assert.equal(
          worker.agentEpoch,
          1,
          `${worker.id} at ${worker.node} lost its lease, delay ${delayMs} ms`,
        );
      assert.equal(world.leader, third);
      assert.deepEqual(world.violations, []);
    }
  });
});

describe('redirection of agents', () => {
  it('redirects an overdue agent to a live node, and to a silent leader only well after the leader lease has expired', () => {
    const io = new ControllerIo(seededRandom(1));
    const [leader, third] = ['node-0', 'node-1'] as NodeId[];
    const heartbeat = { machine: 'i-1', agentEpoch: 1, seq: 1, tasks: [] } as unknown as Heartbeat;
    /**
     * The node to which an agent is redirected when its heartbeat is not answered and both nodes have been
     * silent for the given times.
     */
    const redirectTarget = (leaderSilentMs: number, thirdSilentMs: number): NodeId | null => {
      const forwarder = new HeartbeatForwarder(io);
      const beginStepAt = (ms: number) => io.beginStep(instant(100_000 + ms), 0 as WallTime);
      beginStepAt(-leaderSilentMs);
      forwarder.recordPeerActivity(leader!);
      beginStepAt(-thirdSilentMs);
      forwarder.recordPeerActivity(third!);
      let target: NodeId | null = null;
      beginStepAt(-4000);
      forwarder.onLeader({ node: leader!, revision: 1 as Revision });
      forwarder.forward(heartbeat, leader!, (response) => {
        target = response.kind === 'redirect' ? response.node : null;
      });
      beginStepAt(0);
      forwarder.tick(leader!);
      return target;
    };
    assert.equal(redirectTarget(4000, 500), third);
    assert.equal(redirectTarget(7000, 500), third);
    assert.equal(redirectTarget(4000, 4000), null);
    assert.equal(redirectTarget(500, 4000), leader);
    assert.equal(redirectTarget(7000, 4000), leader);
  });

  it('balances connections again after restarts, a few per second, without moving agents back and forth', () => {
    const io = new ControllerIo(seededRandom(2));
    const nodes = ['node-0', 'node-1', 'node-2'] as NodeId[];
    const balancers = new Map(nodes.map((node) => [node, new ConnectionBalancer(io, 5)]));
    const agents = Array.from({ length: 900 }, (_, i) => ({
      id: `i-${i}` as MachineId,
      node: nodes[0]!,
      moves: 0,
    }));
    let mostMovedPerS = 0;
    const agentsAt = (node: NodeId) => agents.filter((agent) => agent.node === node).length;
    for (let second = 0; second < 120; second++) {
      io.beginStep((second * 1000) as Instant, 0 as WallTime);
      let moved = 0;
      for (const agent of agents) {
        const isDue = second % 5 === Number(agent.id.slice(2)) % 5;
        const target = isDue ? balancers.get(agent.node)!.onHeartbeat(agent.id) : null;
        if (target === null) continue;
        agent.node = target;
        agent.moves++;
        moved++;
      }
      mostMovedPerS = Math.max(mostMovedPerS, moved);
      for (const [node, balancer] of balancers)
        for (const peer of nodes)
          if (peer !== node) balancers.get(peer)!.recordPeerWeight(node, balancer.weight);
      for (const balancer of balancers.values()) balancer.tick(() => true);
    }
    for (const node of nodes)
      assert.ok(agentsAt(node) > 220 && agentsAt(node) < 390, `${node}: ${agentsAt(node)}`);
    assert.ok(mostMovedPerS > 0 && mostMovedPerS <= 900 * 0.04 + 1, `${mostMovedPerS} moved in one second`);
    assert.ok(agents.every((agent) => agent.moves <= 2));
    // Connections are not balanced in a small fleet, or if no other node is reachable.
    const balancer = new ConnectionBalancer(io, 5);
    balancer.recordPeerWeight(nodes[1]!, 0);
    for (let i = 0; i < 20; i++) balancer.onHeartbeat(`i-${i}` as MachineId);
    balancer.tick(() => true);
    assert.equal(balancer.onHeartbeat('i-0' as MachineId), null);
    for (let i = 0; i < 200; i++) balancer.onHeartbeat(`i-${i}` as MachineId);
    io.beginStep(200_000 as Instant, 0 as WallTime);
    for (let i = 0; i < 200; i++) balancer.onHeartbeat(`i-${i}` as MachineId);
    balancer.recordPeerWeight(nodes[1]!, 0);
    balancer.tick(() => false);
    assert.equal(balancer.onHeartbeat('i-0' as MachineId), null);
  });
});

describe('the request budget of the store', () => {
  it('sends lease renewals at once whatever is queued, sends the rest by priority, and drops queries after a short wait', () => {
    const budget = new StoreRequestBudget(10, 3);
    const log: string[] = [];
    const submit = (now: number, priority: StorePriority, name: string) =>
      budget.submit(
        instant(now),
        priority,
        () => log.push(name),
        () => log.push(`${name} dropped`),
      );
    for (let i = 0; i < 40; i++) submit(0, StorePriority.query, `query-${i}`);
    submit(1, StorePriority.lease, 'renew');
    assert.equal(log.at(-1), 'renew');
    submit(2, StorePriority.leader, 'write');
    log.length = 0;
    for (let ms = 100; ms <= 2000; ms += 100) budget.tick(instant(ms));
    assert.equal(
      log.find((entry) => !entry.endsWith('dropped')),
      'write',
    );
    assert.ok(log.filter((entry) => entry.endsWith('dropped')).length > 30);
    assert.equal(budget.waiting, 0);
  });

  it('keeps the requests of the leader and its followers together below the limit', () => {
    const requestsPerS = 90;
    const budgets = [true, false, false].map((isLeader) => {
      const budget = new StoreRequestBudget(requestsPerS, 3);
      budget.setLeader(isLeader);
      return budget;
    });
    let sent = 0;
    const secondMs = 1000;
    for (let ms = 0; ms < 20 * secondMs; ms += 10)
      for (const budget of budgets) {
        budget.submit(
          instant(ms),
          StorePriority.work,
          () => sent++,
          () => {},
        );
        budget.tick(instant(ms));
      }
    // The allowed rate is used in full but not exceeded, apart from one initial burst of one second.
    assert.ok(sent <= requestsPerS * 0.95 * 21 && sent >= requestsPerS * 0.85 * 20, `${sent}`);
  });

  it('slows a node down once per throttling, not once per throttled request in flight, and recovers the rate', () => {
    const budget = new StoreRequestBudget(100, 1);
    budget.setLeader(true);
    for (let i = 0; i < 50; i++) budget.onThrottled(instant(i));
    const sentDuring = (fromMs: number, forMs: number): number => {
      const before = budget.sent;
      for (let ms = fromMs; ms < fromMs + forMs; ms += 10) {
        budget.submit(
          instant(ms),
          StorePriority.work,
          () => {},
          () => {},
        );
        budget.tick(instant(ms));
      }
      return budget.sent - before;
    };
    const throttled = sentDuring(100, 1000);
    assert.ok(throttled > 30 && throttled < 80, `${throttled}`);
    sentDuring(1100, 9000);
    assert.ok(sentDuring(10_100, 1000) > 85);
  });
});

describe('an overloaded or unavailable store', () => {
  it('with half of all requests refused, the leader keeps its term, retries stay limited, and jobs complete', () => {
    const world = new SimulatedWorld();
    world.runS = 3;
    world.submit(job('run-0'));
    world.run(3);
    const term = world.nodes.get(world.leader!)!.election.term;
    world.state.refusesEverySecond = true;
    for (let i = 1; i <= 12; i++)
      world.sendRequest(`node-${i % 3}`, { op: 'submit', spec: job(`run-${i}`, { tasks: 3 }) });
    world.run(1);
    const refusalsBefore = world.state.refusalCandidateCount;
    world.run(20);
    // 200 requests per second are allowed; retries of refused requests must stay far below that.
    const refusals = world.state.refusalCandidateCount - refusalsBefore;
    assert.ok(refusals < 20 * 60, `${refusals} refused requests`);
    assert.equal(world.nodes.get(world.leader!)!.election.term, term);
    world.state.refusesEverySecond = false;
    for (let i = 1; i <= 12; i++) world.submit(job(`run-${i}`, { tasks: 3 }));
    for (let i = 0; i <= 12; i++)
      assert.ok(world.until(() => world.isDone(`run-${i}`, 'node-2' as NodeId), 60));
    assert.deepEqual(world.violations, []);
  });

  it('logs an unavailable store or cloud at once, then at growing intervals, and once when it is available again', () => {
    const world = new SimulatedWorld();
    world.submit(job('run-1'));
    world.run(5);
    const linesAbout = (service: string) =>
      world.logs.filter((line) => line.includes(`node-0 the ${service} `)).length;
    const start = world.now;
    world.state.down = true;
    world.cloud.down = true;
    world.run(2);
    assert.ok(world.logs.some((line) => line.includes('the state service refuses requests')));
    world.run(58);
    assert.ok(
      linesAbout('state service') >= 3 && linesAbout('state service') <= 6,
      `${linesAbout('state service')} lines in a minute`,
    );
    world.state.down = false;
    world.cloud.down = false;
    world.run(20);
    const recoveries = world.logs.filter((line) => line.includes('node-0 the state service answers again'));
    assert.equal(recoveries.length, 1, `within ${(world.now - start) / 1000} s`);
    assert.equal(world.logs.filter((line) => line.includes('node-0 the cloud answers again')).length, 1);
  });
});
