// The boundary of the core: the inputs that it takes, and the effects that it asks its surroundings for.
import type { FencingToken, Instant, NodeId, WallTime } from '../../types/index.ts';
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

/** What happens to a controller. Replies carry the tag of the effect that they answer. */
export type Input =
  | { kind: 'user'; requestId: number; request: UserRequest }
  | { kind: 'heartbeat'; requestId: number; heartbeat: Heartbeat }
  | { kind: 'store'; tag: number; reply: StoreReply }
  | { kind: 'cloud'; tag: number; reply: CloudReply }
  | { kind: 'worker'; tag: number; reply: WorkerReply }
  | { kind: 'peer'; node: NodeId; message: PeerMessage }
  /** A connection to another controller is open, or closed. */
  | { kind: 'peer-up'; node: NodeId }
  | { kind: 'peer-down'; node: NodeId }
  /**
   * Time has passed. `queuedMs`: how long the oldest heartbeat has been waiting to be read. `memory`: the
   * fraction of the memory limit in use.
   */
  | { kind: 'tick'; queuedMs?: number; memory?: number };

/** What a controller asks its surroundings to do. */
export type Effect =
  | { kind: 'user-response'; requestId: number; response: UserResponse }
  | { kind: 'heartbeat-response'; requestId: number; response: HeartbeatResponse }
  | { kind: 'store'; tag: number; request: StoreRequest; timeoutMs: number }
  | { kind: 'cloud'; tag: number; request: CloudRequest; timeoutMs: number }
  /** Asks the agent at an address for a heartbeat. */
  | {
      kind: 'probe';
      tag: number;
      addr: string;
      fencingToken: FencingToken;
      agentEpoch: number;
      timeoutMs: number;
    }
  | { kind: 'peer'; node: NodeId; message: PeerMessage }
  | { kind: 'log'; level: LogLevel; message: string; fields: LogFields };

/** A source of random numbers; the only one of the core. */
export interface Random {
  /** A whole number from 0 up to, not including, the bound. */
  below(bound: number): number;
}

/** Ids of requests to other controllers have 32 bits (peer.proto). */
const REQUEST_IDS = 2 ** 32;

const STORE_TIMEOUT_MS = 1500;
const CLOUD_TIMEOUT_MS = 4000;
const PROBE_TIMEOUT_MS = 2000;

/** The core's side of every exchange: keeps the callback of each open request, and collects effects. */
export class ControllerIo {
  /** Monotonic time of this step. */
  now = 0 as Instant;
  /** Wall time of this step. */
  wallTime = 0 as WallTime;
  /** How much further apart recurring work is done than without overload; set by the load shedder. */
  intervalFactor = 1;
  /** The only source of random numbers. */
  readonly random: Random;
  private effects: Effect[] = [];
  private nextTag = 1;
  private lastRequestId: number;
  private readonly openRequests = new Map<number, (reply: never) => void>();
  /**
   * Callbacks of store requests that were given up before they were sent; called at the beginning of the next
   * step.
   */
  private givenUp: ((reply: StoreReply) => void)[] = [];
  private readonly storeHealth: DependencyHealth;
  private readonly cloudHealth: DependencyHealth;

  constructor(
    random: Random,
    /** Budget of requests to the store; without one all are sent at once. */
    readonly storeBudget: StoreRequestBudget | null = null,
    addrs = { state: '', cloud: '' },
  ) {
    this.random = random;
    // If every run began with the same number, a response to a request of the previous run would be taken for
    // one to another request: a controller may have restarted before it arrives.
    this.lastRequestId = random.below(REQUEST_IDS);
    const log: Log = (level, message, fields) => this.log(level, message, fields);
    this.storeHealth = new DependencyHealth('state service', addrs.state, log);
    this.cloudHealth = new DependencyHealth('cloud', addrs.cloud, log);
  }

  /** Whether the store has not served this controller for some seconds. */
  get isStoreUnavailable(): boolean {
    return this.storeHealth.isUnavailable(this.now);
  }

  /** Begins a step at this time; to be called before each input. */
  beginStep(now: Instant, wallTime: WallTime): void {
    this.now = now;
    this.wallTime = wallTime;
    this.storeBudget?.tick(now);
    if (this.givenUp.length > 0)
      for (const onReply of this.givenUp.splice(0)) onReply({ kind: 'refused', busy: true });
  }

  /** The effects since the last call, in their order. */
  takeEffects(): Effect[] {
    const { effects } = this;
    this.effects = [];
    return effects;
  }

  /** Adds an effect. */
  emit(effect: Effect): void {
    this.effects.push(effect);
  }

  /** Writes a log line. */
  log(level: LogLevel, message: string, fields: LogFields = {}): void {
    this.emit({ kind: 'log', level, message, fields });
  }

  /** An id for a request to another controller, which the response repeats. */
  nextRequestId(): number {
    this.lastRequestId = (this.lastRequestId + 1) % REQUEST_IDS;
    return this.lastRequestId;
  }

  /**
   * Sends a request to the store, when the budget allows; one that is given up before that counts as refused.
   */
  store(
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
    storeBudget.submit(this.now, priority, send, () => this.givenUp.push(onReply));
  }

  /** Sends a request to the cloud. */
  cloud(request: CloudRequest, onReply: (reply: CloudReply) => void, timeoutMs = CLOUD_TIMEOUT_MS): void {
    const receive = (reply: CloudReply): void => {
      this.recordHealth(this.cloudHealth, reply);
      onReply(reply);
    };
    this.emit({ kind: 'cloud', tag: this.openRequest(receive), request, timeoutMs });
  }

  /** Asks the agent at an address for a heartbeat. */
  probe(
    addr: string,
    fencingToken: FencingToken,
    agentEpoch: number,
    onReply: (reply: WorkerReply) => void,
  ): void {
    const tag = this.openRequest(onReply);
    this.emit({ kind: 'probe', tag, addr, fencingToken, agentEpoch, timeoutMs: PROBE_TIMEOUT_MS });
  }

  /** The reply to the effect with this tag has come; a second one is ignored. */
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
    if (reply.kind === 'no-answer') health.recordFailure(this.now, 'silent');
    else if (reply.kind === 'refused' && !reply.busy) health.recordFailure(this.now, 'refused');
    else health.recordSuccess(this.now);
  }
}
