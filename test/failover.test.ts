// What a new leader may believe, and what it may not yet do (docs/safety.md, points 8 and 15): old reports, machines that
// can't be asked, teams at their limit, cancellations in the seconds of a hand-over.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Heartbeat, JobSpec, StoreRequest } from '../src/core/base/model.ts';
import type { JobId, TeamName, ZoneName } from '../src/types/index.ts';
import { cutLeader, type Judged, judge } from './support/checked-world.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

const quiet = (w: SimulatedWorld) => assert.deepEqual(w.broken, []);
const id = 'run-1' as JobId;

function running(
  over: Partial<JobSpec> = {},
  bootS = 5,
): { w: SimulatedWorld; j: Judged; leader: string; others: string[] } {
  const w = new SimulatedWorld();
  const j = judge(w);
  for (const t of w.cloud.types) t.bootS = bootS;
  // They report to the first node, which owns first.
  w.spread = false;
  w.runS = 500;
  assert.equal(w.submit(job(id, over))?.kind, 'accepted');
  assert.ok(w.until(() => w.holders(id).length > 0));
  w.run(3);
  const leader = w.owner!;
  return { w, j, leader, others: [...w.nodes.keys()].filter((n) => n !== leader) };
}

const kept = (w: SimulatedWorld, machine: string): Heartbeat =>
  structuredClone(w.workers.get(machine)!.report());
for (const gone of [false, true])
  test(`a report kept for the next leader, of a machine that ${gone ? 'is gone' : 'lost its task'}, frees nothing that runs where it has not looked`, () => {
    const { w, leader } = running();
    const [first] = w.holders(id);
    const old = kept(w, first!);
    // Room for it on two more machines, once what fills them is cancelled.
    const fillers = ['run-2', 'run-3'] as JobId[];
    for (const f of fillers) {
      assert.equal(w.submit(job(f, { cpus: 7 }), leader)?.kind, 'accepted');
      assert.ok(w.until(() => w.holders(f).length > 0));
    }
    w.cloud.down = true;
    for (const n of w.nodes.keys()) w.cut(first!, n, 'drop');
    for (const f of fillers) assert.equal(w.insist({ op: 'cancel', id: f }, leader)?.kind, 'ended');
    assert.ok(w.until(() => w.holders(id).some((m) => m !== first), 30));
    const [second] = w.holders(id);
    w.run(2);
    if (gone) w.workers.get(first!)!.die();
    else {
      for (const n of w.nodes.keys()) w.heal(first!, n);
      w.run(4);
    }
    // The machine that runs it follows a leader that is cut off; the other is not in reach of the next one at first.
    cutLeader(w, leader, [second!]);
    for (const n of w.nodes.keys()) w.cut(first!, n, 'drop');
    assert.ok(w.until(() => w.owner !== undefined && w.owner !== leader, 10));
    w.run(0.4);
    w.deliver(w.owner!, old);
    w.run(0.1);
    for (const n of w.nodes.keys()) w.heal(first!, n);
    w.run(13);
    assert.deepEqual(w.holders(id), [second]);
    quiet(w);
    // Once nothing of it can be left there, it is started again.
    w.cloud.down = false;
    assert.ok(w.until(() => w.holders(id).some((m) => m !== second), 60));
    quiet(w);
  });

test('ten leaders in a row that can read no record, each ending, renew no lease for long for what was cancelled before them', () => {
  const { w, leader } = running();
  w.cloud.down = true;
  const [machine] = w.holders(id);
  w.deaf.add(machine!);
  assert.equal(w.insist({ op: 'cancel', id }, leader, 5)?.kind, 'ended');
  const told = w.now;
  w.state.unreadable = 'o/';
  w.deaf.delete(machine!);
  let leaders = 0;
  for (let last = leader; leaders < 10 && w.now < told + 100_000; leaders++) {
    w.crash(last);
    w.run(0.3);
    w.start(last);
    assert.ok(w.until(() => w.owner !== undefined, 12));
    last = w.owner!;
    w.run(4);
    if (w.holders(id).length > 0)
      assert.ok(w.now - told <= 40_000, `${w.now - told} ms after the confirmation`);
  }
  assert.equal(leaders, 10);
  w.state.unreadable = null;
  assert.ok(w.until(() => w.status(id)?.kind === 'ended'));
  quiet(w);
});

test('a leader out of the others’ reach starts nothing of what the next one has confirmed as cancelled', () => {
  const w = new SimulatedWorld();
  w.spread = false;
  const j = judge(w);
  // More of it waits than there is room for, and room comes free at the cut-off leader's machines all the time.
  w.cloud.capacity = 3;
  w.runS = 3;
  w.runOf.set('run-2' as JobId, 500);
  assert.equal(w.submit(job('run-2', { tasks: 3, cpus: 5 }))?.kind, 'accepted');
  assert.ok(
    w.until(() => w.holders('run-2').length > 0),
    'what keeps machines with it runs',
  );
  assert.equal(w.submit(job(id, { tasks: 80 }))?.kind, 'accepted');
  assert.ok(
    w.until(() => w.holders(id).length > 0),
    'both run',
  );
  const leader = w.owner!;
  cutLeader(w, leader, [...w.workers.keys()]);
  assert.ok(w.until(() => w.owner !== undefined && w.owner !== leader, 12));
  assert.equal(w.insist({ op: 'cancel', id }, w.owner!, 10)?.kind, 'ended');
  const term = w.state.keys.get('share/0')!.revision;
  const follow = [...w.workers.values()].filter((m) => m.token < term && m.live().length > 0);
  assert.ok(follow.length > 0, 'machines follow the leader that is cut off');
  w.run(30);
  j.sound();
});

// Every team at its limit, what is cancelled is on machines that can't be told.
for (const away of ['cut off', 'hanging', 'deaf'] as const)
  for (const when of ['no change of leader', 'cancelled before a change', 'cancelled in a change'] as const)
    test(`a team at its limit, its work cancelled on machines that are ${away}, ${when}: it counts until it is gone, and then the next starts`, () => {
      const w = new SimulatedWorld();
      const j = judge(w);
      w.runS = 300;
      const small = { team: 'small' as TeamName, tasks: 3 };
      assert.equal(w.submit(job(id, small))?.kind, 'accepted');
      assert.ok(w.until(() => [...w.workers.values()].flatMap((m) => m.live()).length === 3));
      w.run(3);
      assert.equal(w.submit(job('run-2', small))?.kind, 'accepted');
      const nodes = [...w.nodes.keys()];
      const gone = (): boolean => w.holders(id).length === 0;
      const at = w.now;
      for (const m of w.holders(id)) {
        if (away === 'cut off') for (const n of nodes) w.cut(m, n, 'hold');
        else if (away === 'deaf') w.deaf.add(m);
        else w.workers.get(m)!.hang(8000);
      }
      const leader = w.owner!;
      if (when === 'cancelled in a change') w.crash(leader);
      const told = j.insist({ op: 'cancel', id });
      w.run(when === 'cancelled in a change' ? 0.2 : 1);
      if (when === 'cancelled before a change') w.crash(leader);
      let early = 0;
      for (let i = 0; i < 200 && !(gone() && w.holders('run-2').length > 0); i++) {
        w.run(0.2);
        if (!gone() && w.holders('run-2').length > 0) early++;
        if (w.now - at > 14_000 && away !== 'hanging') {
          for (const m of w.workers.keys()) for (const n of nodes) if (w.isCut(m, n)) w.heal(m, n);
          w.deaf.clear();
        }
      }
      assert.equal(early, 0);
      assert.ok(told.over && gone());
      assert.ok(w.holders('run-2').length > 0, 'the next job of the team has started');
      w.run(5);
      assert.equal(
        [...w.workers.values()].flatMap((m) => m.live()).filter((t) => t.job === 'run-2').length,
        3,
      );
      j.sound();
    });

// Cancelled in the seconds in which the work changes hands; the next owner is there after some 3.2 s.
for (const atS of [-0.05, -0.004, 0.002, 0.5, 2.9, 3.2, 3.4, 4, 6])
  test(`cancelled ${atS} s from the end of a leader, at any node, directly and by a job that is awaited: told the same everywhere, and gone`, () => {
    const { w, j, leader } = running({ tasks: 3 });
    assert.equal(w.submit(job('run-2', { dependsOn: [id] }), leader)?.kind, 'accepted');
    assert.equal(w.submit(job('run-3', { tasks: 2 }), leader)?.kind, 'accepted');
    assert.ok(w.until(() => w.holders('run-3').length > 0));
    for (const x of [id, 'run-2', 'run-3']) j.follow(x as JobId);
    const told: { over: boolean }[] = [];
    const end = w.now + 2000;
    w.at(end, () => w.crash(leader));
    w.at(end + atS * 1000, () => {
      for (const x of [id, 'run-3'])
        for (const node of w.nodes.keys()) {
          w.ask(node, { op: 'cancel', id: x as JobId });
          w.ask(node, { op: 'status', id: 'run-2' as JobId });
        }
      for (const x of [id, 'run-3']) told.push(j.insist({ op: 'cancel', id: x as JobId }));
    });
    w.at(end + 9000, () => w.start(leader));
    w.run(25);
    assert.ok(told.every((t) => t.over));
    for (const node of w.nodes.keys())
      for (const x of [id, 'run-2', 'run-3'])
        assert.deepEqual(w.status(x, node), { kind: 'ended', id: x, status: 'cancelled' });
    assert.deepEqual([...w.holders(id), ...w.holders('run-3')], []);
    j.sound();
  });

for (const late of ['slowly', 'late, after newer ones', 'and the answer is lost'] as const)
  test(`machines up within two seconds get nothing before they are on record, written ${late}, and the leader ends`, () => {
    const w = new SimulatedWorld();
    const j = judge(w);
    w.cloud.bootS = 1.5;
    w.runS = 60;
    let unrecorded = 0;
    const { placing } = j.rules;
    j.rules.placing = (now, task, m) => {
      const pages = [...w.state.keys].filter(([key]) => key.startsWith('m/'));
      if (!pages.some(([, k]) => JSON.stringify(k.value).includes(`"${m.id}"`))) unrecorded++;
      placing.call(j.rules, now, task, m);
    };
    const isPage = (op: StoreRequest) =>
      op.kind === 'compare-and-swap' && op.puts.some((p) => p.key.startsWith('m/'));
    if (late === 'slowly') w.stateSlowMs = 1200;
    let n = 0;
    if (late === 'late, after newer ones') w.state.lateMs = () => (++n % 2 === 0 ? 2500 : null);
    if (late === 'and the answer is lost') w.state.losesAnswer = (_, op) => isPage(op) && ++n % 4 !== 0;
    let up = 0;
    for (let i = 0; i < 4; i++) {
      j.insist({ op: 'submit', spec: job(`run-${i}`, { tasks: 12 }) });
      const before = w.cloud.made;
      assert.ok(w.until(() => [...w.workers.values()].some((m) => m.up && m.seq > 0), 60));
      w.run(0.3 * i);
      if (w.cloud.made > before) up++;
      const leader = w.owner;
      if (leader !== undefined) {
        w.crash(leader);
        w.run(0.5);
        w.start(leader);
      }
      w.run(6);
    }
    w.state.lateMs = null;
    w.state.losesAnswer = null;
    w.stateSlowMs = 0;
    assert.ok(up > 0);
    assert.ok(w.until(() => w.holders('run-3').length > 0, 60));
    assert.ok(j.rules.started > 0);
    assert.equal(unrecorded, 0);
    j.sound();
  });

// Of an earlier term, session or attempt; before and after the next owner has read the records, and when it has acted.
for (const ms of [5, 60, 120, 400, 2000, 9000])
  test(`old reports reach every controller ${ms} ms after a new leader begins: nothing is lost, doubled or taken back`, () => {
    const w = new SimulatedWorld();
    const j = judge(w);
    w.keptMs = ms;
    w.runS = 40;
    for (let i = 1; i <= 4; i++) assert.equal(w.submit(job(`run-${i}`, { tasks: 3 }))?.kind, 'accepted');
    assert.ok(w.until(() => w.holders('run-4').length > 0));
    let n = 0;
    w.keepReport = () => ++n % 5 === 0;
    for (let k = 0; k < 3; k++) {
      w.run(2);
      const [m] = [...w.workers.keys()];
      // One machine loses its session, another what it runs.
      for (const node of w.nodes.keys()) w.cut(m!, node, 'drop');
      w.run(11);
      for (const node of w.nodes.keys()) w.heal(m!, node);
      w.run(2);
      const leader = w.owner!;
      w.crash(leader);
      w.run(ms / 1000 + 6);
      w.start(leader);
    }
    w.keepReport = null;
    assert.ok(w.keptDelivered > 10, `${w.keptDelivered}`);
    j.rules.troublesOver(w.now);
    for (let i = 1; i <= 4; i++) j.follow(`run-${i}` as JobId);
    assert.ok(
      w.until(() => j.rules.unfinished().length === 0, 200),
      j.rules.unfinished().join(),
    );
    j.sound();
  });

test('ten leaders in two minutes, also around an outage: work goes on and is asked about, and all of it is done once', () => {
  const w = new SimulatedWorld();
  const j = judge(w);
  w.runS = 20;
  for (let i = 1; i <= 12; i++) {
    w.after(i * 8000, () => {
      j.insist({ op: 'submit', spec: job(`run-${i}`, { tasks: 3 }) });
      j.follow(`run-${i}` as JobId);
    });
  }
  w.run(10);
  let terms = 0;
  let last = 0;
  for (let i = 0; i < 12; i++) {
    if (i === 4) w.state.outage(18);
    const leader = w.owner ?? [...w.nodes.keys()][0]!;
    w.crash(leader);
    w.run(0.4);
    w.start(leader);
    w.run(9.6);
    const term = w.state.keys.get('share/0')?.revision ?? 0;
    if (term > last) terms++;
    last = term;
  }
  assert.ok(terms >= 8, `${terms} terms`);
  j.rules.troublesOver(w.now);
  assert.ok(w.until(() => j.rules.unfinished().length === 0, 120));
  j.sound();
});

for (const change of [false, true])
  test(`machines that reach no controller, while direct commands reach them${change ? ', and the leader ends' : ''}: their work starts elsewhere once it is gone`, () => {
    const { w, j, leader } = running({ tasks: 6 }, 3);
    const [mute] = w.holders(id);
    const m = w.workers.get(mute!)!;
    const had = m.live().length;
    w.mute.add(mute!);
    const { token } = m;
    if (change) w.crash(leader);
    // Asked directly, it has seen the new token; that renews no lease, and it is taken for heard.
    if (change) assert.ok(w.until(() => m.token > token, 15));
    assert.ok(w.until(() => m.live().length === 0, 15));
    assert.ok(m.lostByLease === had);
    const atWork = () => [...w.workers.values()].flatMap((x) => (x.over ? [] : x.live())).length;
    assert.ok(
      w.until(() => atWork() === 6, 75),
      `${atWork()} of 6`,
    );
    assert.ok(!w.holders(id).includes(mute!));
    j.sound();
  });

test('all controllers away for longer than a lease: what ran is gone, known to be, and done all the same', () => {
  const { w, j } = running({ tasks: 4 });
  w.runOf.set(id, 10);
  j.follow(id);
  const before = new Set(w.workers.keys());
  const names = [...w.nodes.keys()];
  for (const n of names) w.crash(n);
  w.run(16);
  assert.ok([...w.workers.values()].every((m) => m.lostByLease > 0 || m.live().length === 0));
  for (const n of names) w.start(n);
  j.rules.troublesOver(w.now);
  assert.ok(w.until(() => w.holders(id).length > 0, 25));
  // On the machines that were there, not on new ones.
  assert.ok(w.holders(id).every((m) => before.has(m)));
  assert.ok(w.until(() => j.rules.unfinished().length === 0, 60));
  j.sound();
});

for (const inside of ['the leader', 'another controller'] as const)
  test(`a zone is cut off with its workers and ${inside} for longer than a lease`, () => {
    const { w, j, leader, others } = running({ tasks: 10 }, 3);
    w.runOf.set(id, 25);
    assert.ok(w.until(() => [...w.workers.values()].flatMap((m) => m.live()).length === 10));
    w.run(2);
    j.follow(id);
    const [busy] = w.holders(id);
    const { zone } = w.workers.get(busy!)!;
    const node = inside === 'the leader' ? leader : others[0]!;
    const within = [node, ...[...w.workers.values()].filter((m) => m.zone === zone).map((m) => m.id)];
    const outside = ['state', ...w.nodes.keys(), ...w.workers.keys()].filter((x) => !within.includes(x));
    for (const a of within) for (const b of outside) w.cut(a, b, 'hold');
    w.run(6);
    const cancelled = job('run-2', { tasks: 4, zone });
    j.insist({ op: 'submit', spec: cancelled });
    w.run(24);
    j.insist({ op: 'cancel', id: 'run-2' as JobId });
    for (const a of within) for (const b of outside) w.heal(a, b);
    j.rules.troublesOver(w.now);
    assert.ok(
      w.until(() => j.rules.unfinished().length === 0, 120),
      j.rules.unfinished().join(),
    );
    j.sound();
  });

test('a leader ends while a machine with long tasks does not hear the next one: its tasks count as there until it is certain', () => {
  const { w, j, leader } = running({ tasks: 3 });
  for (const m of w.holders(id)) w.deaf.add(m);
  const had = new Set(w.holders(id));
  w.crash(leader);
  assert.ok(w.until(() => w.owner !== undefined, 10));
  w.run(4);
  // Its reports arrive: it is known what it runs, and nothing more may be told to it.
  assert.ok(w.holders(id).every((m) => had.has(m)));
  w.run(20);
  w.deaf.clear();
  assert.ok(w.until(() => w.holders(id).length > 0, 60));
  j.sound();
});

for (const bound of ['an array in one zone', 'an array in a given zone', 'a gang'] as const)
  for (const loss of ['die', 'are cut off'] as const)
    test(`${bound}, whose machines ${loss}: nothing of it starts in another zone while any of it may be left`, () => {
      const w = new SimulatedWorld();
      const j = judge(w);
      w.cloud.room = (_type, zone) => (zone === 'north' ? 2 : 3);
      const spec = job(id, {
        tasks: bound === 'a gang' ? 3 : 6,
        cpus: 4,
        kind: bound === 'a gang' ? 'gang' : 'array',
        oneZone: bound !== 'an array in a given zone',
        zone: bound === 'an array in a given zone' ? ('north' as ZoneName) : null,
      });
      w.runOf.set(id, 12);
      assert.equal(w.submit(spec)?.kind, 'accepted');
      assert.ok(w.until(() => w.holders(id).length >= 2));
      w.run(2);
      const leader = w.owner!;
      const [first] = w.holders(id);
      const lost = w.workers.get(first!)!.zone;
      if (loss === 'die') w.workers.get(first!)!.die();
      else for (const n of w.nodes.keys()) w.cut(first!, n, 'hold');
      // Its zone has no more machines to give.
      w.cloud.room = (_type, zone) => (zone === lost ? 0 : 3);
      w.run(1);
      w.crash(leader);
      w.run(20);
      w.start(leader);
      if (loss !== 'die') for (const n of w.nodes.keys()) w.heal(first!, n);
      w.cloud.room = () => 3;
      j.follow(id);
      j.rules.troublesOver(w.now);
      assert.ok(
        w.until(() => j.rules.unfinished().length === 0, 150),
        j.rules.unfinished().join(),
      );
      j.sound();
    });

for (const ms of [1500, 3000, 3900, 6000])
  test(`commands and answers held up for ${ms} ms at machines that then go on: nothing starts twice or late, and all is done`, () => {
    const w = new SimulatedWorld();
    const j = judge(w);
    w.runS = 5;
    assert.equal(w.submit(job('run-1', { tasks: 6 }))?.kind, 'accepted');
    j.follow('run-1' as JobId);
    assert.ok(w.until(() => w.workers.size > 0 && [...w.workers.values()].some((m) => m.up)));
    for (const m of w.workers.keys()) w.heldUpMs.set(m, ms);
    for (let i = 2; i <= 8; i++) {
      w.after(i * 1500, () => {
        j.insist({ op: 'submit', spec: job(`run-${i}`, { tasks: 2 }) });
        j.follow(`run-${i}` as JobId);
      });
      if (i % 3 === 0) w.after(i * 1500 + 2500, () => j.insist({ op: 'cancel', id: `run-${i}` as JobId }));
    }
    w.run(9);
    const leader = w.owner!;
    w.crash(leader);
    w.run(1);
    w.start(leader);
    w.run(14);
    w.heldUpMs.clear();
    j.rules.troublesOver(w.now);
    const late = [...w.workers.values()].reduce((n, m) => n + m.lateCommands, 0);
    if (ms < 4000) assert.ok(late > 0);
    assert.ok(
      w.until(() => j.rules.unfinished().length === 0, 150),
      j.rules.unfinished().join(),
    );
    j.sound();
  });

test('the leader is refused at the very moment of a cancellation, and a second later nobody is served for longer than it may take', () => {
  for (const ms of [-3, 0, 1, 2, 3, 4, 6, 10]) {
    const w = new SimulatedWorld();
    w.spread = false;
    const j = judge(w);
    w.runS = 500;
    assert.equal(w.submit(job(id, { tasks: 8 }))?.kind, 'accepted');
    assert.ok(w.until(() => w.holders(id).length > 0));
    w.run(3);
    const leader = w.owner!;
    w.cloud.down = true;
    const at = w.now + 1000;
    w.at(at, () => j.insist({ op: 'cancel', id }));
    w.at(at + ms, () => {
      cutLeader(w, leader, [...w.workers.keys()]);
    });
    w.at(at + 1000, () => w.state.outage(60));
    j.follow(id);
    w.run(75);
    assert.equal(w.jobs.get(id)!.cancelledAt !== null || w.holders(id).length >= 0, true);
    j.sound();
  }
});

test('more work than room, urgent and not, over slow links: all of it is done, the urgent first, and nothing is broken', () => {
  const w = new SimulatedWorld();
  const j = judge(w);
  w.cloud.capacity = 3;
  w.runS = 4;
  for (let i = 1; i <= 30; i++)
    w.after(i * 400, () => {
      const urgent = i % 3 === 0;
      const id = `run-${i}` as JobId;
      j.insist({
        op: 'submit',
        spec: job(id, {
          tasks: 3,
          cpus: 4,
          priority: urgent ? 2 : 1,
          checkpointIntervalS: 1,
          checkpointDurationS: 1,
        }),
      });
      j.follow(id);
      if (i % 7 === 0) w.after(9000, () => j.insist({ op: 'cancel', id }));
    });
  for (let s = 0; s < 30; s++) {
    for (const m of w.workers.keys()) w.heldUpMs.set(m, 700);
    w.run(1);
  }
  const over = (urgent: boolean) =>
    [...Array(30).keys()].filter((i) => ((i + 1) % 3 === 0) === urgent && w.doneOnRecord(`run-${i + 1}`))
      .length;
  assert.ok(over(true) / 10 > over(false) / 20, `${over(true)} of 10 urgent, ${over(false)} of 20 others`);
  w.heldUpMs.clear();
  j.rules.troublesOver(w.now);
  assert.ok(w.until(() => j.rules.unfinished().length === 0, 300));
  j.sound();
});

test('an array bound to one zone gets its room there, though machines of another zone have some', () => {
  const w = new SimulatedWorld();
  const j = judge(w);
  w.runS = 200;
  // One machine in each zone, with room for two tasks in the first and four in the second.
  for (const [k, zone, cpus] of [
    [1, 'south', 4],
    [2, 'north', 2],
  ] as const) {
    assert.equal(w.submit(job(`run-${k}`, { cpus, zone: zone as ZoneName }))?.kind, 'accepted');
    assert.ok(w.until(() => w.holders(`run-${k}`).length > 0));
  }
  const bound = { tasks: 4, cpus: 2, oneZone: true };
  assert.equal(w.submit(job('run-3', bound))?.kind, 'accepted');
  const at = (id: string): number =>
    [...w.workers.values()].flatMap((m) => m.live()).filter((t) => t.job === id).length;
  assert.ok(
    w.until(() => at('run-3') === 4, 20),
    `${at('run-3')} of 4`,
  );
  // A second one finds its zone half full, and the machine of the other zone has room.
  assert.equal(w.submit(job('run-4', { tasks: 5, cpus: 3, oneZone: true }))?.kind, 'accepted');
  assert.ok(
    w.until(() => at('run-4') === 5, 25),
    `${at('run-4')} of 5`,
  );
  j.sound();
});

test('what machines that a new leader has not heard may hold counts against a job accepted under its own term', () => {
  const w = new SimulatedWorld();
  const j = judge(w);
  w.runS = 500;
  const small = { team: 'small' as TeamName };
  assert.equal(w.submit(job(id, { ...small, tasks: 3, zone: 'north' as ZoneName }))?.kind, 'accepted');
  // A machine with room that the next leader hears at once.
  assert.equal(w.submit(job('run-2', { zone: 'south' as ZoneName }))?.kind, 'accepted');
  assert.ok(w.until(() => w.holders(id).length > 0 && w.holders('run-2').length > 0));
  w.run(3);
  const leader = w.owner!;
  const follow = w.holders(id);
  // They follow the leader, which is cut off, and live on; nobody can return them.
  w.cloud.down = true;
  cutLeader(w, leader, follow);
  assert.ok(w.until(() => w.owner !== undefined && w.owner !== leader, 12));
  const next = w.owner!;
  assert.equal(w.insist({ op: 'submit', spec: job('run-3', small) }, next, 5)?.kind, 'accepted');
  for (let i = 0; i < 30 && w.holders(id).length > 0; i++) {
    assert.deepEqual(w.holders('run-3'), []);
    w.run(0.2);
  }
  // Its team has room again once nothing can be left of them.
  assert.ok(
    w.until(() => w.holders('run-3').length > 0, 60),
    'started in the end',
  );
  j.sound();
});

test('of an array bound to one zone nothing starts elsewhere while a task of it may be on a machine that was not heard', () => {
  const w = new SimulatedWorld();
  w.spread = false;
  const j = judge(w);
  w.runS = 500;
  assert.equal(w.submit(job(id, { tasks: 2, cpus: 5, oneZone: true }))?.kind, 'accepted');
  assert.ok(w.until(() => w.holders(id).length === 2));
  const [first, second] = w.holders(id).map((m) => w.workers.get(m)!);
  const elsewhere = (first!.zone === 'north' ? 'south' : 'north') as ZoneName;
  assert.equal(w.submit(job('run-2', { zone: elsewhere }))?.kind, 'accepted');
  assert.ok(w.until(() => w.holders('run-2').length > 0));
  w.run(3);
  const leader = w.owner!;
  w.cloud.down = true;
  cutLeader(w, leader, [second!.id]);
  for (const m of w.workers.keys()) if (m !== second!.id) w.cut(m, leader, 'drop');
  assert.ok(w.until(() => w.owner !== undefined && w.owner !== leader, 12));
  const term = w.state.keys.get('share/0')!.revision;
  assert.ok(
    w.until(() => first!.token === term, 15),
    'heard by the next leader',
  );
  w.run(1);
  // Its task ends there without a result, and the machine is to be used no more; the other zone has room.
  const [t] = first!.live();
  first!.noticeS = 60;
  first!.orders(
    term,
    first!.session,
    [{ op: 'stop', task: t!.task, attempt: t!.attempt as never, graceS: 0 }],
    () => {},
  );
  w.run(5);
  assert.ok(w.holders(id).includes(second!.id), 'the other task goes on');
  assert.deepEqual(w.holders(id), [second!.id]);
  j.sound();
});
