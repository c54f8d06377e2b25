// Routes users' requests that reach this controller: served here if it is the leader, else forwarded to the
// leader, else served without a leader.
import { addMs, type Instant, type NodeId } from '../../types/index.ts';
import type { LoadShedder } from '../admission/load-shedder.ts';
import type { ControllerIo } from '../base/io.ts';
import type { UserRequest, UserResponse } from '../base/model.ts';
import { retryLater } from '../base/responses.ts';
import type { UserResponder } from '../leader/responders.ts';
import type { PeerRegistry } from '../membership/peer-registry.ts';
import type { JobRecordReader } from '../storage/job-record-reader.ts';
import type { LeaderRequests } from './leader-requests.ts';
import type { LeaderlessRequests } from './leaderless-requests.ts';
import type { Leadership } from './leadership.ts';
import { ResponseDeadlines } from './response-deadlines.ts';

interface ForwardedRequest {
  request: UserRequest;
  respond: UserResponder;
  deadline: Instant;
}

/** Deadline for the response to a user; clients give up after 2 s (status) or 5 s (submission). */
const RESPONSE_TIMEOUT_MS = { status: 1500, submit: 3500, cancel: 3500 };
/**
 * How long this controller waits for the leader's response to a forwarded request. After that a submission is
 * accepted here; if the leader accepts it as well, only one of the two records is written.
 */
const FORWARD_TIMEOUT_MS = { status: 700, submit: 150, cancel: 3000 };
/** Deadline for the leader's response to a request that another controller has forwarded. */
const SERVE_TIMEOUT_MS = { status: 600, submit: 2900, cancel: 2900 };
const UPGRADE_RETRY_S = 2;

/** Dependencies of {@link UserRequestRouter}. */
export interface UserRequestRouterDependencies {
  io: ControllerIo;
  leadership: Leadership;
  peers: PeerRegistry;
  loadShedder: LoadShedder;
  jobRecords: JobRecordReader;
  leaderRequests: LeaderRequests;
  leaderless: LeaderlessRequests;
}

/** Routes users' requests, and responds to each of them once and before its deadline. */
export class UserRequestRouter {
  private readonly io: ControllerIo;
  private readonly leadership: Leadership;
  private readonly peers: PeerRegistry;
  private readonly loadShedder: LoadShedder;
  private readonly jobRecords: JobRecordReader;
  private readonly leaderRequests: LeaderRequests;
  private readonly leaderless: LeaderlessRequests;
  private readonly deadlines: ResponseDeadlines;
  private readonly forwardedRequests = new Map<number, ForwardedRequest>();

  constructor(dependencies: UserRequestRouterDependencies) {
    this.io = dependencies.io;
    this.leadership = dependencies.leadership;
    this.peers = dependencies.peers;
    this.loadShedder = dependencies.loadShedder;
    this.jobRecords = dependencies.jobRecords;
    this.leaderRequests = dependencies.leaderRequests;
    this.leaderless = dependencies.leaderless;
    this.deadlines = new ResponseDeadlines(dependencies.io, dependencies.jobRecords);
  }

  /** A user's request to this controller. */
  onRequest(request: UserRequest, respond: UserResponder): void {
    const respondOnce = this.deadlines.withTimeout(RESPONSE_TIMEOUT_MS[request.op], respond);
    const finalState = this.jobRecords.cachedFinalState(jobIdOf(request));
    if (finalState !== null && finalState.kind === 'ended')
      return respondOnce(request.op === 'submit' ? { ...finalState, kind: 'known' } : finalState);
    if (this.refuseDependencies(request, respondOnce)) return;
    const { currentTerm } = this.leadership;
    if (currentTerm !== null) return this.leaderRequests.serve(currentTerm, request, respondOnce);
    this.leaderRequests.cancelUnconfirmed(request);
    this.forward(request, respondOnce);
  }

  /**
   * A request that another controller has forwarded; the response is null if this controller does not lead.
   */
  onForwardedRequest(node: NodeId, id: number, request: UserRequest): void {
    const respond = (response: UserResponse | null) =>
      this.io.emit({ kind: 'peer', node, message: { kind: 'user-response', id, response } });
    const { currentTerm } = this.leadership;
    if (currentTerm === null) {
      this.leaderRequests.cancelUnconfirmed(request);
      return respond(null);
    }
    const respondOnce = this.deadlines.withTimeout(SERVE_TIMEOUT_MS[request.op], respond);
    if (this.refuseDependencies(request, respondOnce)) return;
    this.leaderRequests.serve(currentTerm, request, respondOnce);
  }

  /** The response to a request that this controller has forwarded. */
  onForwardedResponse(id: number, response: UserResponse | null): void {
    const forwarded = this.forwardedRequests.get(id);
    if (forwarded === undefined) return;
    this.forwardedRequests.delete(id);
    if (response === null || !isResponseTo(response, forwarded.request)) this.serveWithoutLeader(forwarded);
    else forwarded.respond(response);
  }

  /** A disconnected leader will not respond to the forwarded requests: they are served without it. */
  onPeerDisconnected(node: NodeId): void {
    if (this.leadership.election.leader?.node !== node) return;
    for (const [id, forwarded] of this.forwardedRequests) {
      this.forwardedRequests.delete(id);
      this.serveWithoutLeader(forwarded);
    }
  }

  /**
   * Responds to requests whose deadline has passed, and serves overdue forwarded requests without the leader.
   */
  tick(): void {
    this.deadlines.tick();
    for (const [id, forwarded] of this.forwardedRequests) {
      if (this.io.now < forwarded.deadline) continue;
      this.forwardedRequests.delete(id);
      this.serveWithoutLeader(forwarded);
    }
  }

  private serveWithoutLeader({ request, respond }: ForwardedRequest): void {
    this.leaderless.serve(request, respond);
  }

  /**
   * Refuses a submission with dependencies while a controller of a version without them may be connected,
   * which as the leader would start the job at once. If the job was accepted before, the response is its
   * status. Returns whether the request has been handled here.
   */
  private refuseDependencies(request: UserRequest, respond: UserResponder): boolean {
    if (request.op !== 'submit' || request.spec.dependsOn === undefined) return false;
    if (this.peers.peersWithoutDependencies().length === 0) return false;
    const { id } = request.spec;
    if (this.leadership.leaderTerm?.jobs.openJobs.has(id)) return false;
    this.jobRecords.readStatus(id, (response) => {
      if (response.kind === 'status' || response.kind === 'ended')
        respond({ kind: 'known', id, status: response.status });
      else respond(retryLater('not all controllers know of jobs that await others yet', UPGRADE_RETRY_S));
    });
    return true;
  }

  private forward(request: UserRequest, respond: UserResponder): void {
    const leader = this.leadership.remoteLeader;
    if (leader === null || !this.peers.connectedPeers.has(leader.node))
      return this.leaderless.serve(request, respond);
    const id = this.io.nextRequestId();
    const deadline = addMs(this.io.now, this.forwardTimeoutMs(request.op, leader.node));
    this.forwardedRequests.set(id, { request, respond, deadline });
    this.io.emit({ kind: 'peer', node: leader.node, message: { kind: 'user-request', id, request } });
  }

  /**
   * How long to wait for the leader's response. A leader that reports a long write backlog is given more
   * time: a record of the same job written here meanwhile would make the leader's whole transaction fail,
   * with all other writes in it.
   */
  private forwardTimeoutMs(op: UserRequest['op'], leader: NodeId): number {
    if (op !== 'submit') return FORWARD_TIMEOUT_MS[op];
    const timeoutMs = FORWARD_TIMEOUT_MS.submit + this.loadShedder.extraTimeoutMs(leader);
    return Math.min(timeoutMs, SERVE_TIMEOUT_MS.submit);
  }
}

const jobIdOf = (request: UserRequest) => (request.op === 'submit' ? request.spec.id : request.id);

/**
 * A response names its job; one for another job belongs to a request sent before this controller restarted.
 */
const isResponseTo = (response: UserResponse, request: UserRequest): boolean =>
  !('id' in response) || response.id === jobIdOf(request);
