// One outcome a job, and the one that the service settled on, whatever happens to script, nodes and messages.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { seededRandom } from '../../../src/runtime/random.ts';
import { inOrder } from '../src/dependency-order.ts';
import { Health } from '../src/node-health.ts';
import { bodyOf } from '../src/request.ts';
import { backoffMs, RetryBudget, retryAfterS } from '../src/retry-policy.ts';
import type { Reply } from '../src/session.ts';
import type { Outcome } from '../src/types.ts';
import { FakeDisk, type Network, REQUEST, Script, Service, settle } from './support.ts';

const NODES = ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1'];
const chanceOf = (seed: number): (() => number) => {
  const r = seededRandom(seed);
  return () => r.below(1 << 20) / (1 << 20);
};
const sentBack = (status: number, after: number | null): Reply => ({
  status,
  body: '{"error":"come again"}',
  retryAfterS: after,
});

/** A script on a network that the test describes, with answers that come when the clock has got there. */
async function world(service: Service, network: Network, seed = 1, disk = new FakeDisk(), nodes = NODES) {
  const clock = { now: 0 };
  const later: { at: number; run: () => void }[] = [];
  const at = (ms: number, run: () => void): void => {
    later.push({ at: clock.now + ms, run });
  };
  const start = (): Promise<Script> =>
    new Script(clock, service, (s, a, b) => network(s, a, b)).start(disk, nodes, chanceOf(seed));
  const run = async (script: Script, ms: number): Promise<void> => {
    for (const end = clock.now + ms; clock.now < end; ) {
      clock.now += 50;
      for (const l of later.filter((x) => x.at <= clock.now)) {
        later.splice(later.indexOf(l), 1);
        l.run();
      }
      script.wake();
      await settle();
    }
  };
  return { clock, at, start, run, disk };
}

test('random histories: lost and late messages, refusals, cancellations, scripts killed and started again', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.integer(),
      fc.integer({ min: 1, max: 8 }),
      fc.array(fc.integer({ min: 100, max: 6000 }), { maxLength: 4 }),
      fc.double({ min: 0, max: 0.6, noNaN: true }),
      async (seed, jobs, kills, trouble) => {
        const service = new Service(4000);
        const chance = chanceOf(seed);
        const network: Network = (send, answer, back) => {
          const c = chance();
          const way = Math.floor(chance() * 400);
          if (c < trouble / 4) return w.at(way, () => back(null));
          if (c < trouble / 2) {
            // It arrives, perhaps after its sender has given it up; the answer is lost.
            w.at(Math.floor(chance() * 9000), () => answer());
            return w.at(send.timeoutMs, () => back(null));
          }
          if (c < trouble)
            return w.at(way, () => back(sentBack(c < 0.3 ? 503 : 429, chance() < 0.5 ? 1 : null)));
          w.at(way, () => {
            const reply = answer();
            w.at(way, () => back(reply));
          });
        };
        const w = await world(service, network, seed);
        const told = new Map<string, Outcome>();
        const ids = new Map<string, string>();
        const collect = (s: Script): void => {
          for (const [id, list] of s.outcomes) {
            assert.equal(list.length, 1, `${id} had two outcomes`);
            const before = told.get(id);
            if (before !== undefined) assert.deepEqual(list[0], before);
            told.set(id, list[0]!);
          }
        };
        const ask = (s: Script): void => {
          for (let n = 0; n < jobs; n++) {
            const id = s.submit(`job-${n}`, n === 3 ? { ...REQUEST, team: 'nobody' } : REQUEST);
            // Before it is sent, while it is under way, or after it is over.
            if (n % 3 === 1) w.at((seed & 7) * 350, () => s.step({ kind: 'cancel', id }));
          }
        };
        let script = await w.start();
        ask(script);
        for (const ms of kills) {
          await w.run(script, ms);
          collect(script);
          script.kill();
          w.disk.crash(Math.floor(chance() * 60));
          script = await w.start();
          ask(script);
        }
        await w.run(script, 400_000);
        collect(script);
        for (const k of script.outbox.all()) ids.set(k.key!, k.id);
        assert.equal(ids.size, jobs);
        assert.equal(script.session.open, 0);
        for (const [key, id] of ids) {
          const kept = script.outbox.get(id)!.outcome!;
          if (told.has(id)) assert.deepEqual(kept, told.get(id));
          const job = service.jobs.get(id);
          if (key === 'job-3')
            assert.deepEqual(
              [kept.kind, job],
              [kept.kind === 'cancelled' ? 'cancelled' : 'refused', undefined],
            );
          else if (job === undefined) assert.equal(kept.kind, 'cancelled', 'never sent');
          else assert.equal(kept.kind, job.final, key);
        }
        for (const id of service.jobs.keys())
          assert.ok([...ids.values()].includes(id), 'a job nobody knows of');
      },
    ),
    { numRuns: 25, seed: 7 },
  );
});

test('nothing is sent before it is kept: a power failure at once leaves no job that the script does not know', async () => {
  const service = new Service(1000);
  const w = await world(service, (_s, answer, back) => back(answer()));
  const script = await w.start();
  script.submit('a');
  assert.equal(script.sends.length, 0);
  script.kill();
  w.disk.crash();
  const next = await w.start();
  const id = next.submit('a');
  await w.run(next, 3000);
  assert.deepEqual([...service.jobs.keys()], [id]);
  assert.equal(next.outcomes.get(id)?.[0]?.kind, 'done');
});

test('a cancellation and a completion that meet end in what the service settled on, once', async () => {
  for (const first of ['done', 'cancelled'] as const) {
    const service = new Service(4000);
    const w = await world(service, (send, answer, back) => {
      // The answer to a question from before the cancellation comes after the answer to the cancellation.
      const ms = send.call.method === 'GET' ? 900 : send.call.path === '/work' ? 50 : 1200;
      w.at(ms, () => back(answer()));
    });
    const script = await w.start();
    const id = script.submit('a');
    await w.run(script, first === 'done' ? 4020 : 1300);
    script.step({ kind: 'cancel', id });
    await w.run(script, 6000);
    assert.deepEqual(script.outcomes.get(id), [{ kind: first, id }]);
    assert.equal(service.jobs.get(id)!.final, first);
    assert.equal(script.sends.filter((s) => s.call.path.endsWith('/abort')).length, 1);
    assert.deepEqual(
      script.states.filter((x) => x !== 'running'),
      [first],
      'an older answer replaces no newer one',
    );
  }
});

test('a submission that may have arrived is settled before it is cancelled; one that was never sent just ends', async () => {
  const service = new Service(60_000);
  let quiet = true;
  const w = await world(service, (send, answer, back) => {
    if (quiet) w.at(send.timeoutMs + 2000, () => answer());
    w.at(quiet ? send.timeoutMs : 50, () => back(quiet ? null : answer()));
  });
  const script = await w.start();
  const id = script.submit('a');
  await w.run(script, 100);
  script.step({ kind: 'cancel', id });
  const unsent = script.submit('b');
  script.step({ kind: 'cancel', id: unsent });
  await w.run(script, 1000);
  assert.equal(script.outcomes.get(unsent)?.[0]?.kind, 'cancelled');
  assert.equal(service.jobs.has(unsent), false);
  await w.run(script, 5000);
  quiet = false;
  await w.run(script, 20_000);
  assert.deepEqual(script.outcomes.get(id), [{ kind: 'cancelled', id }]);
  assert.equal(service.jobs.get(id)!.final, 'cancelled');
});

test('time that is over ends in a clear outcome that says what is known, and a later answer changes nothing', async () => {
  const service = new Service(60_000);
  const w = await world(service, (send, answer, back) => {
    if (send.call.path === '/work') return w.at(5000, () => back(answer()));
    w.at(10, () => back(answer()));
  });
  const script = await w.start();
  const late = script.submit('late', REQUEST, 2000);
  const never = script.submit('never', { ...REQUEST, team: 'nobody' }, 2000);
  const long = script.submit('long', REQUEST, 9000, 12_000);
  await w.run(script, 90_000);
  const a = script.outcomes.get(late)!;
  const b = script.outcomes.get(long)!;
  assert.deepEqual([a.length, b.length, script.outcomes.get(never)!.length], [1, 1, 1]);
  assert.ok(a[0]!.kind === 'gave-up' && a[0]!.accepted === null && a[0]!.resume.includes(late));
  assert.ok(b[0]!.kind === 'gave-up' && b[0]!.accepted === true && /running/.test(b[0]!.reason));
  const next = await w.start();
  await w.run(next, 70_000);
  for (const id of [late, long])
    assert.equal(next.outcomes.get(id)?.[0]?.kind, 'done', 'gone on with by the next');
  assert.equal(service.jobs.size, 2);
});

test('retries: Retry-After is obeyed, otherwise they spread, and an outage is not multiplied', async () => {
  assert.ok(backoffMs(1, 7, () => 0.5) >= 7000 && backoffMs(1, 7, () => 0.99) <= 7700);
  const spreads = [1, 2, 5, 9].map((n) => [backoffMs(n, null, () => 0), backoffMs(n, null, () => 1)]);
  assert.deepEqual(spreads, [
    [1000, 2000],
    [1000, 3000],
    [1000, 17_000],
    [1000, 31_000],
  ]);
  assert.deepEqual(['3', ' 5', 'soon', undefined, '-1'].map(retryAfterS), [3, 5, null, null, null]);
  const budget = new RetryBudget(2, 0.5, 3);
  assert.deepEqual(
    [0, 0, 0].map((t) => budget.take(t)),
    [0, 0, 0],
  );
  assert.equal(budget.take(0), 500);
  budget.earn();
  budget.earn();
  assert.equal(budget.take(0), 0);
  // Three hundred jobs and a service that refuses everything for two minutes.
  const service = new Service(1000);
  const w = await world(service, (_s, answer, back) =>
    w.at(20, () => back(w.clock.now < 120_000 ? sentBack(503, null) : answer())),
  );
  const script = await w.start();
  for (let n = 0; n < 300; n++) script.submit(`j${n}`);
  await w.run(script, 120_000);
  const during = script.sends.length;
  assert.ok(during >= 300 && during <= 300 + 50 + 5 * 121, `${during} requests`);
  await w.run(script, 200_000);
  assert.equal([...script.outcomes.values()].filter((o) => o[0]!.kind === 'done').length, 300);
});

test('a node that does not answer is left for a while, longer each time, and tried with one request', () => {
  const h = new Health(['a', 'b'], 10, () => 0.5);
  assert.deepEqual([h.take(0), h.take(0)].sort(), ['a', 'b']);
  for (let i = 0; i < 3; i++) h.take(0, 'b');
  for (let i = 0; i < 4; i++) h.failed('a', 100);
  const back = h.nextAt(100)!;
  assert.ok(back > 100 && back <= 600, 'requests that were open together are one failure');
  assert.equal(h.take(back - 1), 'b');
  assert.equal(h.take(back), 'a', 'tried as soon as it may');
  assert.equal(h.take(back), 'b', 'by one request only');
  h.failed('a', back + 1000);
  assert.ok(h.nextAt(back + 1000)! - (back + 1000) > 500);
  const again = h.nextAt(back + 1000)!;
  assert.equal(h.take(again), 'a');
  h.answered('a');
  assert.deepEqual([h.take(again, 'b'), h.take(again, 'b')], ['a', 'a']);
});

test('a request that cannot be right is refused before anything is sent, with the name that its caller used', () => {
  assert.throws(() => bodyOf('run-1', { ...REQUEST, imageGb: -1 }), /^BadRequest: imageGb must be a number/);
  assert.throws(() => bodyOf('run-1', { ...REQUEST, tasks: 0 }), /tasks must be a whole number/);
  assert.throws(
    () => bodyOf('run-1', { ...REQUEST, prioritty: 'urgent' } as never),
    /prioritty: there is no such field/,
  );
  assert.throws(() => bodyOf('job 1', REQUEST), /a job id looks like/);
  const chain = new Map([
    ['c', ['b']],
    ['a', []],
    ['b', ['a']],
  ] as [string, string[]][]);
  assert.deepEqual(inOrder(chain), ['a', 'b', 'c']);
  assert.throws(
    () =>
      inOrder(
        new Map([
          ['a', ['c']],
          ['b', ['a']],
          ['c', ['b']],
        ]),
      ),
    /a -> c -> b -> a/,
  );
  assert.throws(() => inOrder(new Map([['a', ['x']]])), /a awaits x, which is not in the pipeline/);
});
