// Users who look closely: right after a job was accepted, ended or confirmed as cancelled they ask at all nodes within
// milliseconds, repeat what they asked for, and some cancel; also while answers of the state service are lost
// (docs/safety.md, point 15).
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec, StoreRequest, UserResponse } from '../src/core/base/model.ts';
import type { JobId, TypeName, ZoneName } from '../src/types/index.ts';
import { type Judged, judge } from './support/checked-world.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

const idOf = (i: number): JobId => `run-${i}` as JobId;
const LOOKS_MS = [0, 1, 3, 8, 20, 60, 150, 400];

interface Looks {
  /** Questions that were answered within 50 ms of the news, by what the news was. */
  seen: Map<string, number>;
}

/** From now on every first news of a job is looked at closely; every fifth job that is accepted is cancelled at once. */
function lookClosely(w: SimulatedWorld): Looks {
  const known = new Set<string>();
  const seen = new Map<string, number>();
  let n = 0;
  const looks: Looks = { seen };
  w.onTold = (a: UserResponse) => {
    if (a.kind !== 'accepted' && a.kind !== 'ended') return;
    const news = a.kind === 'ended' ? a.status : 'accepted';
    if (known.has(`${a.id} ${news}`)) return;
    known.add(`${a.id} ${news}`);
    const spec = w.jobs.get(a.id)!.spec;
    if (news === 'accepted' && ++n % 5 === 0)
      for (const node of w.nodes.keys()) w.ask(node, { op: 'cancel', id: a.id });
    const at = w.now;
    for (const ms of LOOKS_MS)
      w.after(ms, () => {
        for (const node of [...w.nodes.keys()]) {
          const asked = [w.ask(node, { op: 'status', id: a.id }), w.ask(node, { op: 'submit', spec })];
          w.after(45, () => {
            for (const b of asked)
              if (b.answer !== null && b.answer.kind !== 'retry' && w.now - at < 100)
                seen.set(news, (seen.get(news) ?? 0) + 1);
          });
        }
      });
  };
  return looks;
}

function play(
  w: SimulatedWorld,
  jobs: number,
  everyMs: number,
  over: (i: number) => Partial<JobSpec> = () => ({}),
): Judged {
  const j = judge(w);
  for (let i = 1; i <= jobs; i++)
    w.after(i * everyMs, () => {
      w.runOf.set(idOf(i), 0.7 + (i % 7) * 0.3);
      j.insist({ op: 'submit', spec: job(idOf(i), over(i)) });
      j.follow(idOf(i));
    });
  return j;
}

/** Nothing that was accepted is left behind. */
function untilOver(w: SimulatedWorld, j: Judged, seconds = 120): void {
  j.rules.troublesOver(w.now);
  assert.ok(
    w.until(() => j.rules.unfinished().length === 0, seconds),
    j.rules.unfinished().join(),
  );
  j.sound();
}

const puts = (prefix: string) => (op: StoreRequest) =>
  op.kind === 'compare-and-swap' && op.puts.some((p) => p.key.startsWith(prefix));

const spells: [string, (w: SimulatedWorld) => () => void][] = [
  ['nothing else goes wrong', () => () => {}],
  [
    'the leader is out of the other controllers’ reach',
    (w) => {
      const { owner } = w;
      outOfReach(w);
      return () => {
        for (const n of w.nodes.keys()) if (n !== owner) w.heal(n, owner!);
      };
    },
  ],
  [
    'half of all transactions are never answered, and carried out late',
    (w) => {
      let n = 0;
      w.state.lateMs = () => (++n % 2 === 0 ? 2500 + (n % 5) * 1000 : null);
      return () => {
        w.state.lateMs = null;
      };
    },
  ],
];
for (const [name, begin] of spells)
  test(`close looks at all nodes tell nothing older: ${name}`, () => {
    const w = new SimulatedWorld();
    w.run(2);
    const looks = lookClosely(w);
    const j = play(w, 24, 500);
    w.run(2);
    const end = begin(w);
    w.run(14);
    end();
    untilOver(w, j);
    for (const news of ['accepted', 'done', 'cancelled'])
      assert.ok((looks.seen.get(news) ?? 0) >= 10, `${news}: ${looks.seen.get(news)}`);
  });

/** The leader serves its users and machines, and the other controllers can't ask it. */
function outOfReach(w: SimulatedWorld): void {
  const { owner } = w;
  for (const n of w.nodes.keys()) if (n !== owner) w.cut(n, owner!, 'drop');
}

// Carried out at once, only the answer is lost, while other nodes read what was written.
const lost: [string, (op: StoreRequest) => boolean, (w: SimulatedWorld) => void][] = [
  ['acceptances and cancellations', puts('o/'), () => {}],
  ['acceptances by a node that owns nothing', puts('o/'), (w) => w.freeze(w.owner!)],
  ['final states', puts('f/'), () => {}],
  ['machines’ pages', puts('m/'), () => {}],
  ['results', puts('d/'), () => {}],
  ['cancellations, while the others read the record', puts('o/'), outOfReach],
  ['final states, while the others read the record', puts('f/'), outOfReach],
  ['take-overs', puts('share/0'), (w) => w.crash(w.owner!)],
  ['renewals', (op) => op.kind === 'renew-lease', () => {}],
  ['all of them, and the leader ends', () => true, (w) => w.crash(w.owner!)],
];
for (const [name, which, meanwhile] of lost)
  test(`a transaction carried out at once, only its answer lost: ${name}`, () => {
    const w = new SimulatedWorld();
    w.run(2);
    const before = [...w.nodes.keys()];
    lookClosely(w);
    let n = 0;
    // Not every one: else nothing would ever be known to be written.
    w.state.losesAnswer = (_node, op) => which(op) && ++n % 3 !== 0;
    const j = play(w, 16, 500, (i) => ({ tasks: i % 4 === 0 ? 3 : 1, cpus: 4 }));
    w.run(3);
    meanwhile(w);
    w.run(12);
    for (const name of before) {
      w.thaw(name);
      for (const other of before) w.heal(name, other);
      if (!w.nodes.has(name)) w.start(name);
    }
    w.state.losesAnswer = null;
    untilOver(w, j);
    assert.ok(w.state.answersLost > 0);
  });

for (const atMs of [-30, -4, 0, 4, 30, 120, 300])
  test(`a cancellation, a question and a repetition ${atMs} ms from the end of a job's last task, with no other trouble`, () => {
    const w = new SimulatedWorld();
    w.run(2);
    const j = judge(w);
    const ids = [1, 2, 3, 4, 5, 6].map(idOf);
    let met = 0;
    for (const [i, id] of ids.entries()) {
      w.runOf.set(id, 20);
      assert.equal(w.submit(job(id, { tasks: 1 + (i % 2) }))?.kind, 'accepted');
    }
    const nodes = [...w.nodes.keys()];
    assert.ok(w.until(() => ids.every((id) => w.holders(id).length > 0)));
    for (const [i, id] of ids.entries()) {
      const m = w.workers.get(w.holders(id)[0]!)!;
      const last = Math.max(
        ...m
          .live()
          .filter((t) => t.job === id)
          .map((t) => w.endsAt.get(t.task) ?? 0),
      );
      assert.ok(last > w.now);
      w.at(last + atMs, () => {
        met++;
        const spec = w.jobs.get(id)!.spec;
        for (const [k, node] of nodes.entries()) {
          if (k === i % nodes.length && i < 4) w.ask(node, { op: 'cancel', id });
          w.ask(node, { op: 'status', id });
          w.ask(node, { op: 'submit', spec });
        }
      });
      j.follow(id);
    }
    w.run(22);
    assert.equal(met, ids.length);
    untilOver(w, j, 40);
  });

// What users get wrong: the same answer at every node, with an owner and without, and nothing wrong told in between.
const odd: [string, Partial<JobSpec>, string][] = [
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
test('a job that can’t run is refused at every node, in no state of the service accepted, and one that runs stays known whatever a repetition says', () => {
  const w = new SimulatedWorld();
  w.runS = 400;
  const j = judge(w);
  assert.equal(w.submit(job(idOf(1)))?.kind, 'accepted');
  assert.ok(w.until(() => w.holders(idOf(1)).length > 0));
  const nodes = [...w.nodes.keys()];
  let n = 100;
  const everywhere = (expected: (kind: string) => string[], with503: boolean): void => {
    for (const [what, over, kind] of odd)
      for (const node of nodes) {
        const fresh = w.ask(node, { op: 'submit', spec: job(`run-${++n}`, over) });
        // The same contents under the name of a job that runs, and a cancellation of a job that nobody knows.
        const again = w.ask(node, { op: 'submit', spec: job(idOf(1), over) });
        const none = w.ask(node, { op: 'cancel', id: `run-${n + 5000}` as JobId });
        w.run(2.2);
        const allowed = (box: { answer: UserResponse | null }, kinds: string[]) =>
          assert.ok(
            box.answer === null ? with503 : kinds.includes(box.answer.kind),
            `${what} at ${node}: ${JSON.stringify(box.answer)}`,
          );
        allowed(fresh, expected(kind));
        allowed(again, with503 ? ['known', 'retry'] : ['known']);
        allowed(none, with503 ? ['not-found', 'retry'] : ['not-found']);
      }
  };
  everywhere((kind) => [kind], false);
  // Without an owner in reach a node can't decide, and says so.
  const { owner } = w;
  w.freeze(owner!);
  w.state.unreadable = 'o/';
  everywhere((kind) => [kind, 'retry'], true);
  w.state.unreadable = null;
  w.thaw(owner!);
  w.run(8);
  w.state.outage(60);
  everywhere((kind) => [kind, 'retry'], true);
  j.sound();
});

test('a job that another node took in a moment ago is not refused when a repetition of it says something impossible', () => {
  const w = new SimulatedWorld();
  w.run(2);
  const { owner } = w;
  const other = [...w.nodes.keys()].find((n) => n !== owner)!;
  // The owner does not hear of it: neither the node nor its watch of the records.
  w.cut(owner!, other, 'drop');
  w.run(2);
  w.state.watchLagMs = 3000;
  assert.equal(w.insist({ op: 'submit', spec: job('run-1') }, other, 6)?.kind, 'accepted');
  const a = w.insist({ op: 'submit', spec: job('run-1', { cpus: 90 }) }, owner, 3);
  assert.equal(a?.kind, 'known', JSON.stringify(a));
});

for (const watched of [true, false])
  test(`a mark that was refused after a copy of it went unanswered, and is carried out late, still ends the job: ${watched ? 'seen by the watch' : 'found as the job ends'}`, () => {
    const w = new SimulatedWorld();
    w.runS = watched ? 60 : 12;
    const j = judge(w);
    assert.equal(w.submit(job('run-1'))?.kind, 'accepted');
    assert.ok(w.until(() => w.holders('run-1').length > 0));
    const { owner } = w;
    if (!watched) w.state.watchLagMs = 100_000;
    let first = true;
    w.state.lateMs = () => {
      if (!first) return null;
      first = false;
      return 4000;
    };
    const box = w.ask(owner!, { op: 'cancel', id: 'run-1' as JobId });
    w.run(0.5);
    // Whatever is written meanwhile is too large, so the mark is given up.
    w.state.limits = { valueBytes: 10, txnOps: 24 };
    w.run(2);
    assert.equal(box.answer?.kind, 'retry');
    w.state.limits = null;
    w.run(4);
    assert.equal((w.state.keys.get('o/run-1')?.value as { c?: number } | undefined)?.c ?? 1, 1);
    if (!watched) w.run(20);
    const [other] = [...w.nodes.keys()].filter((n) => n !== owner);
    for (const n of [other, owner!])
      assert.deepEqual(w.status('run-1', n), { kind: 'ended', id: 'run-1', status: 'cancelled' });
    assert.ok(w.until(() => w.holders('run-1').length === 0, 10));
    j.sound();
  });
