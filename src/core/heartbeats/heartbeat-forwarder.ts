// Workers spread over all controllers: a node that is not the owner keeps the workers that come to it, passes their
// reports on over the link to the owner, most of them as the little that has changed, and brings back the owner's answers. It answers
// nothing by itself, so who renews a lease and who commands a machine stay with the owner (docs/safety.md).
import {
  addMs,
  elapsedMs,
  type Instant,
  LONG_AGO,
  type MachineId,
  NEVER,
  type NodeId,
} from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type {
  ForwardedHeartbeat,
  ForwardedHeartbeatResponse,
  Heartbeat,
  HeartbeatResponse,
} from '../base/model.ts';
import type { LeaderRecord } from '../membership/leader-election.ts';
import { PendingHeartbeats } from './pending-heartbeats.ts';
import { diffTaskLists, type TaskListDelta } from './task-list-delta.ts';

type Answer = (a: HeartbeatResponse) => void;

interface Open {
  report: Heartbeat;
  answer: Answer;
  deadline: Instant;
  owner: NodeId;
  /** Sent whole: there is nothing more to tell if the owner still does not know what it is about. */
  whole: boolean;
}
/** The last report of a worker that the owner has answered through this node. */
interface Read {
  owner: NodeId;
  report: Heartbeat;
  at: Instant;
}

/** Workers wait for 4 s. Until nearly then the next owner may come up, and a worker sent away may find nobody. */
const PATIENCE_MS = 3800;
/** While no owner is known, a report waits this long for the next one to answer it; the worker then tries another node. */
const DEFER_MS = 3800;
/**
 * Unanswered reports in a row, and silence of the owner for so long, after which the link is not used for a while: it
 * may be cut without a word. An owner that is merely slow must not get all workers' connections as well.
 */
const STRIKES = 3;
const SILENT_MS = 3000;
const REST_MS = 5000;
/** What is remembered of workers that no longer come goes after this. */
const FORGET_MS = 60_000;
const TIDY_MS = 10_000;
/** An owner whose link has just gone has probably ended: its workers would find nobody there. */
const LATELY_MS = 5000;
/**
 * An owner silent for longer than its hold lasts, while the record still has it as the owner, is alive and only out of
 * this node's reach. Before that it has probably ended, and each worker sent to it loses 5 s of its lease in vain.
 */
const OUT_OF_REACH_MS = 6000;
/** Nodes say something every second; one heard within this is alive. */
const ALIVE_MS = 2500;
/** A node that has just denied owning the share is not asked again for this long, unless it is owner anew. */
const DENIED_MS = 1000;

export class HeartbeatForwarder {
  private readonly open = new Map<number, Open>();
  private readonly read = new Map<MachineId, Read>();
  private readonly deferred: PendingHeartbeats;
  private strikes = 0;
  private restUntil: Instant = LONG_AGO;
  private nextTidy = 0 as Instant;
  /** The owner as far as this node knows. */
  private owner: LeaderRecord | null = null;
  private deniedUntil: Instant = LONG_AGO;
  private readonly lostAt = new Map<NodeId, Instant>();
  private readonly heardAt = new Map<NodeId, Instant>();

  constructor(private readonly io: ControllerIo) {
    this.deferred = new PendingHeartbeats(io, DEFER_MS);
  }

  /** Whether reports may be passed on now; if not, workers are sent to the owner themselves. */
  get isUsable(): boolean {
    return this.io.now >= this.restUntil;
  }

  /**
   * The link is up but silent, and was not used lately for that; or the node has said that it does not own the share, as it
   * was started anew within a fraction of a second and its former self's hold still stands. Whoever owns the share is known
   * within seconds.
   */
  leaderMayHaveEnded(owner: NodeId): boolean {
    return this.denied || (!this.isUsable && this.silentMs(owner) < OUT_OF_REACH_MS);
  }

  private get denied(): boolean {
    return this.io.now < this.deniedUntil;
  }

  /** `by`: when its worker must be answered, if it has waited before. */
  forward(r: Heartbeat, owner: NodeId, answer: Answer, by: Instant = NEVER): void {
    const id = this.io.nextRequestId();
    const last = this.read.get(r.machine);
    const builds = last !== undefined && last.owner === owner && follows(r, last.report);
    const compared = builds ? diffTaskLists(last.report.tasks, r.tasks) : null;
    // What is remembered keeps the objects of the list before, so that comparing the next with it is cheap.
    const report = compared === null ? r : { ...r, tasks: compared.tasks };
    const deadline = Math.min(addMs(this.io.now, PATIENCE_MS), by) as Instant;
    this.open.set(id, { report, answer, deadline, owner, whole: compared === null });
    this.send(
      id,
      owner,
      compared === null ? { kind: 'full', heartbeat: r } : shortened(r, last!.report.seq, compared),
    );
  }

  private send(id: number, owner: NodeId, heartbeat: ForwardedHeartbeat): void {
    this.io.emit({ kind: 'peer', node: owner, message: { kind: 'forwarded-heartbeat', id, heartbeat } });
  }

  onResponse(id: number, a: ForwardedHeartbeatResponse): void {
    const o = this.open.get(id);
    if (o === undefined) return;
    this.strikes = 0;
    if (a !== null && a.kind === 'full-heartbeat-required' && !o.whole) {
      o.whole = true;
      return this.send(id, o.owner, { kind: 'full', heartbeat: o.report });
    }
    this.open.delete(id);
    if (a === null) return this.deny(o);
    if (a.kind === 'full-heartbeat-required') return o.answer({ kind: 'redirect', node: null });
    if (a.kind === 'commands') this.remember(o);
    o.answer(a);
  }

  /** Sent round, the worker would come back a second later, on a new connection, and still find no owner. */
  private deny(o: Open): void {
    if (o.owner === this.owner?.node) this.deniedUntil = addMs(this.io.now, DENIED_MS);
    this.defer(o.report, o.answer, o.deadline);
  }

  private remember(o: Open): void {
    const { report, owner } = o;
    const last = this.read.get(report.machine);
    if (last !== undefined && last.owner === owner && !newer(report, last.report)) return;
    this.read.set(report.machine, { owner, report, at: this.io.now });
  }

  /** A report for which there is no owner yet: one is chosen within seconds, and answers it. */
  defer(report: Heartbeat, answer: Answer, by: Instant = NEVER): void {
    this.deferred.add(report, answer, by);
  }

  /** An owner can be reached, or this node has become it: what waited is handled as if it came now. */
  resumeDeferred(handle: (r: Heartbeat, answer: Answer, by: Instant) => void): void {
    if (this.denied) return;
    for (const p of this.deferred.take()) handle(p.heartbeat, p.respond, p.until);
  }

  /**
   * There is another owner: what the one before has not answered, and perhaps never will, waits for this one. A link to
   * an owner that stands still, or is cut off, tells nothing by itself.
   */
  onLeader(owner: LeaderRecord): void {
    if (owner.node === this.owner?.node && owner.revision === this.owner.revision) return;
    this.owner = owner;
    this.strikes = 0;
    this.restUntil = LONG_AGO;
    this.deniedUntil = LONG_AGO;
    this.deferAgain((o) => o.owner !== owner.node);
  }

  private deferAgain(which: (o: Open) => boolean): void {
    for (const [id, o] of this.open)
      if (which(o)) {
        this.open.delete(id);
        this.defer(o.report, o.answer, o.deadline);
      }
  }

  /** The node has said something. */
  recordPeerActivity(node: NodeId): void {
    this.heardAt.set(node, this.io.now);
  }

  /** Whether the link to the node went down a moment ago. */
  disconnectedRecently(node: NodeId): boolean {
    const at = this.lostAt.get(node);
    return at !== undefined && elapsedMs(this.io.now, at) < LATELY_MS;
  }

  /** The link to a node is gone: nothing that it was asked will be answered. */
  onPeerDisconnected(node: NodeId): void {
    this.lostAt.set(node, this.io.now);
    this.deferAgain((o) => o.owner === node);
    for (const [m, r] of this.read) if (r.owner === node) this.read.delete(m);
  }

  /** Whether the node has said nothing for some seconds; those that pass reports on say something every second. */
  isSilent(node: NodeId): boolean {
    return this.silentMs(node) >= SILENT_MS;
  }

  /** Whether the node has said something within the last seconds. */
  isAlive(node: NodeId): boolean {
    return this.silentMs(node) < ALIVE_MS;
  }

  private silentMs(node: NodeId): number {
    return elapsedMs(this.io.now, this.heardAt.get(node) ?? LONG_AGO);
  }

  /**
   * Where a worker should go that cannot be served here: to a node that is certainly alive, rather than round by nodes
   * that may not be, at 5 s each. To the owner only if it may well answer there.
   */
  private refuge(owner: NodeId | null): NodeId | null {
    for (const node of this.heardAt.keys())
      if (node !== owner && this.silentMs(node) < ALIVE_MS && !this.disconnectedRecently(node)) return node;
    if (owner === null || this.disconnectedRecently(owner)) return null;
    const silent = this.silentMs(owner);
    return silent < ALIVE_MS || silent >= OUT_OF_REACH_MS ? owner : null;
  }

  /** `owner`: the last that is known of, for workers that may reach it though this node does not. */
  tick(owner: NodeId | null): void {
    const { now } = this.io;
    for (const [id, o] of this.open) {
      if (now < o.deadline) break;
      this.open.delete(id);
      this.strike(o);
    }
    for (const p of this.deferred.takeOverdue()) p.respond({ kind: 'redirect', node: this.refuge(owner) });
    if (now < this.nextTidy) return;
    this.nextTidy = addMs(now, TIDY_MS);
    for (const [m, r] of this.read) if (elapsedMs(now, r.at) > FORGET_MS) this.read.delete(m);
  }

  private strike(o: Open): void {
    this.strikes++;
    const silent = this.silentMs(o.owner) >= SILENT_MS;
    if (this.strikes >= STRIKES && silent && this.isUsable) {
      this.strikes = 0;
      this.restUntil = addMs(this.io.now, REST_MS);
      this.io.log('info', 'the owner answers no reports that are passed on', { owner: o.owner });
    }
    o.answer({ kind: 'redirect', node: this.refuge(o.owner) });
  }
}

const newer = (a: Heartbeat, b: Heartbeat): boolean =>
  a.agentEpoch > b.agentEpoch || (a.agentEpoch === b.agentEpoch && a.seq > b.seq);

function shortened(r: Heartbeat, baseSeq: number, { removed, changed }: TaskListDelta): ForwardedHeartbeat {
  const { machine, agentEpoch, seq, fencingToken, preemptionNoticeS } = r;
  return {
    kind: 'delta',
    machine,
    agentEpoch,
    seq,
    fencingToken,
    preemptionNoticeS,
    baseSeq,
    removed,
    changed,
  };
}

/** Whether the report can be told as what has changed since an earlier one. */
const follows = (r: Heartbeat, than: Heartbeat): boolean =>
  r.agentEpoch === than.agentEpoch && r.seq > than.seq && r.addr === than.addr;
