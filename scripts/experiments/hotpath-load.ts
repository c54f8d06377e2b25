// The load that `hotpath` puts on a core: machines, a store and users on a simulated clock, as plain as can
// be, so that what is measured is the core. Only time spent in it and in the codecs beside it is counted.
import { defaults, schedulerOptions } from '../../src/cli/options.ts';
import type { Effect, Input, Random } from '../../src/core/base/io.ts';
import type { Settings, StoreReply, Team } from '../../src/core/base/model.ts';
import type { Controller } from '../../src/core/controller.ts';
import type { NodeId, TeamName, ZoneName } from '../../src/types/index.ts';
import { EventQueue } from '../../test/support/event-queue.ts';
import type { Figures, Kind, Lib } from './hotpath-lib.ts';
import { HEARTBEAT_INTERVAL_MS, LoadMachines, type MachineEnvironment } from './hotpath-machines.ts';
import { LoadStore, type StoreEnvironment, storeInput } from './hotpath-store.ts';
import { InputTimer } from './hotpath-timer.ts';
import { LoadUsers } from './hotpath-users.ts';

const WALL_CLOCK_START_MS = 1e12;
const TICK_MS = 100;
const STORE_MS = 4;
const CLOUD_MS = 40;
const PROBE_MS = 2;
/** Before work arrives, and until machines run and work is spread over them. */
const START_MS = 2000;
const WARM_UP_MS = 50_000;
const TAKEOVER_MAX_MS = 60_000;
const TAKEOVER_LOOK_MS = 100;
/** The leader's key, on the wire's terms. */
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

/** Loads one controller, which leads, and then the one that takes over from it. */
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
    readonly lib: Lib,
    private readonly machines: number,
  ) {
    this.random = lib.seededRandom(7);
    this.cloudMachines = new LoadMachines(this, machines);
    this.timer.timeMethod(lib.Scheduler.prototype, 'runCycle', 'pass');
    this.timer.timeMethod(lib.Autoscaler.prototype, 'tick', 'plan');
    this.controller = this.start('n-0');
  }

  /** Measures so many simulated seconds, and then a takeover. */
  day(seconds: number): Figures {
    const { timer } = this;
    this.run(START_MS);
    this.users.begin(this.machines);
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

  // ---- for store, machines and users

  at(ms: number, run: () => void): void {
    this.events.add(ms, run);
  }

  newRequest(onResponse: (response: never) => void): number {
    this.pendingResponses.set(this.nextRequestId, onResponse);
    return this.nextRequestId++;
  }

  input(input: Input, kind: Kind): void {
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
    const controller = new this.lib.Controller(
      settingsFor(node),
      schedulerOptions(defaults(), HEARTBEAT_INTERVAL_MS / 1000),
      this.lib.seededRandom(3),
    );
    const tick = (): void => {
      if (!this.isCurrent(controller)) return;
      this.step(controller, { kind: 'tick' }, 'tick');
      this.at(this.now + TICK_MS, tick);
    };
    this.at(this.now, tick);
    return controller;
  }

  private step(controller: Controller, input: Input, kind: Kind): void {
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
    const { timer, lib } = this;
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
        timer.timeCodec('submit', () => lib.encodeUserResponse(effect.response));
        return this.respond(effect.requestId, effect.response);
      case 'heartbeat-response': {
        const response = timer.timeCodec('report', () => lib.encodeHeartbeatResponse(effect.response));
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

  /** The leader is gone, and its key with it; a new controller takes over. */
  private takeOver(): { takeoverMs: number; takeoverS: number } {
    const { timer } = this;
    this.store.expire(LEADER_KEY);
    this.pendingResponses.clear();
    this.cloudMachines.loseLeader();
    timer.resetTimes();
    this.controller = this.start('n-1');
    const began = this.now;
    timer.isMeasuring = true;
    while (!this.hasTakenOver() && this.now - began < TAKEOVER_MAX_MS) this.run(TAKEOVER_LOOK_MS);
    timer.isMeasuring = false;
    return { takeoverMs: timer.totalUs() / 1000, takeoverS: (this.now - began) / 1000 };
  }

  private hasTakenOver(): boolean {
    return this.controller.leaderTerm?.failover.isComplete === true;
  }
}
