// The local cluster's own HTTP interface: its state, descriptions of jobs, output of tasks, and faults.
import { readFileSync } from 'node:fs';
import { isJobId } from '../../../src/protocol/job.ts';
import type { TaskId } from '../../../src/types/index.ts';
import { errorResponse, type RequestHandler, type Respond } from './json-server.ts';
import { type Fault, readFault } from './options.ts';
import type { OutputStream } from './task-files.ts';
import type { JobDescription } from './task-run.ts';

/** A controller as the interface shows it. */
export interface ControllerView {
  name: string;
  addr: string;
  up: boolean;
}

/** What the interface shows of the cluster. */
export interface ClusterView {
  controllers: ControllerView[];
  /** Number of machines. */
  machines: number;
  /** Directory of the cluster. */
  dir: string;
}

/** The cluster behind the interface. */
export interface ControllableCluster {
  /** Its state. */
  view(): ClusterView;
  /** Makes a job known to the machines; calls back when that is durable. */
  describeJob(job: string, description: JobDescription, onDurable: () => void): void;
  /** The recorded output of a task; null if it was not started here. */
  logFile(task: TaskId, stream: OutputStream): string | null;
  /** Injects a fault, and says what was done; throws if it cannot be injected. */
  fault(fault: Fault): string;
}

/** Requests to the local cluster. */
export class ControlApi {
  /** `cluster`: what the interface shows and controls. */
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

/** A task without output yet has no file. */
function readOrEmpty(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch {
    return '';
  }
}
