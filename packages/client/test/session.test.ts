// One outcome a job, and the one that the service settled on, whatever happens to script, nodes and messages.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { seededRandom } from '../../../src/runtime/random.ts';
import { inOrder } from '../src/dependency-order.ts';
import { NodeHealth } from '../src/node-health.ts';
import { bodyOf } from '../src/request.ts';
import { backoffMs, RetryBudget, retryAfterS } from '../src/retry-policy.ts';
import type { ServiceResponse } from '../src/session-messages.ts';
import type { Outcome } from '../src/types.ts';
import { FakeDisk, type Network, REQUEST, Script, Service, settle } from './support.ts';

const NODES = ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1'];
const TICK_MS = 50;
/** Longer than any test, in milliseconds. */
const LONG_MS = 400_000;

const randomOf = (seed: number): (() => number) => {
  const random = seededRandom(seed);
  return () => random.below(1 << 20) / (1 << 20);
};

const errorResponse = (status: number, retryAfter: number | null): ServiceResponse => ({
  status,
  body: '{"error":"come again"}',
  retryAfterS: retryAfter,
});

/** Scripts on a network that the test describes, with responses that come when the clock has got there. */
class TestWorld {
  readonly clock = { now: 0 };
  readonly disk = new FakeDisk();
  private readonly timers: { at: number; run: () => void }[] = [];

  constructor(
    readonly service: Service,
    private readonly network: Network,
    private readonly seed = 1,
  ) {}

  /** Calls `run` in so many milliseconds. */
  after(ms: number, run: () => void): void {
    this.timers.push({ at: this.clock.now + ms, run });
  }

  /** A process of the script, on the one disk. */
  start(): Promise<Script> {
    const script = new Script(this.clock, this.service, this.network);
    return script.start(this.disk, NODES, randomOf(this.seed));
  }

  /** Lets the script run for so many milliseconds. */
  async run(script: Script, ms: number): Promise<void> {
    const end = this.clock.now + ms;
    while (this.clock.now < end) {
      this.clock.now += TICK_MS;
      const due = this.timers.filter((timer) => timer.at <= this.clock.now);
      for (const timer of due) {
        this.timers.splice(this.timers.indexOf(timer), 1);
        timer.run();
      }
      script.wake();
      await settle();
    }
  }
}

/** A network that loses, delays and refuses a part `faultRate` of the requests. */
function faultyNetwork(world: () => TestWorld, random: () => number, faultRate: number): Network {
  return (send, answer, respond) => {
    const draw = random();
    const delayMs = Math.floor(random() * 400);
    if (draw < faultRate / 4) return world().after(delayMs, () => respond(null));
    if (draw < faultRate / 2) {
      // It arrives, perhaps after its sender has given it up; the response is lost.
      world().after(Math.floor(random() * 9000), () => answer());
      return world().after(send.timeoutMs, () => respond(null));
    }
    if (draw < faultRate) {
      const status = draw < 0.3 ? 503 : 429;
      return world().after(delayMs, () => respond(errorResponse(status, random() < 0.5 ? 1 : null)));
    }
    world().after(delayMs, () => {
      const response = answer();
      world().after(delayMs, () => respond(response));
    });
  };
}

/** A random history of one script: jobs, cancellations, kills and faults of the network. */
interface History {
  seed: number;
  jobs: number;
  /** Milliseconds from each start to the next kill. */
  kills: number[];
  faultRate: number;
}

/** Runs a history to its end, and checks that each job has one outcome, the one of the service. */
class HistoryCheck {
  private readonly service = new Service(4000);
  private readonly world: TestWorld;
  private readonly random: () => number;
  private readonly published = new Map<string, Outcome>();

  constructor(private readonly history: History) {
    this.random = randomOf(history.seed);
    const network = faultyNetwork(() => this.world, this.random, history.faultRate);
    this.world = new TestWorld(this.service, network, history.seed);
  }

  async run(): Promise<void> {
    let script = await this.startScript();
    for (const killAfterMs of this.history.kills) {
      await this.world.run(script, killAfterMs);
      this.collectOutcomes(script);
      script.kill();
      this.world.disk.crash(Math.floor(this.random() * 60));
      script = await this.startScript();
    }
    await this.world.run(script, LONG_MS);
    this.collectOutcomes(script);
    this.checkJobs(script);
  }

  private async startScript(): Promise<Script> {
    const script = await this.world.start();
    for (let n = 0; n < this.history.jobs; n++) {
      const id = script.submit(`job-${n}`, n === 3 ? { ...REQUEST, team: 'nobody' } : REQUEST);
      // Before it is sent, while it is under way, or after it has ended.
      if (n % 3 === 1)
        this.world.after((this.history.seed & 7) * 350, () => script.step({ kind: 'cancel', id }));
    }
    return script;
  }

  private collectOutcomes(script: Script): void {
    for (const [id, outcomes] of script.outcomes) {
      assert.equal(outcomes.length, 1, `${id} had two outcomes`);
      const before = this.published.get(id);
      if (before !== undefined) assert.deepEqual(outcomes[0], before);
      this.published.set(id, outcomes[0]!);
    }
  }

  private checkJobs(script: Script): void {
    const ids = new Map(script.journal.all().map((job) => [job.key!, job.id]));
    assert.equal(ids.size, this.history.jobs);
    assert.equal(script.session.open, 0);
    for (const [key, id] of ids) this.checkOutcome(key, id, script.journal.get(id)!.outcome!);
    for (const id of this.service.jobs.keys())
      assert.ok([...ids.values()].includes(id), 'a job nobody knows of');
  }

  private checkOutcome(key: string, id: string, outcome: Outcome): void {
    if (this.published.has(id)) assert.deepEqual(outcome, this.published.get(id));
    const job = this.service.jobs.get(id);
    if (key === 'job-3')
      assert.deepEqual(
        [outcome.kind, job],
        [outcome.kind === 'cancelled' ? 'cancelled' : 'refused', undefined],
      );
    else if (job === undefined) assert.equal(outcome.kind, 'cancelled', 'never sent');
    else assert.equal(outcome.kind, job.final, key);
  }
}

describe('Session', () => {
  it('gives each job one outcome over lost and late messages, refusals, cancellations, kills and restarts of the script', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer(),
        fc.integer({ min: 1, max: 8 }),
        fc.array(fc.integer({ min: 100, max: 6000 }), { maxLength: 4 }),
        fc.double({ min: 0, max: 0.6, noNaN: true }),
        (seed, jobs, kills, faultRate) => new HistoryCheck({ seed, jobs, kills, faultRate }).run(),
      ),
      { numRuns: 25, seed: 7 },
    );
  });

  it('sends nothing before it is on disk: a power failure at once leaves no job that the script does not know', async () => {
    const service = new Service(1000);
    const world = new TestWorld(service, (_send, answer, respond) => respond(answer()));
    const script = await world.start();
    script.submit('a');
    assert.equal(script.sends.length, 0);
    script.kill();
    world.disk.crash();
    const next = await world.start();
    const id = next.submit('a');
    await world.run(next, 3000);
    assert.deepEqual([...service.jobs.keys()], [id]);
    assert.equal(next.outcomes.get(id)?.[0]?.kind, 'done');
  });

  it('ends a cancellation that races a completion with what the service settled on, once', async () => {
    for (const first of ['done', 'cancelled'] as const) {
      const service = new Service(4000);
      const world: TestWorld = new TestWorld(service, ({ call }, answer, respond) => {
        // The response to a poll from before the cancellation comes after the response to the cancellation.
        const submitOrCancelMs = call.path === '/work' ? 50 : 1200;
        world.after(call.method === 'GET' ? 900 : submitOrCancelMs, () => respond(answer()));
      });
      const script = await world.start();
      const id = script.submit('a');
      await world.run(script, first === 'done' ? 4020 : 1300);
      script.step({ kind: 'cancel', id });
      await world.run(script, 6000);
      assert.deepEqual(script.outcomes.get(id), [{ kind: first, id }]);
      assert.equal(service.jobs.get(id)!.final, first);
      assert.equal(script.sends.filter(({ call }) => call.path.endsWith('/abort')).length, 1);
      assert.deepEqual(
        script.states.filter((state) => state !== 'running'),
        [first],
        'an older answer replaces no newer one',
      );
    }
  });

  it('settles a submission that may have arrived before it cancels it, and just ends one that was never sent', async () => {
    const service = new Service(60_000);
    let silent = true;
    const world: TestWorld = new TestWorld(service, (send, answer, respond) => {
      if (silent) world.after(send.timeoutMs + 2000, () => answer());
      world.after(silent ? send.timeoutMs : 50, () => respond(silent ? null : answer()));
    });
    const script = await world.start();
    const id = script.submit('a');
    await world.run(script, 100);
    script.step({ kind: 'cancel', id });
    const unsent = script.submit('b');
    script.step({ kind: 'cancel', id: unsent });
    await world.run(script, 1000);
    assert.equal(script.outcomes.get(unsent)?.[0]?.kind, 'cancelled');
    assert.equal(service.jobs.has(unsent), false);
    await world.run(script, 5000);
    silent = false;
    await world.run(script, 20_000);
    assert.deepEqual(script.outcomes.get(id), [{ kind: 'cancelled', id }]);
    assert.equal(service.jobs.get(id)!.final, 'cancelled');
  });

  it('gives up at the deadline with an outcome that says what is known, which a later answer does not change', async () => {
    const service = new Service(60_000);
    const world: TestWorld = new TestWorld(service, (send, answer, respond) => {
      if (send.call.path === '/work') return world.after(5000, () => respond(answer()));
      world.after(10, () => respond(answer()));
    });
    const script = await world.start();
    const late = script.submit('late', REQUEST, 2000);
    const never = script.submit('never', { ...REQUEST, team: 'nobody' }, 2000);
    const long = script.submit('long', REQUEST, 9000, 12_000);
    await world.run(script, 90_000);
    const lateOutcomes = script.outcomes.get(late)!;
    const longOutcomes = script.outcomes.get(long)!;
    assert.deepEqual(
      [lateOutcomes.length, longOutcomes.length, script.outcomes.get(never)!.length],
      [1, 1, 1],
    );
    const lateOutcome = lateOutcomes[0]!;
    const longOutcome = longOutcomes[0]!;
    assert.ok(lateOutcome.kind === 'gave-up' && lateOutcome.accepted === null);
    assert.ok(lateOutcome.resume.includes(late));
    assert.ok(longOutcome.kind === 'gave-up' && longOutcome.accepted === true);
    assert.ok(/running/.test(longOutcome.reason));
    const next = await world.start();
    await world.run(next, 70_000);
    for (const id of [late, long])
      assert.equal(next.outcomes.get(id)?.[0]?.kind, 'done', 'resumed by the next process');
    assert.equal(service.jobs.size, 2);
  });

  it('obeys Retry-After, otherwise spreads its retries, and does not multiply an outage', async () => {
    assert.ok(backoffMs(1, 7, () => 0.5) >= 7000 && backoffMs(1, 7, () => 0.99) <= 7700);
    const ranges = [1, 2, 5, 9].map((attempts) => [
      backoffMs(attempts, null, () => 0),
      backoffMs(attempts, null, () => 1),
    ]);
    assert.deepEqual(ranges, [
      [1000, 2000],
      [1000, 3000],
      [1000, 17_000],
      [1000, 31_000],
    ]);
    assert.deepEqual(['3', ' 5', 'soon', undefined, '-1'].map(retryAfterS), [3, 5, null, null, null]);
    const budget = new RetryBudget({ perSecond: 2, perSuccess: 0.5, maxSaved: 3 });
    assert.deepEqual(
      [0, 0, 0].map((now) => budget.take(now)),
      [0, 0, 0],
    );
    assert.equal(budget.take(0), 500);
    budget.recordSuccess();
    budget.recordSuccess();
    assert.equal(budget.take(0), 0);
    // Three hundred jobs and a service that refuses everything for two minutes.
    const service = new Service(1000);
    const world: TestWorld = new TestWorld(service, (_send, answer, respond) =>
      world.after(20, () => respond(world.clock.now < 120_000 ? errorResponse(503, null) : answer())),
    );
    const script = await world.start();
    for (let n = 0; n < 300; n++) script.submit(`j${n}`);
    await world.run(script, 120_000);
    const during = script.sends.length;
    assert.ok(during >= 300 && during <= 300 + 50 + 5 * 121, `${during} requests`);
    await world.run(script, 200_000);
    const outcomes = [...script.outcomes.values()];
    assert.equal(outcomes.filter(([outcome]) => outcome!.kind === 'done').length, 300);
  });
});

describe('NodeHealth', () => {
  it('avoids a node that does not answer, longer each time, and probes it with one request', () => {
    const health = new NodeHealth(['a', 'b'], 10, () => 0.5);
    assert.deepEqual([health.acquire(0), health.acquire(0)].sort(), ['a', 'b']);
    for (let i = 0; i < 3; i++) health.acquire(0, 'b');
    for (let i = 0; i < 4; i++) health.recordFailure('a', 100);
    const availableAt = health.nextAvailableAt(100)!;
    assert.ok(availableAt > 100 && availableAt <= 600, 'requests that were open together are one failure');
    assert.equal(health.acquire(availableAt - 1), 'b');
    assert.equal(health.acquire(availableAt), 'a', 'probed as soon as it may be');
    assert.equal(health.acquire(availableAt), 'b', 'by one request only');
    health.recordFailure('a', availableAt + 1000);
    assert.ok(health.nextAvailableAt(availableAt + 1000)! - (availableAt + 1000) > 500);
    const nextProbeAt = health.nextAvailableAt(availableAt + 1000)!;
    assert.equal(health.acquire(nextProbeAt), 'a');
    health.recordAnswer('a');
    assert.deepEqual([health.acquire(nextProbeAt, 'b'), health.acquire(nextProbeAt, 'b')], ['a', 'a']);
  });
});

describe('A request', () => {
  it('that cannot be right is refused before anything is sent, with the name that its caller used', () => {
    assert.throws(
      () => bodyOf('run-1', { ...REQUEST, imageGb: -1 }),
      /^BadRequest: imageGb must be a number/,
    );
    assert.throws(() => bodyOf('run-1', { ...REQUEST, tasks: 0 }), /tasks must be a whole number/);
    assert.throws(
      () => bodyOf('run-1', { ...REQUEST, prioritty: 'urgent' } as never),
      /prioritty: there is no such field/,
    );
    assert.throws(() => bodyOf('job 1', REQUEST), /a job id looks like/);
    const chain = new Map<string, string[]>([
      ['c', ['b']],
      ['a', []],
      ['b', ['a']],
    ]);
    assert.deepEqual(inOrder(chain), ['a', 'b', 'c']);
    const cycle = new Map([
      ['a', ['c']],
      ['b', ['a']],
      ['c', ['b']],
    ]);
    assert.throws(() => inOrder(cycle), /a -> c -> b -> a/);
    assert.throws(() => inOrder(new Map([['a', ['x']]])), /a awaits x, which is not in the pipeline/);
  });
});
