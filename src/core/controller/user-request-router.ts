// Users' requests at any controller: served here by the leader, else forwarded to it, else served without
// one.
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

/** When a user is answered at the latest: clients give up questions after 2 s, submissions after 5 s. */
const RESPONSE_TIMEOUT_MS = { status: 1500, submit: 3500, cancel: 3500 };
/**
 * How long the leader may take for a forwarded request. A submission that it does not answer soon is accepted
 * here: at most one of the two records is made.
 */
const FORWARD_TIMEOUT_MS = { status: 700, submit: 150, cancel: 3000 };
/** When the leader answers a forwarded request at the latest. */
const SERVE_TIMEOUT_MS = { status: 600, submit: 2900, cancel: 2900 };
const UPGRADE_RETRY_S = 2;

/** What {@link UserRequestRouter} depends on. */
export interface UserRequestRouterDependencies {
  io: ControllerIo;
  leadership: Leadership;
  peers: PeerRegistry;
  loadShedder: LoadShedder;
  jobRecords: JobRecordReader;
  leaderRequests: LeaderRequests;
  leaderless: LeaderlessRequests;
}

/** Routes users' requests, and answers each of them once and in time. */
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
    const respondOnce = this.deadlines.within(RESPONSE_TIMEOUT_MS[request.op], respond);
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
   * A request that another controller has forwarded; a null response says that this one is not the leader.
   */
  onForwardedRequest(node: NodeId, id: number, request: UserRequest): void {
    const respond = (response: UserResponse | null) =>
      this.io.emit({ kind: 'peer', node, message: { kind: 'user-response', id, response } });
    const { currentTerm } = this.leadership;
    if (currentTerm === null) {
      this.leaderRequests.cancelUnconfirmed(request);
      return respond(null);
    }
    const respondOnce = this.deadlines.within(SERVE_TIMEOUT_MS[request.op], respond);
    if (this.refuseDependencies(request, respondOnce)) return;
    this.leaderRequests.serve(currentTerm, request, respondOnce);
  }

  /** The answer to a request that this controller has forwarded. */
  onForwardedResponse(id: number, response: UserResponse | null): void {
    const forwarded = this.forwardedRequests.get(id);
    if (forwarded === undefined) return;
    this.forwardedRequests.delete(id);
    if (response === null || !isAbout(response, forwarded.request)) this.serveWithoutLeader(forwarded);
    else forwarded.respond(response);
  }

  /** What was forwarded to a leader that is no longer connected will not be answered by it. */
  onPeerDisconnected(node: NodeId): void {
    if (this.leadership.election.leader?.node !== node) return;
    for (const [id, forwarded] of this.forwardedRequests) {
      this.forwardedRequests.delete(id);
      this.serveWithoutLeader(forwarded);
    }
  }

  /** Answers or serves otherwise what has waited for long enough. */
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
   * Whether the submission has dependencies while a controller of an earlier version, which would start the
   * job at once as the leader, may be connected. Such a job is not accepted; if it is known already, the
   * response is its status.
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
   * How long the leader may take. One that has much to write, and says so, is given more: a second record of
   * the job made here meanwhile would only fail its transaction, and all else that is in it.
   */
  private forwardTimeoutMs(op: UserRequest['op'], leader: NodeId): number {
    if (op !== 'submit') return FORWARD_TIMEOUT_MS[op];
    const timeoutMs = FORWARD_TIMEOUT_MS.submit + this.loadShedder.slownessMs(leader);
    return Math.min(timeoutMs, SERVE_TIMEOUT_MS.submit);
  }
}

const jobIdOf = (request: UserRequest) => (request.op === 'submit' ? request.spec.id : request.id);

/** A response names its job; one about another job answers a request from before this controller restarted. */
const isAbout = (response: UserResponse, request: UserRequest): boolean =>
  !('id' in response) || response.id === jobIdOf(request);
