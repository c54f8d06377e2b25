// Routes HTTP requests of workers, users and operators to the core.
import type { Input } from '../core/base/io.ts';
import type { UserRequest, UserResponse } from '../core/base/model.ts';
import type { HttpMessage } from '../http/parser.ts';
import type { Respond } from '../http/server.ts';
import { isJobId, parseJob } from '../protocol/job.ts';
import { InvalidMessageError } from '../protocol/json-fields.ts';
import { encodeUserResponse, errorResponse } from '../protocol/user-response.ts';
import { parseHeartbeat } from '../protocol/worker.ts';
import type { JobId } from '../types/index.ts';
import type { Log } from './log.ts';
import type { PendingResponses } from './pending-responses.ts';

/** What the router asks of the core. */
export interface RoutedController {
  /** Whether users' requests can be served. */
  readonly ready: boolean;
  /** The response to a request that is to be shed under load, before its body is read; null to go on. */
  rejection(op: UserRequest['op']): UserResponse | null;
  /** What the core knows, for operators. */
  describe(): object;
}

/** What a `RequestRouter` depends on. */
export interface RequestRouterDependencies {
  controller: RoutedController;
  responses: PendingResponses;
  /** Feeds an input to the core. */
  step: (input: Input) => void;
  /** Figures of the process, for operators. */
  processStatus: () => object;
  log: Log;
}

type JobRequest = Exclude<UserRequest, { op: 'submit' }>;

/** Seconds after which a caller may come again. */
const RETRY_AFTER_S = 1;

/** Answers the requests of the HTTP server. */
export class RequestRouter {
  constructor(private readonly dependencies: RequestRouterDependencies) {}

  /** Answers a request, at once or when the core does. */
  handle(request: HttpMessage, respond: Respond): void {
    try {
      this.route(request, respond);
    } catch (error) {
      if (error instanceof InvalidMessageError) {
        respond(errorResponse(400, error.message));
        return;
      }
      this.dependencies.log('error', 'request failed', { error: (error as Error).stack });
      respond(errorResponse(503, 'internal failure', RETRY_AFTER_S));
    }
  }

  private route(request: HttpMessage, respond: Respond): void {
    const path = request.target.split('?', 1)[0]!;
    switch (path) {
      case '/checkin':
        if (allows(request, 'POST', respond)) this.onHeartbeat(request, respond);
        return;
      case '/ready':
        if (allows(request, 'GET', respond)) this.onReady(respond);
        return;
      case '/status':
        if (allows(request, 'GET', respond)) this.onStatus(respond);
        return;
      case '/work':
        if (allows(request, 'POST', respond)) this.onSubmit(request, respond);
        return;
      default:
        this.routeJob(request, path.split('/'), respond);
    }
  }

  /** `/work/ID` and `/work/ID/abort`; `segments` begin with an empty one. */
  private routeJob(request: HttpMessage, segments: string[], respond: Respond): void {
    const [, collection, job, action] = segments;
    const id = job as JobId;
    if (collection !== 'work' || segments.length > 4) {
      respond(errorResponse(404, 'no such path'));
    } else if (segments.length === 3) {
      if (allows(request, 'GET', respond)) this.onJobRequest({ op: 'status', id }, respond);
    } else if (action !== 'abort') {
      respond(errorResponse(404, 'no such path'));
    } else if (allows(request, 'POST', respond)) {
      this.onJobRequest({ op: 'cancel', id }, respond);
    }
  }

  private onReady(respond: Respond): void {
    if (this.dependencies.controller.ready) respond({ status: 200, body: '{"ready":true}' });
    else respond(errorResponse(503, 'no controller owns the jobs yet', RETRY_AFTER_S));
  }

  /** For operators: what the core knows, and figures of the process. */
  private onStatus(respond: Respond): void {
    const { controller, processStatus } = this.dependencies;
    respond({ status: 200, body: JSON.stringify({ ...controller.describe(), process: processStatus() }) });
  }

  private onHeartbeat(request: HttpMessage, respond: Respond): void {
    const { responses, step } = this.dependencies;
    const heartbeat = parseHeartbeat(parseBody(request.body));
    step({ kind: 'heartbeat', requestId: responses.add(respond), heartbeat });
  }

  private onSubmit(request: HttpMessage, respond: Respond): void {
    if (this.isShed('submit', respond)) return;
    const spec = parseJob(parseBody(request.body));
    this.ask({ op: 'submit', spec }, respond);
  }

  private onJobRequest(request: JobRequest, respond: Respond): void {
    if (!isJobId(request.id)) {
      respond(errorResponse(404, 'no such job'));
      return;
    }
    if (!this.isShed(request.op, respond)) this.ask(request, respond);
  }

  private ask(request: UserRequest, respond: Respond): void {
    const { responses, step } = this.dependencies;
    step({ kind: 'user', requestId: responses.add(respond), request });
  }

  /** Whether the request was refused because of the load. */
  private isShed(op: UserRequest['op'], respond: Respond): boolean {
    const rejection = this.dependencies.controller.rejection(op);
    if (rejection !== null) respond(encodeUserResponse(rejection));
    return rejection !== null;
  }
}

/** Whether the request has this method; refuses it otherwise. */
function allows(request: HttpMessage, method: string, respond: Respond): boolean {
  if (request.method === method) return true;
  respond(errorResponse(405, `use ${method}`));
  return false;
}

function parseBody(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch (cause) {
    throw new InvalidMessageError('the body is not JSON', { cause });
  }
}
