// The local cluster's own HTTP API: cluster state, job descriptions, task output and fault injection.
import { readFileSync } from 'node:fs';
import { isJobId } from '../../../src/protocol/job.ts';
import type { TaskId } from '../../../src/types/index.ts';
import { errorResponse, type RequestHandler, type Respond } from './json-server.ts';
import { type Fault, readFault } from './options.ts';
import type { OutputStream } from './task-files.ts';
import type { JobDescription } from './task-run.ts';

/** The state of a controller in API responses. */
export interface ControllerView {
  name: string;
  addr: string;
  up: boolean;
}

/** The state of the cluster in API responses. */
export interface ClusterView {
  controllers: ControllerView[];
  /** Number of machines. */
  machines: number;
  /** Directory of the cluster's settings, logs and task files. */
  dir: string;
}

/** The operations of the cluster that the API exposes. */
export interface ControllableCluster {
  /** Returns the state of the cluster. */
  view(): ClusterView;
  /** Registers the description of a job; `onDurable` is called when it is on disk. */
  describeJob(job: string, description: JobDescription, onDurable: () => void): void;
  /** Path of a task's recorded output; null if the task was not started in this cluster. */
  logFile(task: TaskId, stream: OutputStream): string | null;
  /** Injects a fault, and returns a sentence that describes the effect; throws if it cannot be injected. */
  fault(fault: Fault): string;
}

/** Request handler of the local cluster's HTTP API. */
export class ControlApi {
  constructor(private readonly cluster: ControllableCluster) {}

  /** Handles a request; paths are `/lab`, `/jobs/ID`, `/logs/ID/INDEX[?stderr]` and `/faults`. */
  readonly serve: RequestHandler = (method, path, body, respond) => {
    const [, resource, id = '', index = '0'] = path.split('?', 1)[0]!.split('/');
    if (method === 'GET' && resource === 'lab') return respondJson(respond, this.cluster.view());
    if (method === 'PUT' && resource === 'jobs' && isJobId(id))
      return this.cluster.describeJob(id, body as JobDescription, () => respondJson(respond, {}));
    if (method === 'GET' && resource === 'logs' && isJobId(id)) {
      const stream = path.endsWith('?stderr') ? 'stderr' : 'stdout';
      return this.serveLog(`${id}/${index}` as TaskId, stream, respond);
    }
    if (method === 'POST' && resource === 'faults') return this.serveFault(body, respond);
    respond(errorResponse(404, 'no such path'));
  };

  private serveLog(task: TaskId, stream: OutputStream, respond: Respond): void {
    const file = this.cluster.logFile(task, stream);
    if (file === null) return respond(errorResponse(404, 'this task was not started here'));
    respondJson(respond, { text: readOrEmpty(file) });
  }

  private serveFault(body: unknown, respond: Respond): void {
    let done: string;
    try {
      done = this.cluster.fault(readFault('fault', body));
    } catch (error) {
      return respond(errorResponse(400, (error as Error).message));
    }
    respondJson(respond, { done });
  }
}

const respondJson = (respond: Respond, value: unknown): void =>
  respond({ status: 200, body: JSON.stringify(value) });

/** Reads a file; returns an empty text if it is missing, as for a task that has written no output yet. */
function readOrEmpty(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch {
    return '';
  }
}
