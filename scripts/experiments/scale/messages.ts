// The messages between the processes of the scale experiment, over the channel between parent and child.
import type { ServiceCounts } from '../../../packages/local-cluster/src/index.ts';
import type { LocalClusterOptions } from '../../../packages/local-cluster/src/options.ts';

/** A machine as the cloud rents it. */
export interface RentedMachine {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
}

/** What the tasks of a job are like. */
export interface JobDescription {
  id: string;
  kind: 'array' | 'gang' | 'service';
  tasks: number;
  cpus: number;
  gpus: number;
  memoryGb: number;
  runMs: number;
}

/** `on`: put on a machine. `off`: certainly gone from it. `done`: completed there, before it is gone. */
export type TaskEvent =
  | { at: number; kind: 'on'; task: string; machine: string }
  | { at: number; kind: 'off'; task: string; machine: string }
  | { at: number; kind: 'done'; task: string };

/** What a host has counted since it began. */
export interface HostCounts {
  workers: number;
  heartbeats: number;
  /** Of heartbeats and their responses, bodies and heads. */
  bytes: number;
  lostByLease: number;
}

/** To the process with the key-value store and the cloud. */
export type ToServices =
  | { kind: 'begin'; options: LocalClusterOptions }
  | { kind: 'listening'; id: string; addr: string }
  | { kind: 'lost'; ids: string[] }
  | { kind: 'outage'; seconds: number }
  | { kind: 'count' };

/** From the process with the key-value store and the cloud. */
export type FromServices =
  | { kind: 'ready'; state: string; cloud: string }
  | { kind: 'rented'; machine: RentedMachine }
  | { kind: 'boot'; id: string }
  | { kind: 'released'; id: string }
  | { kind: 'counts'; counts: ServiceCounts };

/** To a process that hosts simulated workers. */
export type ToHost =
  | { kind: 'begin'; options: LocalClusterOptions; nodes: { name: string; addr: string }[]; seed: number }
  | { kind: 'machine'; machine: RentedMachine }
  | { kind: 'boot'; id: string }
  | { kind: 'die'; id: string }
  | { kind: 'restart'; id: string }
  | { kind: 'cut'; zone: string; ms: number }
  | { kind: 'jobs'; jobs: JobDescription[] }
  | { kind: 'forget-jobs'; ids: string[] }
  /** All tasks of the attempt are there; or it has lost one after it began. */
  | { kind: 'gang'; key: string; what: 'start' | 'fail' }
  | { kind: 'count' };

/** From a process that hosts simulated workers. */
export type FromHost =
  | { kind: 'ready' }
  | { kind: 'listening'; id: string; addr: string }
  | { kind: 'tasks'; events: TaskEvent[] }
  | { kind: 'gang'; key: string; task: string; tasks: number; what: 'joined' | 'left' }
  | { kind: 'counts'; counts: HostCounts };

/** Ends this process with the one that started it, however that went. */
export function endWithParent(): void {
  process.on('disconnect', () => process.exit(0));
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) process.on(signal, () => {});
}

/** Sends a message to the process that started this one. */
export function sendToParent<M extends { kind: string }>(message: M): void {
  process.send?.(message);
}
