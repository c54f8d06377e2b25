// Runs one controller process: feeds the core with input from sockets and timers and executes its effects.
import type { Input } from '../core/base/io.ts';
import type { Settings } from '../core/base/model.ts';
import { Controller } from '../core/controller.ts';
import type { SchedulerOptions } from '../core/scheduling/scheduler.ts';
import { splitAddress } from '../http/address.ts';
import { serveHttp } from '../http/server.ts';
import { WorkQueue } from '../http/work-queue.ts';
import type { Instant, WallTime } from '../types/index.ts';
import { EffectExecutor } from './effect-executor.ts';
import { HeapGovernor } from './heap-governor.ts';
import { InvalidMessageLog } from './invalid-message-log.ts';
import type { Log } from './log.ts';
import { LoopDelay } from './loop-delay.ts';
import { PeerLinks } from './peer-links.ts';
import { PendingResponses } from './pending-responses.ts';
import { seededRandom } from './random.ts';
import { classifyRequest } from './request-class.ts';
import { maxBodyBytes, RequestRouter } from './request-router.ts';

const TICK_INTERVAL_MS = 100;
const REQUEST_TIMEOUT_MS = 10_000;
const IDLE_TIMEOUT_MS = 60_000;

/**
 * Connections accepted from users and workers use this fraction of the process's sockets, less the reserved
 * ones: the rest is for connections to other controllers, the store, the cloud and probed workers.
 */
const SERVED_SOCKETS_FRACTION = 0.85;
const RESERVED_SOCKETS = 40;
const MIN_CONNECTIONS = 16;

/** Options of a controller that are not in the settings file. */
export interface RunOptions {
  scheduler: SchedulerOptions;
  /** Seed of the core's random choices. */
  seed: number;
  log: Log;
}

/** A running controller; it serves until the process ends. */
export class ControllerProcess {
  private readonly core: Controller;
  private readonly log: Log;
  private readonly invalidMessages: InvalidMessageLog;
  private readonly queue = new WorkQueue();
  private readonly heap: HeapGovernor;
  private readonly responses = new PendingResponses();
  private readonly effects: EffectExecutor;
  private readonly loopDelay: LoopDelay;

  /** Starts the controller. */
  constructor(
    private readonly settings: Settings,
    { scheduler, seed, log }: RunOptions,
  ) {
    this.log = log;
    this.invalidMessages = new InvalidMessageLog(log);
    this.heap = new HeapGovernor(settings.ramMb);
    this.core = new Controller(settings, scheduler, seededRandom(seed));
    this.effects = new EffectExecutor({
      storeAddr: settings.storeAddr,
      cloudAddr: settings.cloudAddr,
      responses: this.responses,
      peers: this.connectPeers(),
      step: (input) => this.step(input),
      log,
      invalidMessages: this.invalidMessages,
    });
    this.listen();
    this.loopDelay = new LoopDelay(TICK_INTERVAL_MS, performance.now());
    setInterval(() => this.tick(), TICK_INTERVAL_MS);
    this.step({ kind: 'tick' });
  }

  private connectPeers(): PeerLinks {
    return new PeerLinks({
      settings: this.settings,
      listener: {
        up: (node) => this.step({ kind: 'peer-up', node }),
        down: (node) => this.step({ kind: 'peer-down', node }),
        message: (node, message) => this.step({ kind: 'peer', node, message }),
      },
      queue: this.queue,
      onError: (error) => this.log('error', 'cannot listen on the peer address', { error: error.message }),
    });
  }

  private listen(): void {
    const { listen: addr, sockets } = this.settings;
    const router = new RequestRouter({
      controller: this.core,
      responses: this.responses,
      step: (input) => this.step(input),
      processStatus: () => this.processStatus(),
      log: this.log,
      invalidMessages: this.invalidMessages,
    });
    const maxConnections = Math.floor(sockets * SERVED_SOCKETS_FRACTION) - RESERVED_SOCKETS;
    const { server } = serveHttp({
      ...splitAddress(addr),
      limits: {
        maxConnections: Math.max(MIN_CONNECTIONS, maxConnections),
        maxBody: maxBodyBytes,
        requestMs: REQUEST_TIMEOUT_MS,
        idleMs: IDLE_TIMEOUT_MS,
      },
      handler: (request, respond) => router.handle(request, respond),
      onRefused: (refusal) => router.onRefused(refusal),
      onListening: () => this.log('info', 'serving', { addr }),
      queue: this.queue,
      classify: classifyRequest,
    });
    server.on('error', (error) => {
      this.log('error', 'cannot listen on the HTTP address', { addr, error: error.message });
      process.exit(1);
    });
  }

  private tick(): void {
    const nowMs = performance.now();
    this.loopDelay.record(nowMs);
    this.step({ kind: 'tick', queuedMs: this.queue.ageMs, memory: this.heap.measureUsedFraction(nowMs) });
  }

  private step(input: Input): void {
    const effects = this.core.step(performance.now() as Instant, Date.now() as WallTime, input);
    for (const effect of effects) this.effects.execute(effect);
  }

  private processStatus(): object {
    const { heapUsed } = process.memoryUsage();
    return {
      requestsWaiting: this.queue.waiting,
      requestsDropped: this.queue.dropped,
      rssMb: toMegabytes(process.memoryUsage.rss()),
      heapMb: toMegabytes(heapUsed),
      loopDelayMs: this.loopDelay.status(),
    };
  }
}

/** Converts bytes to megabytes, rounded to one decimal place. */
const toMegabytes = (bytes: number): number => Math.round(bytes / 1e5) / 10;
