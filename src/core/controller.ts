// The core of one controller: a state machine that takes inputs and returns what to send and answer.
import {
  addMs,
  type FencingToken,
  type Instant,
  NEVER,
  type NodeId,
  type Revision,
  type WallTime,
} from '../types/index.ts';
import { FallbackAdmission } from './admission/fallback-admission.ts';
import { LoadShedder } from './admission/load-shedder.ts';
import { ControllerIo, type Effect, type Input, type Random } from './base/io.ts';
import type {
  ForwardedHeartbeat,
  ForwardedHeartbeatResponse,
  Heartbeat,
  HeartbeatResponse,
  PeerMessage,
  Settings,
  UserRequest,
  UserResponse,
} from './base/model.ts';
import { retryLater } from './base/responses.ts';
import { StoreRequestBudget } from './base/store-request-budget.ts';
import { Configuration, MAX_LAG_MS } from './configuration/configuration.ts';
import { ConnectionBalancer } from './heartbeats/connection-balancer.ts';
import { HeartbeatForwarder } from './heartbeats/heartbeat-forwarder.ts';
import { HeartbeatRelay } from './heartbeats/heartbeat-relay.ts';
import { LeaderTerm } from './leader/leader-term.ts';
import { MachineTypeCatalog } from './machines/machine-type-catalog.ts';
import { LEADER_LEASE_MS, LeaderElection, type LeaderRecord } from './membership/leader-election.ts';
import { PeerRegistry } from './membership/peer-registry.ts';
import type { SchedulerOptions } from './scheduling/scheduler.ts';
import { JobRecordReader } from './storage/job-record-reader.ts';

interface Forwarded {
  request: UserRequest;
  answer: (a: UserResponse) => void;
  deadline: Instant;
}
interface Timed {
  answer: (a: UserResponse) => void;
  deadline: Instant;
}

/** What a user is told in time, whatever happens behind: polls give up after 2 s, submissions after 5 s. */
const STATUS_PATIENCE_MS = 1500;
const WRITE_PATIENCE_MS = 3500;
/** A submission not answered soon by the owner is taken in by the node itself: at most one of the two records is made. */
const FORWARD_MS = { status: 700, submit: 150, cancel: 3000 };
const SERVE_MS = { status: 600, submit: 2900, cancel: 2900 };

export class Controller {
  private readonly io: ControllerIo;
  private readonly settings: Settings;
  readonly election: LeaderElection;
  leaderTerm: LeaderTerm | null = null;
  readonly jobRecords: JobRecordReader;
  private readonly machineTypes: MachineTypeCatalog;
  private readonly heartbeatRelay: HeartbeatRelay;
  private readonly heartbeatForwarder: HeartbeatForwarder;
  private readonly loadShedder: LoadShedder;
  private readonly connectionBalancer: ConnectionBalancer;
  private readonly fallbackAdmission: FallbackAdmission;
  readonly configuration: Configuration;
  private readonly peers: PeerRegistry;
  private readonly forwarded = new Map<number, Forwarded>();
  private readonly timed = new Set<Timed>();

  constructor(settings: Settings, options: SchedulerOptions, random: Random) {
    this.settings = settings;
    this.peers = new PeerRegistry(settings.peers);
    const budget = new StoreRequestBudget(settings.store.requestsPerS, settings.peers.length + 1);
    this.io = new ControllerIo(random, budget, { state: settings.storeAddr, cloud: settings.cloudAddr });
    this.jobRecords = new JobRecordReader(this.io, settings);
    this.machineTypes = new MachineTypeCatalog(this.io);
    this.heartbeatRelay = new HeartbeatRelay(this.io);
    this.heartbeatForwarder = new HeartbeatForwarder(this.io);
    this.loadShedder = new LoadShedder(this.io);
    this.connectionBalancer = new ConnectionBalancer(this.io, settings.workers.heartbeatS);
    this.configuration = new Configuration(this.io, settings);
    this.configuration.onApplied = (change) => this.leaderTerm?.onConfigurationApplied(change);
    this.fallbackAdmission = new FallbackAdmission({
      io: this.io,
      settings,
      machineTypes: this.machineTypes,
      jobRecords: this.jobRecords,
      configuration: this.configuration,
      onStaleConfiguration: () => this.election.refresh(),
    });
    const rank = settings.peers.filter((p) => p.node < settings.node).length;
    this.election = new LeaderElection({
      io: this.io,
      self: settings.node,
      rank,
      nodes: settings.peers.length + 1,
      listener: {
        onElected: (term) => {
          this.io.storeBudget?.setLeader(true);
          this.connectionBalancer.setLeader(true);
          this.leaderTerm = new LeaderTerm({
            io: this.io,
            settings,
            options,
            fencingCondition: { key: this.election.leaderKey, revision: term },
            configuration: this.configuration,
            peers: this.peers,
            machineTypes: this.machineTypes,
            jobRecords: this.jobRecords,
            lastRecovery: this.election.lastRecovery,
            authority: {
              holdsLease: () => this.mayAdopt(term),
              mayStart: () => this.mayStart(),
            },
            onSuperseded: () => this.overtaken(term),
          });
          this.announce();
        },
        onLeadershipLost: () => {
          this.io.storeBudget?.setLeader(false);
          this.connectionBalancer.setLeader(false);
          this.leaderTerm?.close();
          this.leaderTerm = null;
          this.announce();
        },
        migrateLeaderKey: (conditions, puts, done) =>
          this.leaderTerm?.migrateLeaderKey(conditions, puts, done),
        onConfigurationChanged: (revision) => this.configuration.onRevisionSeen(revision),
      },
    });
  }

  /** A write under this term found another owner; under an earlier one of this node's it says nothing new. */
  private overtaken(term: Revision): void {
    if (this.election.term === term) this.election.stepDown('a write found another owner');
  }

  step(now: Instant, wall: WallTime, input: Input): Effect[] {
    this.io.beginStep(now, wall);
    this.take(input);
    this.resume();
    if (this.mayCommand()) this.leaderTerm?.afterInput();
    return this.io.takeEffects();
  }

  /** Whether this node can serve users: as the owner, by one it can reach, or by the record alone. */
  get ready(): boolean {
    const { leader } = this.election;
    if (this.leaderTerm?.failover.isUnreadable) return false;
    if (this.alone && this.io.isStoreUnavailable) return false;
    if (this.configuration.lagMs > MAX_LAG_MS) return false;
    if (leader?.node === this.settings.node && this.leaderTerm?.failover.isLoaded) return true;
    if (leader !== null && leader.node !== this.settings.node && this.peers.connectedPeers.has(leader.node))
      return true;
    // Without an owner in reach, submissions and questions go by the record.
    return this.election.isStoreReadable && this.machineTypes.isLoaded;
  }

  /** Cut off from every other controller: with the state service out of reach too, users are better served by any other. */
  private get alone(): boolean {
    if (this.settings.peers.length === 0) return false;
    for (const node of this.peers.connectedPeers)
      if (!this.peers.forwardingPeers.has(node) || !this.heartbeatForwarder.isSilent(node)) return false;
    return true;
  }

  /** What an operator asks a node about itself. */
  describe(): Record<string, unknown> {
    const { leaderTerm, election: l } = this;
    const machines = [...(leaderTerm?.machines.byId.values() ?? [])];
    return {
      node: this.settings.node,
      owner: l.leader?.node ?? null,
      term: l.term,
      current: l.holdsLease,
      peers: [...this.peers.connectedPeers],
      recovered: leaderTerm?.failover.isComplete ?? null,
      stateDown: leaderTerm !== null && leaderTerm.writer.unavailableSince !== null,
      writesWaiting: leaderTerm?.writer.backlog ?? 0,
      jobs: leaderTerm?.jobs.openJobs.size ?? 0,
      workers: this.connectionBalancer.workers,
      loadLevel: this.loadShedder.level,
      loopDelayMs: Math.round(this.loadShedder.delayMs),
      requestsShed: this.loadShedder.requestsShed,
      memoryShort: this.loadShedder.isMemoryShort,
      stateRequests: { sent: this.io.storeBudget?.sent, refused: this.io.storeBudget?.refused },
      olderPeers: this.peers.peersWithoutDependencies(),
      configuration: {
        ...this.configuration.describe(),
        ...leaderTerm?.rollout.describe(),
        nodes: this.peers.configRevisions().map((n) => ({
          ...n,
          knowsDocuments: this.peers.supportsConfigDocuments(n.node),
        })),
      },
      finalStatesToRead: leaderTerm?.dependencies.unresolvedCount ?? 0,
      machines: machines.length,
      draining: machines.filter((m) => m.drainReason !== null).map((m) => `${m.id}: ${m.drainReason}`),
    };
  }

  private take(input: Input): void {
    switch (input.kind) {
      case 'tick':
        return this.tick(input.queuedMs ?? 0, input.memory ?? 0);
      case 'user':
        return this.user(input.request, (response) =>
          this.io.emit({ kind: 'user-response', requestId: input.requestId, response }),
        );
      case 'heartbeat':
        return this.checkIn(input.heartbeat, (response) =>
          this.io.emit({ kind: 'heartbeat-response', requestId: input.requestId, response }),
        );
      case 'store':
      case 'cloud':
      case 'worker':
        return this.io.resolve(input.tag, input.reply);
      case 'peer':
        return this.peer(input.node, input.message);
      case 'peer-up':
        this.peers.onConnected(input.node);
        return this.greet(input.node);
      case 'peer-down':
        this.peers.onDisconnected(input.node);
        this.heartbeatForwarder.onPeerDisconnected(input.node);
        return this.dropForwarded(input.node);
    }
  }

  private tick(queuedMs: number, memory: number): void {
    const backlogS = this.leaderTerm?.userRequests.backlogS ?? 0;
    const news = this.loadShedder.tick(queuedMs, backlogS, memory);
    if (news !== null)
      for (const node of this.peers.forwardingPeers)
        this.io.emit({
          kind: 'peer',
          node,
          message: {
            kind: 'load',
            level: news.level,
            afterS: news.afterS,
            memoryShort: news.memoryShort,
            workers: this.connectionBalancer.weight,
            backlogS,
            configRevision: this.configuration.applied,
            leaderTerm: this.election.term ?? (0 as Revision),
          },
        });
    this.connectionBalancer.tick(
      (node) => this.peers.connectedPeers.has(node) && this.peers.forwardingPeers.has(node),
    );
    this.election.tick();
    this.configuration.tick();
    this.machineTypes.tick(this.leaderTerm !== null);
    this.leaderTerm?.tick(this.mayCommand());
    this.jobRecords.tick();
    this.heartbeatRelay.tick();
    this.heartbeatForwarder.tick(this.otherOwner?.node ?? null);
    this.expire();
  }

  // ---- what this node may do (docs/safety.md)

  /**
   * Until when machines may be commanded and their leases renewed under this term. Tokens keep a later
   * owner's machines from this node's commands; this bound lets a later owner, and a user who cancelled
   * with it, rely on everything here being gone in time.
   */
  private mayCommand(): boolean {
    const l = this.election;
    if (l.term === null) return false;
    if (l.holdsLease) return true;
    const { cancelS, leaseS } = this.settings.workers;
    return this.io.now < l.confirmedAt + LEADER_LEASE_MS + cancelS * 1000 - leaseS * 1001 - 1500;
  }

  /**
   * Whether tasks may be started. Beyond its hold an owner that is out of the others' reach can't know whether one of
   * them owns the share and has told a user that a job is cancelled; none of its tasks may be started from then on. One that
   * hears them all would hear that as well, and goes on as in an outage. But nobody tells it of a change of the configuration
   * that none of them may have read yet: with documents it starts nothing beyond its hold.
   */
  private mayStart(): boolean {
    if (this.configuration.isOverdue) return false;
    if (this.election.holdsLease) return true;
    return (
      !this.configuration.hasDocuments &&
      this.settings.peers.every((p) => this.heartbeatForwarder.isAlive(p.node))
    );
  }

  /** A job found on record may be taken up only while nobody else can have become the owner. */
  private mayAdopt(term: Revision): boolean {
    return this.election.term === term && this.election.holdsLease;
  }

  // ---- workers

  /** The owner as far as is known, if it is another node. */
  private get otherOwner(): LeaderRecord | null {
    const { leader } = this.election;
    return leader?.node === this.settings.node ? null : leader;
  }

  /** A worker speaks to this node; with too many here, it is sent to another before anything is read. */
  private checkIn(r: Heartbeat, answer: (a: HeartbeatResponse) => void): void {
    const to = this.connectionBalancer.onHeartbeat(r.machine);
    if (to !== null) answer({ kind: 'redirect', node: to });
    else this.report(r, answer);
  }

  /** A machine has seen a higher token than this owner's: somebody else has taken over, and this term is given up. */
  private outdated(token: FencingToken): boolean {
    if (this.leaderTerm === null || token <= this.leaderTerm.machines.fencingToken) return false;
    this.election.onHigherFencingToken();
    return true;
  }

  /** `by`: when its worker must be answered, if the report has waited before. */
  private report(r: Heartbeat, answer: (a: HeartbeatResponse) => void, by: Instant = NEVER): void {
    if (this.outdated(r.fencingToken)) return answer({ kind: 'redirect', node: null });
    const { leaderTerm } = this;
    if (leaderTerm !== null && this.mayCommand()) return leaderTerm.onHeartbeat(r, answer, by);
    const owner = this.otherOwner;
    const linked = owner !== null && this.peers.connectedPeers.has(owner.node);
    // The next owner is chosen within seconds: a worker sent round meanwhile would only come back.
    if (
      this.peers.connectedPeers.size > 0 &&
      (owner === null || (!linked && this.heartbeatForwarder.disconnectedRecently(owner.node)))
    )
      return this.heartbeatForwarder.defer(r, answer, by);
    if (linked && this.heartbeatForwarder.leaderMayHaveEnded(owner.node))
      return this.heartbeatForwarder.defer(r, answer, by);
    if (linked && this.peers.forwardingPeers.has(owner.node) && this.heartbeatForwarder.isUsable)
      return this.heartbeatForwarder.forward(r, owner.node, answer, by);
    this.heartbeatRelay.relay(r, owner, linked, answer);
  }

  /** Reports that waited for an owner go to it as soon as there is one. */
  private resume(): void {
    const owner = this.election.leader;
    if (owner === null) return;
    this.heartbeatForwarder.onLeader(owner);
    const here = owner.node === this.settings.node;
    if (here ? this.leaderTerm !== null && this.mayCommand() : this.peers.connectedPeers.has(owner.node))
      this.heartbeatForwarder.resumeDeferred((r, answer, by) => this.report(r, answer, by));
  }

  // ---- users

  /** What to answer without looking at the request any further, when there is too much to do; null if it is served. */
  rejection(op: UserRequest['op']): UserResponse | null {
    return this.loadShedder.rejection(
      op,
      this.election.leader?.node ?? null,
      this.leaderTerm?.userRequests.backlogS ?? 0,
    );
  }

  private user(request: UserRequest, answer: (a: UserResponse) => void): void {
    const patience = request.op === 'status' ? STATUS_PATIENCE_MS : WRITE_PATIENCE_MS;
    const once = this.inTime(answer, patience);
    const id = request.op === 'submit' ? request.spec.id : request.id;
    const known = this.jobRecords.cachedFinalState(id);
    if (known !== null && known.kind === 'ended')
      return once(request.op === 'submit' ? { ...known, kind: 'known' } : known);
    if (this.tooEarlyForChains(request, once)) return;
    if (this.leaderTerm !== null && this.election.holdsLease)
      return this.serve(this.leaderTerm, request, once);
    this.giveUp(request);
    this.forward(request, once);
  }

  /**
   * Cut off from the state service, this node can't confirm a cancellation, but machines still follow it: what its user
   * has no use for any more ends now, and is marked when the record can be written, if this term still stands then.
   */
  private giveUp(request: UserRequest): void {
    if (request.op !== 'cancel' || this.leaderTerm === null || !this.leaderTerm.failover.isLoaded) return;
    const job = this.leaderTerm.jobs.openJobs.get(request.id);
    if (job !== undefined && !job.isCancelling && !job.isWritingRecord)
      this.leaderTerm.jobs.cancel(job, () => {});
  }

  /** An owner of an earlier version would start the job at once: while there may be one, none is accepted. */
  private tooEarlyForChains(request: UserRequest, answer: (a: UserResponse) => void): boolean {
    if (request.op !== 'submit' || request.spec.dependsOn === undefined) return false;
    if (this.peers.peersWithoutDependencies().length === 0) return false;
    const { id } = request.spec;
    const open = this.leaderTerm?.jobs.openJobs.has(id) ?? false;
    if (open) return false;
    this.jobRecords.readStatus(id, (a) => {
      if (a.kind === 'status' || a.kind === 'ended') answer({ kind: 'known', id, status: a.status });
      else answer(retryLater('not all controllers know of jobs that await others yet', 2));
    });
    return true;
  }

  /** Answers once, and at the latest after the given time, telling the user when to come back. */
  private inTime(answer: (a: UserResponse) => void, ms: number): (a: UserResponse) => void {
    const t: Timed = { answer, deadline: addMs(this.io.now, ms) };
    this.timed.add(t);
    return (a) => {
      if (!this.timed.delete(t)) return;
      this.jobRecords.cacheFinalState(a);
      answer(a);
    };
  }

  private expire(): void {
    for (const t of this.timed)
      if (this.io.now >= t.deadline) {
        this.timed.delete(t);
        t.answer(retryLater('no answer in time from within the service'));
      }
    for (const [id, f] of this.forwarded)
      if (this.io.now >= f.deadline) {
        this.forwarded.delete(id);
        this.withoutOwner(f.request, f.answer);
      }
  }

  private serve(share: LeaderTerm, request: UserRequest, answer: (a: UserResponse) => void): void {
    if (share.failover.isUnreadable) return answer(retryLater('a record on file cannot be read'));
    if (!share.failover.isLoaded) return this.withoutOwner(request, answer);
    if (request.op === 'submit') {
      if (this.loadShedder.isMemoryShort && share.userRequests.status(request.spec.id) === null)
        return answer(this.loadShedder.outOfMemoryResponse());
      return share.userRequests.submit(request.spec, answer);
    }
    const ending = share.jobs.openJobs.get(request.id);
    // Its end or its cancellation is on its way to the record: a moment later it is known.
    if (request.op === 'status' && ending?.terminalWrite?.progress === 'sent') {
      ending.afterEnd.push(() => {
        if (this.leaderTerm === share && this.election.holdsLease) this.serve(share, request, answer);
        else this.withoutOwner(request, answer);
      });
      return;
    }
    const known = share.userRequests.status(request.id);
    if (request.op === 'status')
      return known === null ? this.jobRecords.readStatus(request.id, answer) : answer(known);
    const job = share.jobs.openJobs.get(request.id);
    if (job !== undefined) share.jobs.cancel(job, answer);
    else if (known !== null) answer(known);
    else
      this.jobRecords.readStatus(request.id, (a) =>
        answer(a.kind === 'status' ? retryLater('the job is being accepted') : a),
      );
  }

  private forward(request: UserRequest, answer: (a: UserResponse) => void): void {
    const owner = this.otherOwner;
    if (owner === null || !this.peers.connectedPeers.has(owner.node))
      return this.withoutOwner(request, answer);
    const id = this.io.nextRequestId();
    this.forwarded.set(id, {
      request,
      answer,
      deadline: addMs(this.io.now, this.forwardMs(request.op, owner.node)),
    });
    this.io.emit({ kind: 'peer', node: owner.node, message: { kind: 'user-request', id, request } });
  }

  /**
   * How long the owner is given. One that has much to write, and says so, takes its time: a second record of the job
   * made here meanwhile would only fail its transaction, and all else that is in it.
   */
  private forwardMs(op: UserRequest['op'], owner: NodeId): number {
    if (op !== 'submit') return FORWARD_MS[op];
    return Math.min(FORWARD_MS.submit + this.loadShedder.slownessMs(owner), SERVE_MS.submit);
  }

  /** With no owner in reach, the record still tells a job's state, and new jobs can be put on it; only the owner changes them. */
  private withoutOwner(request: UserRequest, answer: (a: UserResponse) => void): void {
    if (request.op === 'status') this.jobRecords.readStatus(request.id, answer);
    else if (request.op === 'submit') this.fallbackAdmission.accept(request.spec, answer);
    else
      this.jobRecords.readStatus(request.id, (a) =>
        answer(a.kind === 'status' ? retryLater('no controller can take this at the moment') : a),
      );
  }

  private dropForwarded(node: NodeId): void {
    if (this.election.leader?.node !== node) return;
    for (const [id, f] of this.forwarded) {
      this.forwarded.delete(id);
      this.withoutOwner(f.request, f.answer);
    }
  }

  // ---- peers

  private greet(node: NodeId): void {
    const owner = this.election.term ?? 0;
    this.io.emit({
      kind: 'peer',
      node,
      message: {
        kind: 'hello',
        node: this.settings.node,
        leaderTerm: owner as never,
        supportsDependencies: true,
        supportsForwarding: true,
        supportsConfigDocuments: true,
      },
    });
  }

  private announce(): void {
    for (const node of this.peers.connectedPeers) this.greet(node);
  }

  private peer(node: NodeId, m: PeerMessage): void {
    this.heartbeatForwarder.recordPeerActivity(node);
    if (m.kind === 'hello') this.hello(m);
    else if (m.kind === 'load') {
      this.loadShedder.onPeerLoad(node, m);
      this.connectionBalancer.recordPeerWeight(node, m.workers);
      this.peers.onLoad(node, m.configRevision);
      this.election.observeLeader(node, m.leaderTerm);
      this.configuration.onRevisionSeen(m.configRevision);
    } else if (m.kind === 'forwarded-heartbeat') this.fronted(node, m.id, m.heartbeat);
    else if (m.kind === 'forwarded-heartbeat-response') this.heartbeatForwarder.onResponse(m.id, m.response);
    else if (m.kind === 'user-request') this.asked(node, m.id, m.request);
    else if (m.kind === 'user-response') this.replied(m.id, m.response);
    else if (m.kind === 'relayed-heartbeat') this.passedOn(node, m.id, m.heartbeat);
    else this.heartbeatRelay.onResponse(m.id, m.response);
  }

  private hello(hello: Extract<PeerMessage, { kind: 'hello' }>): void {
    const { node, leaderTerm } = hello;
    if (this.peers.onHello(hello))
      this.io.log('info', 'peer of an earlier version: jobs that await others are refused for now', { node });
    this.election.observeLeader(node, leaderTerm);
  }

  /** A report that came by way of another node is answered like one that came directly, or not at all. */
  private passedOn(node: NodeId, id: number, r: Heartbeat): void {
    const reply = (response: HeartbeatResponse | null) =>
      this.io.emit({ kind: 'peer', node, message: { kind: 'relayed-heartbeat-response', id, response } });
    if (this.leaderTerm === null) reply(null);
    else this.report(r, reply);
  }

  private fronted(node: NodeId, id: number, report: ForwardedHeartbeat): void {
    const reply = (response: ForwardedHeartbeatResponse) =>
      this.io.emit({ kind: 'peer', node, message: { kind: 'forwarded-heartbeat-response', id, response } });
    const token = report.kind === 'delta' ? report.fencingToken : report.heartbeat.fencingToken;
    if (this.outdated(token) || this.leaderTerm === null || !this.mayCommand()) reply(null);
    else this.leaderTerm.onForwardedHeartbeat(report, reply);
  }

  private asked(node: NodeId, id: number, request: UserRequest): void {
    const reply = (response: UserResponse | null) =>
      this.io.emit({ kind: 'peer', node, message: { kind: 'user-response', id, response } });
    if (this.leaderTerm === null || !this.election.holdsLease) {
      this.giveUp(request);
      return reply(null);
    }
    const once = this.inTime(reply, SERVE_MS[request.op]);
    if (!this.tooEarlyForChains(request, once)) this.serve(this.leaderTerm, request, once);
  }

  private replied(id: number, answer: UserResponse | null): void {
    const f = this.forwarded.get(id);
    if (f === undefined) return;
    this.forwarded.delete(id);
    if (answer === null || !isAbout(answer, f.request)) this.withoutOwner(f.request, f.answer);
    else f.answer(answer);
  }
}

/** An answer names its job; one about another belongs to a question of this node's former self. */
const isAbout = (a: UserResponse, r: UserRequest): boolean =>
  !('id' in a) || a.id === (r.op === 'submit' ? r.spec.id : r.id);
