// Machine types, and the requests and replies of the cloud API from which machines are rented.
import type { MachineId, MachineTypeName, ZoneName } from '../../types/index.ts';

/** A machine type that can be rented. */
export interface MachineType {
  name: MachineTypeName;
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** Size of the image cache. */
  cacheGb: number;
  /** Rate at which images are fetched. */
  fetchGbPerS: number;
  /** Price of a machine per unit of time. */
  price: number;
  /** Price of a spot machine per unit of time. */
  spotPrice: number;
  /** Seconds that a rented machine takes to boot. */
  bootS: number;
  /** Zones in which the type is offered. */
  zones: ZoneName[];
}

/** A machine in the cloud's list of rented machines. */
export interface ListedMachine {
  id: MachineId;
  addr: string;
  type: MachineTypeName;
  zone: ZoneName;
  spot: boolean;
  status: 'booting' | 'running' | 'failed';
  /** Seconds since the machine was rented. */
  ageS: number;
}

/** A request to the cloud. */
export type CloudRequest =
  | { kind: 'types' }
  /** `request`: idempotency key. */
  | { kind: 'rent'; request: string; type: MachineTypeName; zone: ZoneName; spot: boolean; count: number }
  | { kind: 'release'; machines: MachineId[] }
  /** Lists machines in the order of their ids, starting after the id `after`. */
  | { kind: 'list'; after: MachineId | null };

/** The cloud's reply; `no-answer` if there was none. */
export type CloudReply =
  | { kind: 'types'; types: MachineType[] }
  | { kind: 'rented'; machines: MachineId[] }
  | { kind: 'no-capacity' }
  | { kind: 'released' }
  /** `more`: the list continues after the last machine. */
  | { kind: 'listed'; machines: ListedMachine[]; more: boolean }
  /** Not executed. `busy`: the request rate was above the limit. */
  | { kind: 'refused'; busy: boolean }
  /** It is unknown whether the request was executed or still will be. */
  | { kind: 'no-answer' };
