// The boundary of the core: the inputs of a controller, and the effects that the runtime executes for it.
import type { FencingToken, Instant, NodeId, WallTime } from '../../types/index.ts';
import type { Uint64 } from '../../types/uint64.ts';
import { DependencyHealth } from './dependency-health.ts';
import type { Log, LogFields, LogLevel } from './log.ts';
import type {
  CloudReply,
  CloudRequest,
  Heartbeat,
  HeartbeatResponse,
  PeerMessage,
  StoreReply,
  StoreRequest,
  UserRequest,
  UserResponse,
  WorkerReply,
} from './model.ts';
import type { StorePriority, StoreRequestBudget } from './store-request-budget.ts';

export type { LogFields, LogLevel } from './log.ts';

/** An input event of a controller. A reply carries the tag of the effect that it belongs to. */
export type Input =
  | { kind: 'user'; requestId: number; request: UserRequest }
  | { kind: 'heartbeat'; requestId: number; heartbeat: Heartbeat }
  | { kind: 'store'; tag: number; reply: StoreReply }
  | { kind: 'cloud'; tag: number; reply: CloudReply }
  | { kind: 'worker'; tag: number; reply: WorkerReply }
  | { kind: 'peer'; node: NodeId; message: PeerMessage }
  /** The connection to another controller was opened. */
  | { kind: 'peer-up'; node: NodeId }
  /** The connection to another controller was closed. */
  | { kind: 'peer-down'; node: NodeId }
  /**
   * Time has passed. `queuedMs`: how long the oldest unprocessed heartbeat has been queued. `memory`: the
   * fraction of the memory limit in use.
   */
  | { kind: 'tick'; queuedMs?: number; memory?: number };

/** An action that the runtime executes for a controller. */
export type Effect =
  | { kind: 'user-response'; requestId: number; response: UserResponse }
  | { kind: 'heartbeat-response'; requestId: number; response: HeartbeatResponse }
  | { kind: 'store'; tag: number; request: StoreRequest; timeoutMs: number }
  | { kind: 'cloud'; tag: number; request: CloudRequest; timeoutMs: number }
  /** Requests a heartbeat from the agent at an address. */
  | {
      kind: 'probe';
      tag: number;
      addr: string;
      fencingToken: FencingToken;
      agentEpoch: Uint64;
      timeoutMs: number;
    }
  | { kind: 'peer'; node: NodeId; message: PeerMessage }
  | { kind: 'log'; level: LogLevel; message: string; fields: LogFields };

/** A source of random numbers. The core uses no other. */
export interface Random {
  /** A random integer from 0 (inclusive) to the bound (exclusive). */
  below(bound: number): number;
}

/** Ids of requests to other controllers are 32-bit integers (peer.proto) below this limit. */
const REQUEST_ID_LIMIT = 2 ** 32;

const STORE_TIMEOUT_MS = 1500;
const CLOUD_TIMEOUT_MS = 4000;
const PROBE_TIMEOUT_MS = 2000;

/** Input and output of the core: collects effects, and holds the callback of each open request. */
export class ControllerIo {
  /** Monotonic time of the current step. */
  now = 0 as Instant;
  /** Wall time of the current step. */
  wallTime = 0 as WallTime;
  /** Factor by which intervals of recurring work are stretched under overload; set by the load shedder. */
  intervalFactor = 1;
  readonly random: Random;
  private effects: Effect[] = [];
  private nextTag = 1;
  private lastRequestId: number;
  private readonly openRequests = new Map<number, (reply: never) => void>();
  /**
   * Callbacks of store requests that the budget dropped before they were sent; called at the beginning of the
   * next step.
   */
  private droppedStoreCallbacks: ((reply: StoreReply) => void)[] = [];
  private readonly storeHealth: DependencyHealth;
  private readonly cloudHealth: DependencyHealth;

  constructor(
    random: Random,
    /** Budget of requests to the store; null: all requests are sent at once. */
    readonly storeBudget: StoreRequestBudget | null = null,
    addrs = { state: '', cloud: '' },
  ) {
    this.random = random;
    // A response may arrive after this controller has restarted. If every run began with the same id, that
    // response would be matched to a request of the new run.
    this.lastRequestId = random.below(REQUEST_ID_LIMIT);
    const log: Log = (level, message, fields) => this.log(level, message, fields);
    this.storeHealth = new DependencyHealth('state service', addrs.state, log);
    this.cloudHealth = new DependencyHealth('cloud', addrs.cloud, log);
  }

  /** Whether requests to the store have been failing for some seconds, without any success. */
  get isStoreUnavailable(): boolean {
    return this.storeHealth.isUnavailable(this.now);
  }

  /** Begins a step at this time; must be called before each input is processed. */
  beginStep(now: Instant, wallTime: WallTime): void {
    this.now = now;
    this.wallTime = wallTime;
    this.storeBudget?.tick(now);
    if (this.droppedStoreCallbacks.length > 0)
      for (const onReply of this.droppedStoreCallbacks.splice(0)) onReply({ kind: 'refused', busy: true });
  }

  /** Returns and clears the effects since the last call, in their order. */
  takeEffects(): Effect[] {
    const { effects } = this;
    this.effects = [];
    return effects;
  }

  emit(effect: Effect): void {
    this.effects.push(effect);
  }

  /** Writes a log line. */
  log(level: LogLevel, message: string, fields: LogFields = {}): void {
    this.emit({ kind: 'log', level, message, fields });
  }

  /** An id for a request to another controller; the response carries the same id. */
  nextRequestId(): number {
    this.lastRequestId = (this.lastRequestId + 1) % REQUEST_ID_LIMIT;
    return this.lastRequestId;
  }

  /**
   * Sends a request to the store as soon as the budget allows. A request that the budget drops before that
   * gets the reply `refused` in the next step.
   */
  sendStoreRequest(
    request: StoreRequest,
    priority: StorePriority,
    onReply: (reply: StoreReply) => void,
    timeoutMs = STORE_TIMEOUT_MS,
  ): void {
    const { storeBudget } = this;
    const receive = (reply: StoreReply): void => {
      if (reply.kind === 'refused' && reply.busy) storeBudget?.onThrottled(this.now);
      this.recordHealth(this.storeHealth, reply);
      onReply(reply);
    };
    const send = () => this.emit({ kind: 'store', tag: this.openRequest(receive), request, timeoutMs });
    if (storeBudget === null) return send();
    storeBudget.submit(this.now, priority, send, () => this.droppedStoreCallbacks.push(onReply));
  }

  /** Sends a request to the cloud. */
  sendCloudRequest(
    request: CloudRequest,
    onReply: (reply: CloudReply) => void,
    timeoutMs = CLOUD_TIMEOUT_MS,
  ): void {
    const receive = (reply: CloudReply): void => {
      this.recordHealth(this.cloudHealth, reply);
      onReply(reply);
    };
    this.emit({ kind: 'cloud', tag: this.openRequest(receive), request, timeoutMs });
  }

  /** Requests a heartbeat from the agent at an address. */
  probe(
    addr: string,
    fencingToken: FencingToken,
    agentEpoch: Uint64,
    onReply: (reply: WorkerReply) => void,
  ): void {
    const tag = this.openRequest(onReply);
    this.emit({ kind: 'probe', tag, addr, fencingToken, agentEpoch, timeoutMs: PROBE_TIMEOUT_MS });
  }

  /** Passes the reply to the effect with this tag to its callback; further replies are ignored. */
  resolve(tag: number, reply: unknown): void {
    const onReply = this.openRequests.get(tag);
    if (onReply === undefined) return;
    this.openRequests.delete(tag);
    onReply(reply as never);
  }

  private openRequest(onReply: (reply: never) => void): number {
    const tag = this.nextTag++;
    this.openRequests.set(tag, onReply);
    return tag;
  }

  private recordHealth(health: DependencyHealth, reply: StoreReply | CloudReply): void {
    if (reply.kind === 'no-answer') health.recordFailure(this.now, 'no-answer');
    else if (reply.kind === 'refused' && !reply.busy) health.recordFailure(this.now, 'refused');
    else health.recordSuccess(this.now);
  }
}
