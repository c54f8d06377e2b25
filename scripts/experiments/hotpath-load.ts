// Generates the load of the experiment `hotpath`: machines, a key-value store and users on a simulated clock.
// They are minimal, so that the core dominates the run. Only time spent in the core and in its codecs is
// counted.
import { defaults, schedulerOptions } from '../../src/cli/options.ts';
import type { Effect, Input, Random } from '../../src/core/base/io.ts';
import type { Settings, StoreReply, Team } from '../../src/core/base/model.ts';
import type { Controller } from '../../src/core/controller.ts';
import type { NodeId, TeamName, ZoneName } from '../../src/types/index.ts';
import { EventQueue } from '../../test/support/event-queue.ts';
import type { Figures, InputKind, Library } from './hotpath-lib.ts';
import { HEARTBEAT_INTERVAL_MS, LoadMachines, type MachineEnvironment } from './hotpath-machines.ts';
import { LoadStore, type StoreEnvironment, storeInput } from './hotpath-store.ts';
import { InputTimer } from './hotpath-timer.ts';
import { LoadUsers } from './hotpath-users.ts';

const WALL_CLOCK_START_MS = 1e12;
const TICK_MS = 100;
const STORE_MS = 4;
const CLOUD_MS = 40;
const PROBE_MS = 2;
/** Time for the controller to become the leader, before jobs arrive. */
const ELECTION_MS = 2000;
/** Time until machines run and jobs are spread over them. */
const WARM_UP_MS = 50_000;
const TAKEOVER_MAX_MS = 60_000;
const TAKEOVER_POLL_INTERVAL_MS = 100;
/** The leader's key in the key-value store. */
const LEADER_KEY = 'share/0';

const team = (name: string): Team => ({
  name: name as TeamName,
  cpus: 0,
  cpusMax: 0,
  gpus: 0,
  gpusMax: 0,
});

const settingsFor = (node: string): Settings => ({
  node: node as NodeId,
  zone: 'east' as ZoneName,
  listen: '10.0.0.1:80',
  peerListen: '10.0.0.1:81',
  peers: [],
  cloudAddr: '10.0.0.9:1',
  storeAddr: '10.0.0.8:1',
  zones: ['east', 'west'] as ZoneName[],
  teams: [team('a'), team('b')],
  objectives: [{ kind: 'wait', class: 'joint', withinS: 20, share: 0.9, times: null }],
  workers: { heartbeatS: HEARTBEAT_INTERVAL_MS / 1000, leaseS: 24, gangWaitS: 35, gangPeerS: 8, cancelS: 49 },
  store: { requestsPerS: 1000, writesPerS: 600, maxValueKb: 8, maxTransactionOps: 24 },
  currentWritesPerS: 600,
  cloud: { requestsPerS: 50, listLagS: 1 },
  sockets: 10_000,
  ramMb: null,
});

/** Puts load on one controller, the leader, and then on its successor. */
export class Load implements MachineEnvironment, StoreEnvironment {
  /** The simulated time, in milliseconds. */
  now = 0;
  readonly timer = new InputTimer();
  readonly random: Random;
  private readonly events = new EventQueue();
  private readonly store = new LoadStore(this);
  private readonly cloudMachines: LoadMachines;
  private readonly users = new LoadUsers(this);
  private readonly pendingResponses = new Map<number, (response: never) => void>();
  private nextRequestId = 1;
  private controller: Controller;

  constructor(
    readonly library: Library,
    private readonly machines: number,
  ) {
    this.random = library.seededRandom(7);
    this.cloudMachines = new LoadMachines(this, machines);
    this.timer.timeMethod(library.Scheduler.prototype, 'runCycle', 'pass');
    this.timer.timeMethod(library.Autoscaler.prototype, 'tick', 'plan');
    this.controller = this.start('n-0');
  }

  /** Measures the given number of simulated seconds, and then a leader failover. */
  measure(seconds: number): Figures {
    const { timer } = this;
    this.run(ELECTION_MS);
    this.users.start(this.machines);
    this.run(WARM_UP_MS);
    timer.isMeasuring = true;
    this.run(seconds * 1000);
    timer.isMeasuring = false;
    const us = timer.usPerInput();
    const n = { ...timer.inputs };
    const { takeoverMs, takeoverS } = this.takeOver();
    globalThis.gc?.();
    return { us, n, takeoverMs, takeoverS, heapMb: process.memoryUsage().heapUsed / 1e6 };
  }

  // ---- interface for the store, the machines and the users

  at(ms: number, run: () => void): void {
    this.events.add(ms, run);
  }

  newRequest(onResponse: (response: never) => void): number {
    this.pendingResponses.set(this.nextRequestId, onResponse);
    return this.nextRequestId++;
  }

  input(input: Input, kind: InputKind): void {
    this.step(this.controller, input, kind);
  }

  reply(controller: Controller, tag: number, reply: StoreReply): void {
    if (this.isCurrent(controller)) this.step(controller, storeInput(tag, reply), 'write');
  }

  isCurrent(controller: Controller): boolean {
    return this.controller === controller;
  }

  // ---- the controller

  private start(node: string): Controller {
    const controller = new this.library.Controller(
      settingsFor(node),
      schedulerOptions(defaults(), HEARTBEAT_INTERVAL_MS / 1000),
      this.library.seededRandom(3),
    );
    const tick = (): void => {
      if (!this.isCurrent(controller)) return;
      this.step(controller, { kind: 'tick' }, 'tick');
      this.at(this.now + TICK_MS, tick);
    };
    this.at(this.now, tick);
    return controller;
  }

  private step(controller: Controller, input: Input, kind: InputKind): void {
    const now = this.now as never;
    const wallTime = (WALL_CLOCK_START_MS + this.now) as never;
    const effects = this.timer.timeInput(kind, () => controller.step(now, wallTime, input));
    for (const effect of effects) this.carryOut(controller, effect);
  }

  private inputLater(controller: Controller, delayMs: number, input: Input): void {
    this.at(this.now + delayMs, () => {
      if (this.isCurrent(controller)) this.step(controller, input, 'write');
    });
  }

  private carryOut(controller: Controller, effect: Effect): void {
    const { timer, library } = this;
    switch (effect.kind) {
      case 'store':
        return this.callStore(controller, effect);
      case 'cloud': {
        const reply = this.cloudMachines.serveCloud(effect.request);
        return this.inputLater(controller, CLOUD_MS, { kind: 'cloud', tag: effect.tag, reply });
      }
      case 'peer':
        return this.cloudMachines.forwardResponse(effect.message, (requestId, response) =>
          this.respond(requestId, response),
        );
      case 'probe':
        return this.inputLater(controller, PROBE_MS, {
          kind: 'worker',
          tag: effect.tag,
          reply: { kind: 'no-answer' },
        });
      case 'user-response':
        timer.timeCodec('submit', () => library.encodeUserResponse(effect.response));
        return this.respond(effect.requestId, effect.response);
      case 'heartbeat-response': {
        const response = timer.timeCodec('report', () => library.encodeHeartbeatResponse(effect.response));
        return this.respond(effect.requestId, response);
      }
    }
  }

  private callStore(controller: Controller, { request, tag }: Extract<Effect, { kind: 'store' }>): void {
    if (request.kind === 'watch') return this.store.watch(controller, tag, request);
    const reply = this.store.serve(request);
    this.inputLater(controller, STORE_MS, storeInput(tag, reply));
    this.store.notifyWatches();
  }

  private respond(requestId: number, response: unknown): void {
    const onResponse = this.pendingResponses.get(requestId);
    this.pendingResponses.delete(requestId);
    onResponse?.(response as never);
  }

  // ---- time

  private run(ms: number): void {
    const end = this.now + ms;
    let isOver = false;
    this.at(end, () => {
      isOver = true;
    });
    while (!isOver) {
      const event = this.events.next()!;
      this.now = Math.max(this.now, event.at);
      event.run();
    }
  }

  /** Removes the leader and its key, and measures how a new controller takes over. */
  private takeOver(): { takeoverMs: number; takeoverS: number } {
    const { timer } = this;
    this.store.expire(LEADER_KEY);
    this.pendingResponses.clear();
    this.cloudMachines.onLeaderLost();
    timer.resetTimes();
    this.controller = this.start('n-1');
    const startedAt = this.now;
    timer.isMeasuring = true;
    while (!this.hasTakenOver() && this.now - startedAt < TAKEOVER_MAX_MS)
      this.run(TAKEOVER_POLL_INTERVAL_MS);
    timer.isMeasuring = false;
    return { takeoverMs: timer.totalUs() / 1000, takeoverS: (this.now - startedAt) / 1000 };
  }

  private hasTakenOver(): boolean {
    return this.controller.leaderTerm?.failover.isComplete === true;
  }
}
