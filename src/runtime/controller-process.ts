// Drives the core of one controller with sockets and timers.
import { build as buildHistogram } from 'hdr-histogram-js';
import type { Effect, Input } from '../core/base/io.ts';
import type {
  CloudReply,
  CloudRequest,
  Settings,
  StoreReply,
  StoreRequest,
  UserRequest,
  WorkerReply,
} from '../core/base/model.ts';
import { Controller } from '../core/controller.ts';
import type { SchedulerOptions } from '../core/scheduling/scheduler.ts';
import { HttpClient } from '../http/client.ts';
import type { HttpMessage } from '../http/parser.ts';
import { type Handler, type RequestClass, type ServerResponse, serveHttp } from '../http/server.ts';
import { WorkQueue } from '../http/work-queue.ts';
import { decodeCloudReply, encodeCloudRequest } from '../protocol/cloud.ts';
import { isJobId, parseJob } from '../protocol/job.ts';
import { InvalidMessageError } from '../protocol/json-fields.ts';
import { decodeStoreReply, encodeStoreRequest } from '../protocol/store.ts';
import { encodeUserResponse, errorResponse } from '../protocol/user-response.ts';
import { encodeCommands, encodeHeartbeatResponse, parseHeartbeat } from '../protocol/worker.ts';
import type { Instant, JobId, NodeId, WallTime } from '../types/index.ts';
import { splitAddress } from './address.ts';
import { HeapGovernor } from './heap-governor.ts';
import type { Log } from './log.ts';
import { PeerLinks } from './peer-links.ts';
import { seededRandom } from './random.ts';

const TICK_MS = 100;
const MAX_BODY = 64 * 1024;
const MAX_REPLY = 64 * 1024 * 1024;

export interface RunOptions {
  dispatch: SchedulerOptions;
  seed: number;
  log: Log;
}

export class ControllerProcess {
  private readonly core: Controller;
  private readonly state: HttpClient;
  private readonly holds: HttpClient;
  /** Watches block; they have connections of their own. */
  private readonly watches: HttpClient;
  private readonly cloud: HttpClient;
  private readonly answers = new Map<number, (reply: ServerResponse) => void>();
  private readonly peers: PeerLinks;
  private readonly log: Log;
  /** How late timers fire, in milliseconds. */
  private readonly lag = buildHistogram({ bitBucketSize: 16, numberOfSignificantValueDigits: 1 });
  private nextReq = 1;
  private readonly turns = new WorkQueue();
  private readonly heap: HeapGovernor;

  constructor(
    private readonly settings: Settings,
    options: RunOptions,
  ) {
    this.log = options.log;
    this.heap = new HeapGovernor(settings.ramMb);
    this.core = new Controller(settings, options.dispatch, seededRandom(options.seed));
    this.state = new HttpClient(settings.storeAddr, 4, MAX_REPLY);
    // Renewals that hang must not hold up what else is asked, nor the next renewal.
    this.holds = new HttpClient(settings.storeAddr, 5, MAX_REPLY);
    this.watches = new HttpClient(settings.storeAddr, 3, MAX_REPLY);
    this.cloud = new HttpClient(settings.cloudAddr, 3, MAX_REPLY);
    this.peers = new PeerLinks(
      settings,
      {
        up: (node) => this.step({ kind: 'peer-up', node }),
        down: (node) => this.step({ kind: 'peer-down', node }),
        message: (node, message) => this.step({ kind: 'peer', node: node as NodeId, message }),
      },
      this.turns,
      (e) => this.log('error', 'peer address cannot be used', { error: e.message }),
    );
    this.listen();
    let due = performance.now() + TICK_MS;
    setInterval(() => {
      const now = performance.now();
      this.lag.recordValue(Math.max(0, Math.round(now - due)));
      due = now + TICK_MS;
      this.step({ kind: 'tick', queuedMs: this.turns.ageMs, memory: this.heap.used(now) });
    }, TICK_MS);
    this.step({ kind: 'tick' });
  }

  private listen(): void {
    const { host, port } = splitAddress(this.settings.listen);
    // Some sockets are left for peers, the state service, the cloud and workers that are probed.
    const maxConnections = Math.max(16, Math.floor(this.settings.sockets * 0.85) - 40);
    const limits = { maxConnections, maxBody: MAX_BODY, requestMs: 10_000, idleMs: 60_000 };
    const listening = () => this.log('info', 'serving', { addr: this.settings.listen });
    const { server } = serveHttp({
      host,
      port,
      limits,
      handler: this.handle,
      onListening: listening,
      queue: this.turns,
      classify: glance,
    });
    server.on('error', (e) => {
      this.log('error', 'listening address cannot be used', { addr: this.settings.listen, error: e.message });
      process.exit(1);
    });
  }

  private step(input: Input): void {
    const effects = this.core.step(performance.now() as Instant, Date.now() as WallTime, input);
    for (const e of effects) this.carryOut(e);
  }

  private carryOut(e: Effect): void {
    switch (e.kind) {
      case 'user-response':
        return this.answer(e.requestId, encodeUserResponse(e.response));
      case 'heartbeat-response':
        return this.answer(e.requestId, encodeHeartbeatResponse(e.response));
      case 'store':
        return this.callState(e.tag, e.request, e.timeoutMs);
      case 'cloud':
        return this.callCloud(e.tag, e.request, e.timeoutMs);
      case 'probe':
        return this.probe(e);
      case 'peer':
        return this.peers.send(e.node, e.message);
      case 'log':
        return this.log(e.level, e.message, e.fields);
    }
  }

  private answer(req: number, reply: ServerResponse): void {
    const answer = this.answers.get(req);
    this.answers.delete(req);
    answer?.(reply);
  }

  // ---- outgoing

  private callState(tag: number, op: StoreRequest, timeoutMs: number): void {
    const forHold = op.kind === 'grant-lease' || op.kind === 'renew-lease' || op.kind === 'revoke-lease';
    const client = op.kind === 'watch' ? this.watches : forHold ? this.holds : this.state;
    client.call({ ...encodeStoreRequest(op), timeoutMs }, (r) => {
      const reply = decode<StoreReply>(r, (status, json) => decodeStoreReply(op, status, json));
      this.step({ kind: 'store', tag, reply });
    });
  }

  private callCloud(tag: number, op: CloudRequest, timeoutMs: number): void {
    this.cloud.call({ ...encodeCloudRequest(op), timeoutMs }, (r) => {
      const reply = decode<CloudReply>(r, (status, json) => decodeCloudReply(op, status, json));
      this.step({ kind: 'cloud', tag, reply });
    });
  }

  /** Raises a machine's token without commands; its report comes back with the answer. */
  private probe(e: Extract<Effect, { kind: 'probe' }>): void {
    const client = new HttpClient(e.addr, 1, MAX_REPLY);
    const body = encodeCommands(e.fencingToken, [], e.agentEpoch);
    client.call({ method: 'POST', path: '/orders', body, timeoutMs: e.timeoutMs }, (r) => {
      const reply = decode<WorkerReply>(r, (status, json) =>
        status === 200 || status === 409
          ? { kind: 'heartbeat', heartbeat: parseHeartbeat(json), executed: status === 200 }
          : { kind: 'no-answer' },
      );
      client.close();
      this.step({ kind: 'worker', tag: e.tag, reply });
    });
  }

  // ---- incoming

  private readonly handle: Handler = (request, answer) => {
    try {
      this.route(request, answer);
    } catch (e) {
      if (e instanceof InvalidMessageError) answer(errorResponse(400, e.message));
      else {
        this.log('error', 'request failed', { error: (e as Error).stack });
        answer(errorResponse(503, 'internal failure', 1));
      }
    }
  };

  private route(request: HttpMessage, answer: (r: ServerResponse) => void): void {
    const path = request.target.split('?', 1)[0]!;
    if (path === '/checkin') return this.only(request, 'POST', answer, () => this.onReport(request, answer));
    if (path === '/ready') return this.only(request, 'GET', answer, () => this.onReady(answer));
    if (path === '/status') return this.only(request, 'GET', answer, () => this.onStatus(answer));
    if (path === '/work') return this.only(request, 'POST', answer, () => this.onSubmit(request, answer));
    const parts = path.split('/');
    if (parts[1] !== 'work' || parts.length > 4) return answer(errorResponse(404, 'no such path'));
    const id = parts[2]!;
    if (parts.length === 3)
      return this.only(request, 'GET', answer, () => this.onJob({ op: 'status', id: id as JobId }, answer));
    if (parts[3] !== 'abort') return answer(errorResponse(404, 'no such path'));
    this.only(request, 'POST', answer, () => this.onJob({ op: 'cancel', id: id as JobId }, answer));
  }

  private only(
    request: HttpMessage,
    method: string,
    answer: (r: ServerResponse) => void,
    then: () => void,
  ): void {
    if (request.method === method) then();
    else answer(errorResponse(405, `use ${method}`));
  }

  private onReady(answer: (r: ServerResponse) => void): void {
    if (this.core.ready) answer({ status: 200, body: '{"ready":true}' });
    else answer(errorResponse(503, 'no controller owns the jobs yet', 1));
  }

  /** For operators, beside the users' interface: figures of this process and what its core knows. */
  private onStatus(answer: (r: ServerResponse) => void): void {
    const h = this.lag;
    const process_ = {
      requestsWaiting: this.turns.waiting,
      requestsDropped: this.turns.dropped,
      rssMb: Math.round(process.memoryUsage.rss() / 1e5) / 10,
      heapMb: Math.round(process.memoryUsage().heapUsed / 1e5) / 10,
      loopDelayMs: { p50: h.getValueAtPercentile(50), p99: h.getValueAtPercentile(99), max: h.maxValue },
    };
    answer({ status: 200, body: JSON.stringify({ ...this.core.describe(), process: process_ }) });
  }

  private register(answer: (r: ServerResponse) => void): number {
    const req = this.nextReq++;
    this.answers.set(req, answer);
    return req;
  }

  private onReport(request: HttpMessage, answer: (r: ServerResponse) => void): void {
    const heartbeat = parseHeartbeat(parseJson(request.body));
    this.step({ kind: 'heartbeat', requestId: this.register(answer), heartbeat });
  }

  /** Sent back before the body is looked at, when there is too much to do. */
  private shed(op: UserRequest['op'], answer: (r: ServerResponse) => void): boolean {
    const refused = this.core.rejection(op);
    if (refused !== null) answer(encodeUserResponse(refused));
    return refused !== null;
  }

  private onSubmit(request: HttpMessage, answer: (r: ServerResponse) => void): void {
    if (this.shed('submit', answer)) return;
    const spec = parseJob(parseJson(request.body));
    this.step({ kind: 'user', requestId: this.register(answer), request: { op: 'submit', spec } });
  }

  private onJob(request: UserRequest & { id: JobId }, answer: (r: ServerResponse) => void): void {
    if (!isJobId(request.id)) return answer(errorResponse(404, 'no such job'));
    if (this.shed(request.op, answer)) return;
    this.step({ kind: 'user', requestId: this.register(answer), request });
  }
}

/** Health checks, reports and cancellations go first, then submissions, then questions. */
function glance(bytes: Buffer): RequestClass {
  const line = bytes.toString('latin1', 0, 64);
  if (line.startsWith('POST /checkin')) return REPORT;
  if (line.startsWith('GET /ready')) return HEALTH;
  if (line.startsWith('GET /work')) return QUESTION;
  return line.startsWith('POST /work ') ? SUBMISSION : OTHER;
}
/** As long as the senders wait for an answer, less a little for its way. */
const REPORT: RequestClass = { urgency: 0, uselessAfterMs: 3800 };
/** Whoever asks this takes a node that is late for one that is gone, and asks seldom. */
const HEALTH: RequestClass = { urgency: 'now', uselessAfterMs: 1000 };
const OTHER: RequestClass = { urgency: 0, uselessAfterMs: 4800 };
const SUBMISSION: RequestClass = { urgency: 1, uselessAfterMs: 4800 };
const QUESTION: RequestClass = { urgency: 2, uselessAfterMs: 1900 };

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    throw new InvalidMessageError('the body is not JSON');
  }
}

function decode<T>(
  r: { status: number; body: Buffer } | null,
  read: (status: number, json: unknown) => T,
): T | { kind: 'no-answer' } {
  if (r === null) return { kind: 'no-answer' };
  try {
    return read(r.status, r.body.length === 0 ? {} : JSON.parse(r.body.toString('utf8')));
  } catch {
    return { kind: 'no-answer' };
  }
}
