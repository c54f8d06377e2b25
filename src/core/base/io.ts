// What the core receives and what it asks its surroundings to do.
import type { FencingToken, Instant, NodeId, WallTime } from '../../types/index.ts';
import { DependencyHealth } from './dependency-health.ts';
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

export type Input =
  | { kind: 'user'; requestId: number; request: UserRequest }
  | { kind: 'heartbeat'; requestId: number; heartbeat: Heartbeat }
  | { kind: 'store'; tag: number; reply: StoreReply }
  | { kind: 'cloud'; tag: number; reply: CloudReply }
  | { kind: 'worker'; tag: number; reply: WorkerReply }
  | { kind: 'peer'; node: NodeId; message: PeerMessage }
  | { kind: 'peer-up'; node: NodeId }
  | { kind: 'peer-down'; node: NodeId }
  /** `queuedMs`: how long the oldest request that must not wait has been waiting to be read. */
  /** How long the oldest report has been waiting to be read; the part of the node's memory that is in use. */
  | { kind: 'tick'; queuedMs?: number; memory?: number };

export type LogLevel = 'error' | 'info' | 'debug';
export type LogFields = Record<string, unknown>;

export type Effect =
  | { kind: 'user-response'; requestId: number; response: UserResponse }
  | { kind: 'heartbeat-response'; requestId: number; response: HeartbeatResponse }
  | { kind: 'store'; tag: number; request: StoreRequest; timeoutMs: number }
  | { kind: 'cloud'; tag: number; request: CloudRequest; timeoutMs: number }
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

export interface Random {
  /** A whole number from 0 up to, not including, n. */
  below(n: number): number;
}

/** Questions to other nodes carry a number of 32 bits (peer.proto). */
const ASKS = 2 ** 32;

/** The core's side of every exchange: keeps the callback of each open request and collects effects. */
export class ControllerIo {
  now = 0 as Instant;
  /** How much further apart recurring work is done than when there is processor for all of it; see overload.ts. */
  intervalFactor = 1;
  wallTime = 0 as WallTime;
  private effects: Effect[] = [];
  private nextTag = 1;
  private nextAsk: number;
  private readonly open = new Map<number, (reply: never) => void>();
  /** Requests to the state service that were given up before they were sent; told in the next step. */
  private givenUp: ((reply: StoreReply) => void)[] = [];
  readonly random: Random;
  private readonly stateReach: DependencyHealth;
  private readonly cloudReach: DependencyHealth;

  constructor(
    random: Random,
    /** What the node may ask of the state service; without one, all is sent at once. */
    readonly storeBudget: StoreRequestBudget | null = null,
    addrs = { state: '', cloud: '' },
  ) {
    this.random = random;
    // Counted from the same number at every start, an answer to what this node's former self had asked would be
    // taken for the answer to something else: a node may be back before it comes.
    this.nextAsk = random.below(ASKS);
    const log = (level: LogLevel, message: string, fields: LogFields) => this.log(level, message, fields);
    this.stateReach = new DependencyHealth('state service', addrs.state, log);
    this.cloudReach = new DependencyHealth('cloud', addrs.cloud, log);
  }

  private heed(reach: DependencyHealth, r: StoreReply | CloudReply): void {
    if (r.kind === 'no-answer') reach.recordFailure(this.now, 'silent');
    else if (r.kind === 'refused' && !r.busy) reach.recordFailure(this.now, 'refused');
    else reach.recordSuccess(this.now);
  }

  /** Whether the state service has not served this node for some seconds. */
  get isStoreUnavailable(): boolean {
    return this.stateReach.isUnavailable(this.now);
  }

  beginStep(now: Instant, wall: WallTime): void {
    this.now = now;
    this.wallTime = wall;
    this.storeBudget?.tick(now);
    if (this.givenUp.length > 0)
      for (const then of this.givenUp.splice(0)) then({ kind: 'refused', busy: true });
  }

  takeEffects(): Effect[] {
    const out = this.effects;
    this.effects = [];
    return out;
  }

  emit(effect: Effect): void {
    this.effects.push(effect);
  }

  log(level: LogLevel, message: string, fields: LogFields = {}): void {
    this.emit({ kind: 'log', level, message, fields });
  }

  /** Names a question to another node, which its answer repeats. */
  nextRequestId(): number {
    this.nextAsk = (this.nextAsk + 1) % ASKS;
    return this.nextAsk;
  }

  private tag(then: (reply: never) => void): number {
    const tag = this.nextTag++;
    this.open.set(tag, then);
    return tag;
  }

  store(
    request: StoreRequest,
    rank: StorePriority,
    then: (reply: StoreReply) => void,
    timeoutMs = 1500,
  ): void {
    const { storeBudget: budget } = this;
    const heed = (r: StoreReply): void => {
      if (r.kind === 'refused' && r.busy) budget?.onThrottled(this.now);
      this.heed(this.stateReach, r);
      then(r);
    };
    const send = () => this.emit({ kind: 'store', tag: this.tag(heed), request, timeoutMs });
    if (budget === null) return send();
    budget.submit(this.now, rank, send, () => this.givenUp.push(then));
  }

  cloud(request: CloudRequest, then: (reply: CloudReply) => void, timeoutMs = 4000): void {
    const heed = (r: CloudReply): void => {
      this.heed(this.cloudReach, r);
      then(r);
    };
    this.emit({ kind: 'cloud', tag: this.tag(heed), request, timeoutMs });
  }

  probe(
    addr: string,
    fencingToken: FencingToken,
    agentEpoch: number,
    then: (reply: WorkerReply) => void,
  ): void {
    this.emit({ kind: 'probe', tag: this.tag(then), addr, fencingToken, agentEpoch, timeoutMs: 2000 });
  }

  resolve(tag: number, reply: unknown): void {
    const then = this.open.get(tag);
    if (then === undefined) return;
    this.open.delete(tag);
    then(reply as never);
  }
}
