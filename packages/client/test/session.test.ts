// Tests that each job gets exactly one outcome, the one that the service decided, despite kills of the
// script, failures of nodes and lost or late messages.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { seededRandom } from '../../../src/runtime/random.ts';
import { topologicalOrder } from '../src/dependency-order.ts';
import { NodeHealth } from '../src/node-health.ts';
import { bodyOf } from '../src/request.ts';
import { backoffMs, parseRetryAfterS, RetryBudget } from '../src/retry-policy.ts';
import type { ServiceResponse } from '../src/session-messages.ts';
import type { Outcome } from '../src/types.ts';
import { FakeDisk, type Network, REQUEST, Script, Service, waitForWrites } from './support.ts';

const NODES = ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1'];
const TICK_MS = 50;
/** Time after which every job has ended, in milliseconds. */
const SETTLE_MS = 400_000;

const seededRandomNumbers = (seed: number): (() => number) => {
  const random = seededRandom(seed);
  return () => random.below(1 << 20) / (1 << 20);
};

const errorResponse = (status: number, retryAfter: number | null): ServiceResponse => ({
  status,
  body: '{"error":"come again"}',
  retryAfterS: retryAfter,
});

/** Runs scripts on a simulated clock, service and network; responses arrive at simulated times. */
class Simulation {
  readonly clock = { now: 0 };
  readonly disk = new FakeDisk();
  private readonly timers: { at: number; run: () => void }[] = [];

  constructor(
    readonly service: Service,
    private readonly network: Network,
    private readonly seed = 1,
  ) {}

  /** Calls `run` after `delayMs` milliseconds. */
  after(delayMs: number, run: () => void): void {
    this.timers.push({ at: this.clock.now + delayMs, run });
  }

  /** Starts a process of the script; all processes share one disk. */
  start(): Promise<Script> {
    const script = new Script(this.clock, this.service, this.network);
    return script.start(this.disk, NODES, seededRandomNumbers(this.seed));
  }

  /** Advances the clock by `durationMs` while the script runs. */
  async run(script: Script, durationMs: number): Promise<void> {
    const end = this.clock.now + durationMs;
    while (this.clock.now < end) {
      this.clock.now += TICK_MS;
      const due = this.timers.filter((timer) => timer.at <= this.clock.now);
      for (const timer of due) {
        this.timers.splice(this.timers.indexOf(timer), 1);
        timer.run();
      }
      script.wake();
      await waitForWrites();
    }
  }
}

/** A network that loses, delays or refuses the fraction `faultRate` of the requests. */
function faultyNetwork(simulation: () => Simulation, random: () => number, faultRate: number): Network {
  return (send, answer, respond) => {
    const draw = random();
    const delayMs = Math.floor(random() * 400);
    if (draw < faultRate / 4) return simulation().after(delayMs, () => respond(null));
    if (draw < faultRate / 2) {
      // The request arrives, perhaps after its time-out; the response is lost.
      simulation().after(Math.floor(random() * 9000), () => answer());
      return simulation().after(send.timeoutMs, () => respond(null));
    }
    if (draw < faultRate) {
      const status = draw < 0.3 ? 503 : 429;
      return simulation().after(delayMs, () => respond(errorResponse(status, random() < 0.5 ? 1 : null)));
    }
    simulation().after(delayMs, () => {
      const response = answer();
      simulation().after(delayMs, () => respond(response));
    });
  };
}

/** Parameters of a random history of one script: jobs, kills and network faults. */
interface History {
  seed: number;
  jobs: number;
  /** For each kill, milliseconds from the start of the process. */
  kills: number[];
  faultRate: number;
}

/** Runs a history and checks that each job has exactly one outcome, which agrees with the service. */
class HistoryCheck {
  private readonly service = new Service(4000);
  private readonly simulation: Simulation;
  private readonly random: () => number;
  private readonly publishedOutcomes = new Map<string, Outcome>();

  constructor(private readonly history: History) {
    this.random = seededRandomNumbers(history.seed);
    const network = faultyNetwork(() => this.simulation, this.random, history.faultRate);
    this.simulation = new Simulation(this.service, network, history.seed);
  }

  async run(): Promise<void> {
    let script = await this.startScript();
    for (const killAfterMs of this.history.kills) {
      await this.simulation.run(script, killAfterMs);
      this.collectOutcomes(script);
      script.kill();
      this.simulation.disk.crash(Math.floor(this.random() * 60));
      script = await this.startScript();
    }
    await this.simulation.run(script, SETTLE_MS);
    this.collectOutcomes(script);
    this.checkJobs(script);
  }

  private async startScript(): Promise<Script> {
    const script = await this.simulation.start();
    for (let n = 0; n < this.history.jobs; n++) {
      const id = script.submit(`job-${n}`, n === 3 ? { ...REQUEST, team: 'nobody' } : REQUEST);
      // Depending on the seed, the cancellation comes before the job is sent, while it runs or after its end.
      if (n % 3 === 1)
        this.simulation.after((this.history.seed & 7) * 350, () => script.step({ kind: 'cancel', id }));
    }
    return script;
  }

  private collectOutcomes(script: Script): void {
    for (const [id, outcomes] of script.outcomes) {
      assert.equal(outcomes.length, 1, `${id} had ${outcomes.length} outcomes`);
      const previous = this.publishedOutcomes.get(id);
      if (previous !== undefined) assert.deepEqual(outcomes[0], previous);
      this.publishedOutcomes.set(id, outcomes[0]!);
    }
  }

  private checkJobs(script: Script): void {
    const ids = new Map(script.journal.all().map((job) => [job.key!, job.id]));
    assert.equal(ids.size, this.history.jobs);
    assert.equal(script.session.open, 0);
    for (const [key, id] of ids) this.checkOutcome(key, id, script.journal.get(id)!.outcome!);
    for (const id of this.service.jobs.keys())
      assert.ok([...ids.values()].includes(id), `the service has the job ${id}, which is not in the journal`);
  }

  private checkOutcome(key: string, id: string, outcome: Outcome): void {
    if (this.publishedOutcomes.has(id)) assert.deepEqual(outcome, this.publishedOutcomes.get(id));
    const job = this.service.jobs.get(id);
    if (key === 'job-3')
      assert.deepEqual(
        [outcome.kind, job],
        [outcome.kind === 'cancelled' ? 'cancelled' : 'refused', undefined],
      );
    else if (job === undefined) assert.equal(outcome.kind, 'cancelled', `${key} was never sent`);
    else assert.equal(outcome.kind, job.final, key);
  }
}

describe('Session', () => {
  it('gives each job one outcome despite lost and late messages, refusals, cancellations, kills and restarts', async () => {
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

  it('sends a job only after it is on disk, so that no job at the service is missing from the journal after a crash', async () => {
    const service = new Service(1000);
    const simulation = new Simulation(service, (_send, answer, respond) => respond(answer()));
    const script = await simulation.start();
    script.submit('a');
    assert.equal(script.sends.length, 0);
    script.kill();
    simulation.disk.crash();
    const next = await simulation.start();
    const id = next.submit('a');
    await simulation.run(next, 3000);
    assert.deepEqual([...service.jobs.keys()], [id]);
    assert.equal(next.outcomes.get(id)?.[0]?.kind, 'done');
  });

  it('ends a cancellation that races a completion with exactly one outcome, the one of the service', async () => {
    for (const expectedKind of ['done', 'cancelled'] as const) {
      const service = new Service(4000);
      const simulation: Simulation = new Simulation(service, ({ call }, answer, respond) => {
        // The response to a status poll sent before the cancellation arrives after that to the cancellation.
        const submitOrCancelMs = call.path === '/work' ? 50 : 1200;
        simulation.after(call.method === 'GET' ? 900 : submitOrCancelMs, () => respond(answer()));
      });
      const script = await simulation.start();
      const id = script.submit('a');
      await simulation.run(script, expectedKind === 'done' ? 4020 : 1300);
      script.step({ kind: 'cancel', id });
      await simulation.run(script, 6000);
      assert.deepEqual(script.outcomes.get(id), [{ kind: expectedKind, id }]);
      assert.equal(service.jobs.get(id)!.final, expectedKind);
      assert.equal(script.sends.filter(({ call }) => call.path.endsWith('/abort')).length, 1);
      assert.deepEqual(
        script.states.filter((state) => state !== 'running'),
        [expectedKind],
        'an older response must not replace a newer one',
      );
    }
  });

  it('resends a submission that may have arrived before cancelling it, and ends an unsent one without a request', async () => {
    const service = new Service(60_000);
    let isUnresponsive = true;
    const simulation: Simulation = new Simulation(service, (send, answer, respond) => {
      if (isUnresponsive) simulation.after(send.timeoutMs + 2000, () => answer());
      simulation.after(isUnresponsive ? send.timeoutMs : 50, () => respond(isUnresponsive ? null : answer()));
    });
    const script = await simulation.start();
    const id = script.submit('a');
    await simulation.run(script, 100);
    script.step({ kind: 'cancel', id });
    const unsent = script.submit('b');
    script.step({ kind: 'cancel', id: unsent });
    await simulation.run(script, 1000);
    assert.equal(script.outcomes.get(unsent)?.[0]?.kind, 'cancelled');
    assert.equal(service.jobs.has(unsent), false);
    await simulation.run(script, 5000);
    isUnresponsive = false;
    await simulation.run(script, 20_000);
    assert.deepEqual(script.outcomes.get(id), [{ kind: 'cancelled', id }]);
    assert.equal(service.jobs.get(id)!.final, 'cancelled');
  });

  it('gives a job up at its deadline with an outcome that a later response does not change', async () => {
    const service = new Service(60_000);
    const simulation: Simulation = new Simulation(service, (send, answer, respond) => {
      if (send.call.path === '/work') return simulation.after(5000, () => respond(answer()));
      simulation.after(10, () => respond(answer()));
    });
    const script = await simulation.start();
    const late = script.submit('late', REQUEST, 2000);
    const never = script.submit('never', { ...REQUEST, team: 'nobody' }, 2000);
    const long = script.submit('long', REQUEST, 9000, 12_000);
    await simulation.run(script, 90_000);
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
    const next = await simulation.start();
    await simulation.run(next, 70_000);
    for (const id of [late, long])
      assert.equal(next.outcomes.get(id)?.[0]?.kind, 'done', 'the next process must resume the job');
    assert.equal(service.jobs.size, 2);
  });

  it('obeys Retry-After, randomizes other delays and limits retries during an outage', async () => {
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
    assert.deepEqual(['3', ' 5', 'soon', undefined, '-1'].map(parseRetryAfterS), [3, 5, null, null, null]);
    const budget = new RetryBudget({ perSecond: 2, perSuccess: 0.5, capacity: 3 });
    assert.deepEqual(
      [0, 0, 0].map((now) => budget.take(now)),
      [0, 0, 0],
    );
    assert.equal(budget.take(0), 500);
    budget.recordSuccess();
    budget.recordSuccess();
    assert.equal(budget.take(0), 0);
    // The service refuses all requests of 300 jobs for two minutes.
    const service = new Service(1000);
    const simulation: Simulation = new Simulation(service, (_send, answer, respond) =>
      simulation.after(20, () =>
        respond(simulation.clock.now < 120_000 ? errorResponse(503, null) : answer()),
      ),
    );
    const script = await simulation.start();
    for (let n = 0; n < 300; n++) script.submit(`j${n}`);
    await simulation.run(script, 120_000);
    const sentDuringOutage = script.sends.length;
    assert.ok(
      sentDuringOutage >= 300 && sentDuringOutage <= 300 + 50 + 5 * 121,
      `${sentDuringOutage} requests`,
    );
    await simulation.run(script, 200_000);
    const outcomes = [...script.outcomes.values()];
    assert.equal(outcomes.filter(([outcome]) => outcome!.kind === 'done').length, 300);
  });
});

describe('NodeHealth', () => {
  it('avoids a failed node for longer after each failure, and probes it with one request', () => {
    const health = new NodeHealth(['a', 'b'], 10, () => 0.5);
    assert.deepEqual([health.acquire(0), health.acquire(0)].sort(), ['a', 'b']);
    for (let i = 0; i < 3; i++) health.acquire(0, 'b');
    for (let i = 0; i < 4; i++) health.recordFailure('a', 100);
    const availableAt = health.nextAvailableAt(100)!;
    assert.ok(availableAt > 100 && availableAt <= 600, 'concurrent requests that fail count as one failure');
    assert.equal(health.acquire(availableAt - 1), 'b');
    assert.equal(health.acquire(availableAt), 'a', 'the node is probed as soon as its avoid period ends');
    assert.equal(health.acquire(availableAt), 'b', 'only one request probes the node');
    health.recordFailure('a', availableAt + 1000);
    assert.ok(health.nextAvailableAt(availableAt + 1000)! - (availableAt + 1000) > 500);
    const nextProbeAt = health.nextAvailableAt(availableAt + 1000)!;
    assert.equal(health.acquire(nextProbeAt), 'a');
    health.recordResponse('a');
    assert.deepEqual([health.acquire(nextProbeAt, 'b'), health.acquire(nextProbeAt, 'b')], ['a', 'a']);
  });
});

describe('Request validation', () => {
  it('rejects invalid requests before anything is sent and names the field as the caller does', () => {
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
    const dependencyChain = new Map<string, string[]>([
      ['c', ['b']],
      ['a', []],
      ['b', ['a']],
    ]);
    assert.deepEqual(topologicalOrder(dependencyChain), ['a', 'b', 'c']);
    const dependencyCycle = new Map([
      ['a', ['c']],
      ['b', ['a']],
      ['c', ['b']],
    ]);
    assert.throws(() => topologicalOrder(dependencyCycle), /a -> c -> b -> a/);
    assert.throws(
      () => topologicalOrder(new Map([['a', ['x']]])),
      /a awaits x, which is not in the pipeline/,
    );
  });
});
