// Machine types, and requests to the cloud from which machines are rented.
import type { MachineId, TypeName, ZoneName } from '../../types/index.ts';

/** A type of machines that can be rented. */
export interface MachineType {
  name: TypeName;
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** Size of the image cache. */
  cacheGb: number;
  /** Rate at which images are fetched. */
  fetchGbPerS: number;
  /** Price of a machine for a unit of time, and of a spot machine. */
  price: number;
  spotPrice: number;
  /** Time that a rented machine takes to boot. */
  bootS: number;
  /** Zones in which it is offered. */
  zones: ZoneName[];
}

/** A rented machine in the cloud's list. */
export interface ListedMachine {
  id: MachineId;
  addr: string;
  type: TypeName;
  zone: ZoneName;
  spot: boolean;
  status: 'booting' | 'running' | 'failed';
  /** Seconds since it was rented. */
  ageS: number;
}

/** A request to the cloud. */
export type CloudRequest =
  | { kind: 'types' }
  /** `request`: idempotency key. */
  | { kind: 'rent'; request: string; type: TypeName; zone: ZoneName; spot: boolean; count: number }
  | { kind: 'release'; machines: MachineId[] }
  /** Machines in the order of their ids, from the first after `after` on. */
  | { kind: 'list'; after: MachineId | null };

/** The cloud's reply, or what is known without one. */
export type CloudReply =
  | { kind: 'types'; types: MachineType[] }
  | { kind: 'rented'; machines: MachineId[] }
  | { kind: 'no-capacity' }
  | { kind: 'released' }
  /** `more`: the list goes on after the last machine. */
  | { kind: 'listed'; machines: ListedMachine[]; more: boolean }
  /** Not executed. `busy`: there were too many requests. */
  | { kind: 'refused'; busy: boolean }
  /** May have been executed, or may yet be. */
  | { kind: 'no-answer' };
