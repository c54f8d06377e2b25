// Routes HTTP requests of workers, users and operators to the core.
import type { Input } from '../core/base/io.ts';
import { MAX_HEARTBEAT_BYTES, MAX_MESSAGE_BYTES } from '../core/base/message-size.ts';
import type { Heartbeat, UserRequest, UserResponse } from '../core/base/model.ts';
import type { HttpMessage } from '../http/parser.ts';
import type { RequestRefusal, Respond } from '../http/server.ts';
import { isJobId, parseJob } from '../protocol/job.ts';
import { InvalidMessageError } from '../protocol/json-fields.ts';
import { encodeUserResponse, errorResponse } from '../protocol/user-response.ts';
import { parseHeartbeat } from '../protocol/worker.ts';
import { parseJson, stringifyJson } from '../types/exact-json.ts';
import type { JobId } from '../types/index.ts';
import type { InvalidMessageLog } from './invalid-message-log.ts';
import type { Log } from './log.ts';
import type { PendingResponses } from './pending-responses.ts';

/** The interface of the core that the router uses. */
export interface RoutedController {
  /** Whether the service can process users' requests. */
  readonly ready: boolean;
  /**
   * The response that sheds a request under overload, before its body is parsed; null to process the request.
   */
  rejection(op: UserRequest['op']): UserResponse | null;
  /** The status of the core, for operators. */
  describe(): object;
}

/** Dependencies of a `RequestRouter`. */
export interface RequestRouterDependencies {
  controller: RoutedController;
  responses: PendingResponses;
  /** Feeds an input to the core. */
  step: (input: Input) => void;
  /** Measurements of the process, for operators. */
  processStatus: () => object;
  log: Log;
  invalidMessages: InvalidMessageLog;
}

type JobRequest = Exclude<UserRequest, { op: 'submit' }>;

const HEARTBEAT_PATH = '/checkin';
/** Seconds after which a client may retry. */
const RETRY_AFTER_S = 1;

/** Handles the requests of the HTTP server. */
export class RequestRouter {
  constructor(private readonly dependencies: RequestRouterDependencies) {}

  /** Responds to a request, immediately or when the core does. */
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

  /** Logs a request that the server has refused; its sender may not say so. */
  onRefused({ status, reason, target }: RequestRefusal): void {
    const source = target !== null && pathOf(target) === HEARTBEAT_PATH ? 'worker heartbeat' : 'request';
    this.dependencies.invalidMessages.record(source, new InvalidMessageError(`${status} ${reason}`));
  }

  private route(request: HttpMessage, respond: Respond): void {
    const path = pathOf(request.target);
    switch (path) {
      case HEARTBEAT_PATH:
        if (requireMethod(request, 'POST', respond)) this.onHeartbeat(request, respond);
        return;
      case '/ready':
        if (requireMethod(request, 'GET', respond)) this.onReady(respond);
        return;
      case '/status':
        if (requireMethod(request, 'GET', respond)) this.onStatus(respond);
        return;
      case '/work':
        if (requireMethod(request, 'POST', respond)) this.onSubmit(request, respond);
        return;
      default:
        this.routeJob(request, path.split('/'), respond);
    }
  }

  /** Routes `/work/ID` and `/work/ID/abort`; the first of `segments` is empty. */
  private routeJob(request: HttpMessage, segments: string[], respond: Respond): void {
    const [, collection, job, action] = segments;
    const id = job as JobId;
    if (collection !== 'work' || segments.length > 4) {
      respond(errorResponse(404, 'no such path'));
    } else if (segments.length === 3) {
      if (requireMethod(request, 'GET', respond)) this.onJobRequest({ op: 'status', id }, respond);
    } else if (action !== 'abort') {
      respond(errorResponse(404, 'no such path'));
    } else if (requireMethod(request, 'POST', respond)) {
      this.onJobRequest({ op: 'cancel', id }, respond);
    }
  }

  private onReady(respond: Respond): void {
    if (this.dependencies.controller.ready) respond({ status: 200, body: '{"ready":true}' });
    else respond(errorResponse(503, 'no controller owns the jobs yet', RETRY_AFTER_S));
  }

  /** Responds with the status of the core and measurements of the process, for operators. */
  private onStatus(respond: Respond): void {
    const { controller, processStatus } = this.dependencies;
    respond({ status: 200, body: stringifyJson({ ...controller.describe(), process: processStatus() }) });
  }

  private onHeartbeat(request: HttpMessage, respond: Respond): void {
    const { responses, step } = this.dependencies;
    const heartbeat = this.decodeHeartbeat(request.body);
    step({ kind: 'heartbeat', requestId: responses.add(respond), heartbeat });
  }

  /** Decodes a heartbeat; an invalid one is logged, as its worker cannot do more than repeat it. */
  private decodeHeartbeat(body: Buffer): Heartbeat {
    try {
      return parseHeartbeat(parseBody(body));
    } catch (error) {
      this.dependencies.invalidMessages.record('worker heartbeat', error);
      throw error;
    }
  }

  private onSubmit(request: HttpMessage, respond: Respond): void {
    if (this.rejectsUnderLoad('submit', respond)) return;
    const spec = parseJob(parseBody(request.body));
    this.forwardToCore({ op: 'submit', spec }, respond);
  }

  private onJobRequest(request: JobRequest, respond: Respond): void {
    if (!isJobId(request.id)) {
      respond(errorResponse(404, 'no such job'));
      return;
    }
    if (!this.rejectsUnderLoad(request.op, respond)) this.forwardToCore(request, respond);
  }

  private forwardToCore(request: UserRequest, respond: Respond): void {
    const { responses, step } = this.dependencies;
    step({ kind: 'user', requestId: responses.add(respond), request });
  }

  /** Responds with a rejection and returns true if the request is to be shed because of overload. */
  private rejectsUnderLoad(op: UserRequest['op'], respond: Respond): boolean {
    const rejection = this.dependencies.controller.rejection(op);
    if (rejection !== null) respond(encodeUserResponse(rejection));
    return rejection !== null;
  }
}

/** Largest body of a request with this target, in bytes. */
export const maxBodyBytes = (target: string): number =>
  pathOf(target) === HEARTBEAT_PATH ? MAX_HEARTBEAT_BYTES : MAX_MESSAGE_BYTES;

const pathOf = (target: string): string => target.split('?', 1)[0]!;

/** Returns true if the request has this method; otherwise responds with 405 and returns false. */
function requireMethod(request: HttpMessage, method: string, respond: Respond): boolean {
  if (request.method === method) return true;
  respond(errorResponse(405, `use ${method}`));
  return false;
}

function parseBody(body: Buffer): unknown {
  try {
    return parseJson(body.toString('utf8'));
  } catch (cause) {
    throw new InvalidMessageError('the body is not JSON', { cause });
  }
}
