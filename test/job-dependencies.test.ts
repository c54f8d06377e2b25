// Jobs that await other jobs: nothing starts early, a cancellation goes down the graph and is never taken back,
// whoever owns the share and however it changes hands.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ControllerIo } from '../src/core/base/io.ts';
import type { JobSpec, UserResponse } from '../src/core/base/model.ts';
import { Dependencies } from '../src/core/jobs/dependencies.ts';
import { Job } from '../src/core/jobs/job.ts';
import { JobOrdering, RuntimeEstimates } from '../src/core/jobs/job-ordering.ts';
import { JobTable } from '../src/core/jobs/job-table.ts';
import { encodeJobSpec } from '../src/core/storage/job-record.ts';
import { seededRandom } from '../src/runtime/random.ts';
import type { Instant, JobId, Revision, WallTime } from '../src/types/index.ts';
import { job, SimulatedWorld, settings } from './support/simulated-world.ts';

/** With a message of its own: without one, the runner searches the source for the failed line, for minutes. */
const holds = (v: boolean | undefined, what = 'this must hold') => assert.equal(v, true, what);
const NODES = ['node-0', 'node-1', 'node-2'];
const quiet = (w: SimulatedWorld) => assert.deepEqual(w.broken, []);
const after = (id: string, awaits: string[], over: Partial<JobSpec> = {}): JobSpec =>
  job(id, { ...over, dependsOn: awaits as JobId[] });
const cancelled = (a: UserResponse | null) =>
  (a?.kind === 'ended' || a?.kind === 'known') && a.status === 'cancelled';
const cancel = (w: SimulatedWorld, id: string, node = 'node-0') =>
  w.insist({ op: 'cancel', id: id as JobId }, node);
const crashAll = (w: SimulatedWorld, forS = 5) => {
  for (const n of NODES) w.crash(n);
  w.run(forS);
  for (const n of NODES) w.start(n);
};

test('a chain runs link by link, each once the one before it is done on record', () => {
  const w = new SimulatedWorld();
  w.submit(job('run-a', { tasks: 3 }));
  assert.equal(w.submit(after('run-b', ['run-a', 'run-a']), 'node-1')?.kind, 'accepted');
  assert.equal(w.submit(after('run-c', ['run-b'], { kind: 'gang', tasks: 2 }))?.kind, 'accepted');
  w.run(6);
  const b = w.status('run-b', 'node-2');
  assert.deepEqual(b, {
    kind: 'status',
    id: 'run-b',
    status: 'queued',
    done: 0,
    running: 0,
    dependsOn: ['run-a'],
  });
  holds(w.until(() => w.isDone('run-c'), 100));
  holds(w.doneOnRecord('run-b'));
  quiet(w);
});

test('a job starts at once when what it awaits is over already, also long ago and unknown to the owner', () => {
  const w = new SimulatedWorld();
  w.submit(job('run-a'));
  holds(w.until(() => w.isDone('run-a')));
  crashAll(w);
  assert.equal(w.submit(after('run-b', ['run-a']))?.kind, 'accepted');
  holds(w.until(() => w.isDone('run-b'), 60));
  quiet(w);
});

test('a job that awaits itself, a service or one never accepted is refused by every node; a known job is known', () => {
  const w = new SimulatedWorld();
  w.submit(job('run-a'));
  w.submit(job('run-s', { kind: 'service' }));
  const owner = w.owner!;
  const other = NODES.find((n) => n !== owner)!;
  const refused = (spec: JobSpec, reason: RegExp) => {
    for (const n of [owner, other]) {
      const a = w.submit(spec, n);
      assert.equal(a?.kind, 'impossible');
      assert.match((a as { reason: string }).reason, reason);
    }
  };
  refused(after('run-x', ['run-x']), /run-x awaits itself/);
  refused(after('run-x', ['run-a', 'run-404']), /run-404.*never accepted/);
  refused(after('run-x', ['run-s']), /run-s.*service/);
  assert.deepEqual(w.submit(after('run-a', ['run-404', 'run-a'])), {
    kind: 'known',
    id: 'run-a',
    status: 'queued',
  });
  // Cut off from the owner, the other node takes jobs in by the record: the same checks hold there.
  w.cut(owner, other, 'drop');
  w.input(other, { kind: 'peer-down', node: owner as never });
  assert.equal(w.submit(after('run-x', ['run-s']), other)?.kind, 'impossible');
  assert.equal(w.submit(after('run-x', ['run-404']), other)?.kind, 'impossible');
  assert.equal(w.submit(after('run-y', ['run-a']), other)?.kind, 'accepted');
  holds(w.until(() => w.isDone('run-y', owner), 60));
  quiet(w);
});

test('whether a job was ever accepted is not guessed while the state service cannot be asked', () => {
  const w = new SimulatedWorld();
  w.submit(job('run-a'));
  w.state.outage(20);
  w.run(1);
  const box = w.ask('node-0', { op: 'submit', spec: after('run-b', ['run-404']) });
  w.run(2);
  assert.equal(box.answer?.kind, 'retry');
});

test('a cancellation goes down the graph at once and outlives a crash of all nodes', () => {
  const w = new SimulatedWorld();
  w.runS = 30;
  w.submit(job('run-a'));
  w.submit(after('run-b', ['run-a']));
  w.submit(after('run-c', ['run-b']));
  w.submit(job('run-z'));
  w.submit(after('run-d', ['run-c', 'run-z']));
  holds(w.until(() => w.holders('run-a').length > 0));
  holds(cancelled(cancel(w, 'run-a')));
  // Its task is still to be stopped: the jobs after it do not wait for that.
  holds(!w.state.keys.has('f/run-a'));
  const box = w.ask(w.owner!, { op: 'status', id: 'run-d' as JobId });
  w.run(0.1);
  holds(cancelled(box.answer));
  // Before any of their own records has changed:
  crashAll(w);
  for (const id of ['run-b', 'run-c', 'run-d']) for (const n of NODES) holds(cancelled(w.status(id, n)), id);
  assert.equal(w.submit(after('run-e', ['run-d']))?.kind, 'accepted');
  holds(cancelled(w.status('run-e', 'node-2')));
  // What a cancelled job awaited goes on.
  holds(w.until(() => w.isDone('run-z'), 120));
  crashAll(w);
  for (const id of ['run-b', 'run-c', 'run-d', 'run-e']) holds(cancelled(w.status(id)), id);
  quiet(w);
});

test('a node without an owner in reach derives the same from the record', () => {
  const w = new SimulatedWorld();
  w.runS = 30;
  w.submit(job('run-a'));
  w.submit(after('run-b', ['run-a']));
  w.submit(after('run-c', ['run-b']));
  const owner = w.owner!;
  const other = NODES.find((n) => n !== owner)!;
  assert.equal(w.status('run-c', other)?.kind, 'status');
  cancel(w, 'run-a', owner);
  // The owner died with the cancel mark on record, and nothing else.
  for (const n of NODES) if (n !== other) w.crash(n);
  for (const [id, awaits] of [
    ['run-b', 'run-a'],
    ['run-c', 'run-b'],
  ] as const) {
    w.state.keys.delete(`f/${id}`);
    const value = { s: encodeJobSpec(after(id, [awaits])), t: 1e9, w: 'x' };
    w.state.keys.set(`o/${id}`, { value, revision: ++w.state.revision, hold: null });
  }
  const box = w.ask(other, { op: 'status', id: 'run-c' as JobId });
  w.run(1);
  assert.equal(w.owner, undefined);
  holds(cancelled(box.answer));
});

test('a cancellation that comes after the end is answered done, and the jobs after it go on', () => {
  const w = new SimulatedWorld();
  w.submit(job('run-a'));
  w.submit(after('run-b', ['run-a']));
  holds(w.until(() => w.doneOnRecord('run-a'), 60));
  assert.deepEqual(cancel(w, 'run-a'), { kind: 'ended', id: 'run-a', status: 'done' });
  holds(w.until(() => w.isDone('run-b'), 60));
  quiet(w);
});

test('a result whose report was held back until after the cancellation changes nothing', () => {
  const w = new SimulatedWorld();
  w.submit(job('run-a'));
  w.submit(after('run-b', ['run-a']));
  holds(w.until(() => w.holders('run-a').length > 0));
  const [m] = w.holders('run-a');
  for (const n of NODES) w.cut(m!, n, 'hold');
  w.run(6);
  assert.equal(w.workers.get(m!)!.live().length, 0);
  holds(cancelled(cancel(w, 'run-a')));
  for (const n of NODES) w.heal(m!, n);
  w.run(15);
  for (const id of ['run-a', 'run-b']) holds(cancelled(w.status(id, 'node-1')), id);
  assert.deepEqual(w.holders('run-b'), []);
  quiet(w);
});

test('through a restart of one node after the other a chain goes on, and nothing runs twice', () => {
  const w = new SimulatedWorld();
  w.runS = 6;
  w.submit(job('run-a', { tasks: 6 }));
  w.submit(after('run-b', ['run-a'], { tasks: 4 }));
  w.submit(after('run-c', ['run-b']));
  for (let round = 0; round < 2; round++)
    for (const n of NODES) {
      w.crash(n);
      w.run(6);
      w.start(n);
      w.run(6);
    }
  holds(w.until(() => w.isDone('run-c'), 100));
  const starts = [...w.workers.values()].reduce((n, x) => n + x.starts, 0);
  assert.equal(starts, 11);
  quiet(w);
});

test('a new owner says nothing of a waiting job, and starts nothing of it, before it has read what it awaits', () => {
  const w = new SimulatedWorld();
  w.runS = 20;
  w.submit(job('run-a'));
  w.submit(job('run-l', { tasks: 2 }));
  w.submit(after('run-b', ['run-a', 'run-l']));
  w.submit(after('run-c', ['run-b']));
  cancel(w, 'run-a');
  holds(w.until(() => w.state.keys.has('f/run-a'), 60));
  // The final record of run-b was never written: the state of before is put back.
  const spec = after('run-b', ['run-a', 'run-l']);
  for (const id of ['run-b', 'run-c']) w.state.keys.delete(`f/${id}`);
  const put = (s: JobSpec) =>
    w.state.keys.set(`o/${s.id}`, {
      value: { s: encodeJobSpec(s), t: 1e9, w: 'x' },
      revision: ++w.state.revision,
      hold: null,
    });
  for (const n of NODES) w.crash(n);
  put(spec);
  put(after('run-c', ['run-b']));
  w.state.unread = 'f/';
  for (const n of NODES) w.start(n);
  holds(w.until(() => w.owner !== undefined, 30));
  w.run(3);
  for (const id of ['run-b', 'run-c']) {
    const box = w.ask(w.owner!, { op: 'status', id: id as JobId });
    w.run(2);
    assert.equal(box.answer?.kind, 'retry', id);
  }
  w.state.unread = null;
  for (const id of ['run-b', 'run-c']) holds(cancelled(w.status(id)), id);
  quiet(w);
});

test('while a node of an earlier version is connected, jobs that await others are sent back at once', () => {
  const w = new SimulatedWorld();
  w.run(2);
  w.submit(job('run-a'));
  const owner = w.owner!;
  const old = NODES.find((n) => n !== owner)!;
  w.crash(old);
  w.oldForm.add(old);
  w.start(old);
  w.run(1);
  for (const n of NODES.filter((x) => x !== old)) {
    const box = w.ask(n, { op: 'submit', spec: after('run-b', ['run-a']) });
    w.run(0.5);
    assert.equal(box.answer?.kind, 'retry', n);
  }
  assert.equal(w.submit(job('run-c'), owner)?.kind, 'accepted');
  assert.equal(w.submit(after('run-a', ['run-404']), owner)?.kind, 'known');
  w.crash(old);
  w.oldForm.delete(old);
  w.start(old);
  assert.equal(w.submit(after('run-b', ['run-a']), old)?.kind, 'accepted');
  holds(w.until(() => w.isDone('run-b'), 60));
  quiet(w);
});

test('a final state that a repeated submission brings to light resolves what waits for it', () => {
  const { io, jobs, open } = graph();
  const b = open(after('run-b', ['run-a']));
  assert.equal(b.isBlocked, true);
  // While run-a's final state is being read for run-b, it is read for another reason first.
  jobs.cacheFinalState('run-a' as JobId, 'done', 1e9 as WallTime);
  for (const e of io.takeEffects())
    if (e.kind === 'store')
      io.resolve(e.tag, {
        kind: 'item',
        item: { key: 'f/run-a', value: { s: 'done', w: 'x' }, revision: 1 },
      });
  assert.equal(b.isBlocked, false);
});

test('waiting work is neither rented for nor counted; when ready it has the times and rank of what needs it', () => {
  const w = new SimulatedWorld();
  w.runS = 30;
  w.submit(job('run-a', { cpus: 1 }));
  w.submit(after('run-b', ['run-a'], { tasks: 60, cpus: 4 }));
  w.run(20);
  holds(w.workers.size <= 2, `${w.workers.size} machines`);
  holds(w.until(() => w.workers.size > 10, 60));
  quiet(w);
});

/** Dependencies over jobs in memory alone; the state service never answers. */
function graph() {
  const io = new ControllerIo(seededRandom(1));
  io.beginStep(0 as Instant, 1e9 as WallTime);
  const jobs = new JobTable(io, {} as never, { drop: () => {} } as never);
  const estimates = new RuntimeEstimates();
  const needs = new Dependencies(io, settings('node-0'), jobs, estimates);
  jobs.listener = needs;
  const open = (spec: JobSpec): Job => {
    const j = new Job(spec, 1 as Revision, 1e9 as WallTime, 0 as Instant, false, jobs.waitingJobs);
    jobs.openJobs.set(spec.id, j);
    needs.onOpened(j);
    return j;
  };
  const end = (j: Job, status: 'done' | 'cancelled', at = 1e9) => {
    j.isOver = true;
    jobs.openJobs.delete(j.id);
    jobs.waitingJobs.delete(j);
    jobs.cacheFinalState(j.id, status, at as WallTime);
    needs.onClosed(j, status, at as WallTime);
  };
  return { io, jobs, needs, estimates, open, end };
}

test('a job takes the highest priority and the tightest finish of the jobs that need it, and gives them back', () => {
  const { io, needs, estimates, open, end } = graph();
  const a = open(job('run-a', { priority: 0, estimatedRunS: 10 }));
  const b = open(after('run-b', ['run-a'], { priority: 0, estimatedRunS: 20 }));
  const c = open(after('run-c', ['run-b'], { priority: 2, estimatedRunS: 5, deadlineS: 100 }));
  const d = open(after('run-d', ['run-b'], { priority: 1, estimatedRunS: 5, deadlineS: 60 }));
  assert.deepEqual([a.priority, b.priority], [2, 2]);
  assert.deepEqual([a.inheritedDeadline, b.inheritedDeadline], [1e9 + 35_000, 1e9 + 55_000]);
  // Run-a is to start 10 s before it must be over.
  const order = new JobOrdering([], estimates);
  assert.equal(order.slackS(a, io.now, 1e9), 25);
  d.cancelled = true;
  needs.onCancelled(d);
  assert.deepEqual([a.inheritedDeadline, b.inheritedDeadline], [1e9 + 75_000, 1e9 + 95_000]);
  c.cancelled = true;
  needs.onCancelled(c);
  assert.deepEqual([a.priority, a.inheritedDeadline], [0, Number.POSITIVE_INFINITY]);
  // Waits count from when the job became ready, deadlines from submission.
  end(a, 'done', 1e9 + 40_000);
  const waits = new JobOrdering(
    [{ kind: 'wait', class: 'plain', withinS: 30, share: 0.9, times: null }],
    estimates,
  );
  assert.equal(waits.slackS(b, io.now, 1e9 + 50_000), 20);
});

test('chains of thousands are cancelled, and pass on their rank, without recursion and in one walk', () => {
  const { jobs, open, needs } = graph();
  const first = open(job('run-0', { priority: 0 }));
  for (let i = 1; i < 5000; i++) open(after(`run-${i}`, [`run-${i - 1}`], { priority: i === 4999 ? 3 : 0 }));
  assert.equal(first.priority, 3);
  first.cancelled = true;
  needs.onCancelled(first);
  holds([...jobs.openJobs.values()].every((j) => j.cancelled));
});

test('over random graphs, ends and cancellations the states are those of a plain recomputation', () => {
  for (let seed = 1; seed <= 30; seed++) {
    const random = seededRandom(seed);
    const { open, end, needs, jobs } = graph();
    const specs: JobSpec[] = [];
    const all = new Map<JobId, Job>();
    const told = new Map<JobId, 'done' | 'cancelled'>();
    /** By the definition alone: cancelled by its user, or something that it needs is. */
    const doomed = (s: JobSpec): boolean =>
      told.get(s.id) === 'cancelled' ||
      (s.dependsOn ?? []).some((id) => doomed(specs.find((x) => x.id === id)!));
    for (let step = 0; step < 120; step++) {
      const act = random.below(4);
      if (act < 2) {
        const named =
          specs.length === 0 ? [] : [...Array(random.below(4))].map(() => random.below(specs.length));
        const dependsOn = [...new Set(named.map((i) => specs[i]!.id))];
        const spec = job(`run-${specs.length}`, dependsOn.length === 0 ? {} : { dependsOn });
        specs.push(spec);
        all.set(spec.id, open(spec));
      } else {
        const running = [...jobs.openJobs.values()].filter((j) => !j.cancelled && !j.isBlocked);
        const any = [...jobs.openJobs.values()].filter((j) => !j.cancelled);
        if (act === 2 && running.length > 0) {
          const j = running[random.below(running.length)]!;
          told.set(j.id, 'done');
          end(j, 'done');
        } else if (act === 3 && any.length > 0 && random.below(3) === 0) {
          const j = any[random.below(any.length)]!;
          told.set(j.id, 'cancelled');
          j.cancelled = true;
          needs.onCancelled(j);
        }
        for (const j of [...jobs.openJobs.values()])
          if (j.cancelled && random.below(3) === 0) end(j, 'cancelled');
      }
      for (const s of specs) {
        const j = all.get(s.id)!;
        if (told.get(s.id) === 'done') continue;
        assert.equal(j.cancelled, doomed(s), `seed ${seed}, step ${step}: ${s.id}`);
        const ready = (s.dependsOn ?? []).every((id) => told.get(id) === 'done');
        if (!j.cancelled) assert.equal(!j.isBlocked, ready, `seed ${seed}, step ${step}: ${s.id}`);
        assert.equal(jobs.waitingJobs.has(j), !j.isOver && !j.isBlocked && j.waitingTasks > 0);
      }
    }
  }
});

test('through crashes, outages and cuts no chain starts early and none comes back from a cancellation', () => {
  for (let seed = 1; seed <= 4; seed++) {
    const random = seededRandom(seed * 77);
    const w = new SimulatedWorld();
    w.runS = 4;
    const told = new Map<string, string>();
    const ids: string[] = [];
    const look = (id: string) => {
      const box = w.ask(NODES[random.below(3)]!, { op: 'status', id: id as JobId });
      w.run(0.3);
      const a = box.answer;
      if (a?.kind !== 'status' && a?.kind !== 'ended') return;
      const before = told.get(id);
      if (before !== undefined) assert.equal(a.status, before, `seed ${seed}: ${id} went back`);
      if (a.kind === 'ended') told.set(id, a.status);
    };
    for (let step = 0; step < 60; step++) {
      const id = `run-${ids.length}`;
      const awaits = [...new Set([...Array(random.below(3))].map(() => ids[random.below(ids.length)]!))];
      const spec = ids.length === 0 || awaits.length === 0 ? job(id) : after(id, awaits);
      if (random.below(2) === 0 && w.submit(spec, NODES[random.below(3)]!) !== null) ids.push(id);
      const act = random.below(12);
      const one = NODES[random.below(3)]!;
      if (act === 0) {
        w.crash(one);
        w.after(3000, () => w.start(one));
      } else if (act === 1) w.state.outage(1 + random.below(4));
      else if (act === 2) {
        w.cut(one, 'state', 'hold');
        w.after(6000, () => w.heal(one, 'state'));
      } else if (act < 5 && ids.length > 0)
        w.ask(one, { op: 'cancel', id: ids[random.below(ids.length)] as JobId });
      w.run(0.5);
      if (ids.length > 0) for (let i = 0; i < 3; i++) look(ids[random.below(ids.length)]!);
    }
    for (const n of NODES) if (!w.nodes.has(n)) w.start(n);
    w.run(60);
    const end = new Map(ids.map((id) => [id, w.status(id)]));
    for (const [id, a] of end) {
      assert.equal(a?.kind, 'ended', `seed ${seed}: ${id} is not over`);
      const needs = w.jobs.get(id)!.spec.dependsOn ?? [];
      if (needs.some((n) => cancelled(end.get(n)!))) holds(cancelled(a), `seed ${seed}: ${id}`);
    }
    quiet(w);
  }
});
