// What the core receives and what it asks its surroundings to do.
import type { Instant, NodeId, Token, WallTime } from '../../types/index.ts';
import type {
  CloudOp,
  CloudReply,
  PeerMessage,
  Report,
  StateOp,
  StateReply,
  UserAnswer,
  UserRequest,
  WorkerAnswer,
  WorkerReply,
} from './model.ts';
import { Reach } from './reach.ts';
import type { Rank, StateBudget } from './statebudget.ts';

export type Input =
  | { kind: 'user'; req: number; request: UserRequest }
  | { kind: 'report'; req: number; report: Report }
  | { kind: 'state'; tag: number; reply: StateReply }
  | { kind: 'cloud'; tag: number; reply: CloudReply }
  | { kind: 'worker'; tag: number; reply: WorkerReply }
  | { kind: 'peer'; node: NodeId; message: PeerMessage }
  | { kind: 'peer-up'; node: NodeId }
  | { kind: 'peer-down'; node: NodeId }
  /** `queuedMs`: how long the oldest request that must not wait has been waiting to be read. */
  /** How long the oldest report has been waiting to be read; the part of the node's memory that is in use. */
  | { kind: 'tick'; queuedMs?: number; memory?: number };

export type LogLevel = 'error' | 'info' | 'debug';
export type Fields = Record<string, unknown>;

export type Effect =
  | { kind: 'answer-user'; req: number; answer: UserAnswer }
  | { kind: 'answer-worker'; req: number; answer: WorkerAnswer }
  | { kind: 'state'; tag: number; op: StateOp; timeoutMs: number }
  | { kind: 'cloud'; tag: number; op: CloudOp; timeoutMs: number }
  | { kind: 'probe'; tag: number; addr: string; token: Token; session: number; timeoutMs: number }
  | { kind: 'peer'; node: NodeId; message: PeerMessage }
  | { kind: 'log'; level: LogLevel; message: string; fields: Fields };

export interface Random {
  /** A whole number from 0 up to, not including, n. */
  below(n: number): number;
}

/** Questions to other nodes carry a number of 32 bits (peer.proto). */
const ASKS = 2 ** 32;

/** The core's side of every exchange: keeps the callback of each open request and collects effects. */
export class Outbox {
  now = 0 as Instant;
  /** How much further apart recurring work is done than when there is processor for all of it; see overload.ts. */
  pace = 1;
  wall = 0 as WallTime;
  private effects: Effect[] = [];
  private nextTag = 1;
  private nextAsk: number;
  private readonly open = new Map<number, (reply: never) => void>();
  /** Requests to the state service that were given up before they were sent; told in the next step. */
  private givenUp: ((reply: StateReply) => void)[] = [];
  readonly random: Random;
  private readonly stateReach: Reach;
  private readonly cloudReach: Reach;

  constructor(
    random: Random,
    /** What the node may ask of the state service; without one, all is sent at once. */
    readonly stateBudget: StateBudget | null = null,
    addrs = { state: '', cloud: '' },
  ) {
    this.random = random;
    // Counted from the same number at every start, an answer to what this node's former self had asked would be
    // taken for the answer to something else: a node may be back before it comes.
    this.nextAsk = random.below(ASKS);
    const log = (level: LogLevel, message: string, fields: Fields) => this.log(level, message, fields);
    this.stateReach = new Reach('state service', addrs.state, log);
    this.cloudReach = new Reach('cloud', addrs.cloud, log);
  }

  private heed(reach: Reach, r: StateReply | CloudReply): void {
    if (r.kind === 'no-answer') reach.failed(this.now, 'silent');
    else if (r.kind === 'refused' && !r.busy) reach.failed(this.now, 'refused');
    else reach.served(this.now);
  }

  /** Whether the state service has not served this node for some seconds. */
  get stateAway(): boolean {
    return this.stateReach.away(this.now);
  }

  begin(now: Instant, wall: WallTime): void {
    this.now = now;
    this.wall = wall;
    this.stateBudget?.tick(now);
    if (this.givenUp.length > 0)
      for (const then of this.givenUp.splice(0)) then({ kind: 'refused', busy: true });
  }

  drain(): Effect[] {
    const out = this.effects;
    this.effects = [];
    return out;
  }

  emit(effect: Effect): void {
    this.effects.push(effect);
  }

  log(level: LogLevel, message: string, fields: Fields = {}): void {
    this.emit({ kind: 'log', level, message, fields });
  }

  /** Names a question to another node, which its answer repeats. */
  askId(): number {
    this.nextAsk = (this.nextAsk + 1) % ASKS;
    return this.nextAsk;
  }

  private tag(then: (reply: never) => void): number {
    const tag = this.nextTag++;
    this.open.set(tag, then);
    return tag;
  }

  state(op: StateOp, rank: Rank, then: (reply: StateReply) => void, timeoutMs = 1500): void {
    const { stateBudget: budget } = this;
    const heed = (r: StateReply): void => {
      if (r.kind === 'refused' && r.busy) budget?.busy(this.now);
      this.heed(this.stateReach, r);
      then(r);
    };
    const send = () => this.emit({ kind: 'state', tag: this.tag(heed), op, timeoutMs });
    if (budget === null) return send();
    budget.submit(this.now, rank, send, () => this.givenUp.push(then));
  }

  cloud(op: CloudOp, then: (reply: CloudReply) => void, timeoutMs = 4000): void {
    const heed = (r: CloudReply): void => {
      this.heed(this.cloudReach, r);
      then(r);
    };
    this.emit({ kind: 'cloud', tag: this.tag(heed), op, timeoutMs });
  }

  probe(addr: string, token: Token, session: number, then: (reply: WorkerReply) => void): void {
    this.emit({ kind: 'probe', tag: this.tag(then), addr, token, session, timeoutMs: 2000 });
  }

  resolve(tag: number, reply: unknown): void {
    const then = this.open.get(tag);
    if (then === undefined) return;
    this.open.delete(tag);
    then(reply as never);
  }
}
