// Encodes and decodes the stored records of registered machines, under keys that begin with `m/`. A record
// has one line for each of its machines.
import type { MachineId, MachineTypeName, ZoneName } from '../../types/index.ts';
import type { Machine } from './machine.ts';

/** Prefix of the keys of machine records. */
export const MACHINE_PREFIX = 'm/';

/** A registered machine: the fields that the next leader needs to reconcile it. */
export interface RegisteredMachine {
  id: MachineId;
  type: MachineTypeName;
  zone: ZoneName;
  spot: boolean;
}

/** A stored machine: id, type, zone, and 1 if it is a spot instance, else 0. */
export type MachineRecordLine = [MachineId, MachineTypeName, ZoneName, 0 | 1];

/** A stored machine record, without the fields that all shared records have. */
export interface MachineRecordValue extends Record<string, unknown> {
  m: MachineRecordLine[];
}

/** Encodes a machine as a line of a record. */
export const encodeMachineLine = (machine: Machine): MachineRecordLine => [
  machine.id,
  machine.type.name,
  machine.zone,
  machine.spot ? 1 : 0,
];

/** Decodes a line of a record. */
export function decodeMachineLine([id, type, zone, spot]: MachineRecordLine): RegisteredMachine {
  return { id, type, zone, spot: spot === 1 };
}

/** Encodes the stored value of a record. */
export const encodeMachineRecord = (lines: MachineRecordLine[]): MachineRecordValue => ({ m: lines });

/** Decodes the stored value of a record; the caller has checked its version. */
export const decodeMachineRecord = (value: unknown): MachineRecordLine[] => (value as MachineRecordValue).m;
