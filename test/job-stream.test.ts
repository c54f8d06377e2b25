// One-task jobs, four a second for a minute, a quarter of them cancelled, with each of the troubles: no question goes unanswered,
// requests to the state service stay within their limit, and nothing grows without bound (docs/safety.md, point 15).
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobId } from '../src/types/index.ts';
import { judge } from './support/checked-world.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

const A_SECOND = 4;
const SECONDS = 60;
const RPS = 200;
const WRITE_RPS = 100;

const troubles: [string, (w: SimulatedWorld) => void][] = [
  ['no trouble', () => {}],
  [
    'the leader ends, is back at once, and ends again',
    (w) => {
      for (const at of [10, 22, 34])
        w.after(at * 1000, () => {
          const leader = w.owner;
          if (leader === undefined) return;
          w.crash(leader);
          w.after(400, () => w.start(leader));
        });
    },
  ],
  ['an outage of 15 s', (w) => w.after(15_000, () => w.state.outage(15))],
  [
    'the leader is refused alone for 20 s',
    (w) =>
      w.after(12_000, () => {
        const leader = w.owner;
        if (leader === undefined) return;
        w.state.refused.add(leader);
        w.after(20_000, () => w.state.refused.clear());
      }),
  ],
  [
    'a slow state service',
    (w) =>
      w.after(10_000, () => {
        w.stateSlowMs = 500;
        w.after(15_000, () => {
          w.stateSlowMs = 0;
        });
      }),
  ],
  [
    'late transactions',
    (w) => {
      let n = 0;
      w.after(10_000, () => {
        w.state.lateMs = () => (++n % 5 === 0 ? 2500 : null);
        w.after(15_000, () => {
          w.state.lateMs = null;
        });
      });
    },
  ],
  [
    'late copies of reports, also for the next leader',
    (w) => {
      let n = 0;
      w.copyMs = () => (++n % 3 === 0 ? 2500 + (n % 9) * 1000 : null);
      w.keepReport = () => ++n % 4 === 0;
      w.after(25_000, () => {
        const leader = w.owner;
        if (leader === undefined) return;
        w.crash(leader);
        w.after(5000, () => w.start(leader));
      });
    },
  ],
  [
    'no owner that can read the records for 20 s, all asked about at every node',
    (w) =>
      w.after(15_000, () => {
        const leader = w.owner;
        w.state.unreadable = 'o/';
        if (leader !== undefined) {
          w.crash(leader);
          w.after(400, () => w.start(leader));
        }
        w.after(20_000, () => {
          w.state.unreadable = null;
        });
      }),
  ],
];

for (const [name, begin] of troubles)
  test(`one-task jobs four a second, a quarter cancelled: ${name}`, () => {
    const w = new SimulatedWorld();
    w.run(3);
    const j = judge(w);
    const ids: JobId[] = [];
    let worst = 0;
    let writes = 0;
    let served = 0;
    for (let i = 0; i < A_SECOND * SECONDS; i++) {
      const id = `run-${i}` as JobId;
      ids.push(id);
      w.runOf.set(id, 1 + (i % 5));
      w.after((i * 1000) / A_SECOND, () => {
        j.insist({ op: 'submit', spec: job(id) });
        j.follow(id);
        if (i % 4 === 0) w.after(200 + (i % 16) * 300, () => j.insist({ op: 'cancel', id }));
      });
    }
    begin(w);
    const count = (): { all: number; writes: number } => {
      const fresh = w.state.served.slice(served);
      served = w.state.served.length;
      let n = 0;
      for (const op of fresh) if (op.kind === 'compare-and-swap') n += op.puts.length + op.deletes.length;
      return { all: fresh.length, writes: n };
    };
    for (let s = 0; s < SECONDS; s++) {
      w.run(1);
      const c = count();
      worst = Math.max(worst, c.all);
      writes = Math.max(writes, c.writes);
    }
    // Bursts of a second's worth are allowed.
    assert.ok(worst <= 2 * RPS, `${worst} requests in a second`);
    assert.ok(writes <= 2 * WRITE_RPS, `${writes} changes in a second`);
    j.rules.troublesOver(w.now);
    assert.ok(
      w.until(() => j.rules.unfinished().length === 0, 90),
      `${j.rules.unfinished().length} left`,
    );
    assert.ok(j.rules.longestSilenceMs < 15_000, `${j.rules.longestSilenceMs} ms`);
    // What users were told is over is soon off the machines and off the record of what is open.
    const left = (): number[] =>
      [...w.nodes.values()].map(
        (c) =>
          (c.leaderTerm?.jobs.openJobs.size ?? 0) +
          (c.leaderTerm?.writer.backlog ?? 0) +
          c.jobRecords.backlog,
      );
    assert.ok(
      w.until(() => left().every((n) => n === 0), 15),
      `${left()} left`,
    );
    const cancelled = ids.filter((id) => w.jobs.get(id)?.cancelledAt !== null).length;
    assert.ok(cancelled >= ids.length / 8, `${cancelled} cancelled`);
    j.sound();
  });
