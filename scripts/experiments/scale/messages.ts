// Messages between the processes of the scale experiment, over the IPC channel between parent and child.
import type { ServiceCounts } from '../../../packages/local-cluster/src/index.ts';
import type { LocalClusterOptions } from '../../../packages/local-cluster/src/options.ts';

/** A machine as the cloud rents it. */
export interface RentedMachine {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
}

/** Description of a job, as far as hosts need it to simulate its tasks. */
export interface JobDescription {
  id: string;
  kind: 'array' | 'gang' | 'service';
  tasks: number;
  cpus: number;
  gpus: number;
  memoryGb: number;
  runMs: number;
}

/**
 * `on`: the task was placed on a machine. `off`: it is certainly no longer there. `done`: it was completed;
 * sent before `off`.
 */
export type TaskEvent =
  | { at: number; kind: 'on'; task: string; machine: string }
  | { at: number; kind: 'off'; task: string; machine: string }
  | { at: number; kind: 'done'; task: string };

/** Counters of a host since its start. */
export interface HostCounts {
  workers: number;
  heartbeats: number;
  /** Bytes of heartbeats and their responses, headers included. */
  bytes: number;
  lostByLease: number;
}

/**
 * To the process with the key-value store and the cloud. `listening`: a worker accepts connections at `addr`.
 * `lost`: machines have failed.
 */
export type ToServices =
  | { kind: 'begin'; options: LocalClusterOptions }
  | { kind: 'listening'; id: string; addr: string }
  | { kind: 'lost'; ids: string[] }
  | { kind: 'outage'; seconds: number }
  | { kind: 'count' };

/**
 * From the process with the key-value store and the cloud. `ready`: addresses of both services. `rented`,
 * `boot` and `released`: the cloud has rented out, booted or released a machine.
 */
export type FromServices =
  | { kind: 'ready'; state: string; cloud: string }
  | { kind: 'rented'; machine: RentedMachine }
  | { kind: 'boot'; id: string }
  | { kind: 'released'; id: string }
  | { kind: 'counts'; counts: ServiceCounts };

/**
 * To a process that hosts simulated workers. `machine`: adds one, which is not booted. `die`: terminates one.
 * `restart`: restarts the agent of one. `cut`: disconnects a zone.
 */
export type ToHost =
  | { kind: 'begin'; options: LocalClusterOptions; nodes: { name: string; addr: string }[]; seed: number }
  | { kind: 'machine'; machine: RentedMachine }
  | { kind: 'boot'; id: string }
  | { kind: 'die'; id: string }
  | { kind: 'restart'; id: string }
  | { kind: 'cut'; zone: string; ms: number }
  | { kind: 'jobs'; jobs: JobDescription[] }
  | { kind: 'remove-jobs'; ids: string[] }
  /** `start`: all tasks of the attempt have joined the gang. `fail`: it has lost a task after its start. */
  | { kind: 'gang'; key: string; event: 'start' | 'fail' }
  | { kind: 'count' };

/** From a process that hosts simulated workers. */
export type FromHost =
  | { kind: 'ready' }
  | { kind: 'listening'; id: string; addr: string }
  | { kind: 'tasks'; events: TaskEvent[] }
  | { kind: 'gang'; key: string; task: string; tasks: number; event: 'joined' | 'left' }
  | { kind: 'counts'; counts: HostCounts };

/**
 * Ends this process when the channel to its parent closes, that is, when the parent ends for any reason.
 * Signals are ignored.
 */
export function endWithParent(): void {
  process.on('disconnect', () => process.exit(0));
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) process.on(signal, () => {});
}

/** Sends a message to the process that started this one. */
export function sendToParent<M extends { kind: string }>(message: M): void {
  process.send?.(message);
}
