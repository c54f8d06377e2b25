// The stored form of registered machines, under keys that begin with `m/`: many machines share one record, a
// line each.
import type { MachineId, TypeName, ZoneName } from '../../types/index.ts';
import type { Machine } from './machine.ts';

/** Prefix of the keys of machine records. */
export const MACHINE_PREFIX = 'm/';

/** A machine as it is registered: all that the next leader needs to ask for it. */
export interface RegisteredMachine {
  id: MachineId;
  type: TypeName;
  zone: ZoneName;
  spot: boolean;
}

/** A machine as it is stored: id, type, zone, and 1 if it is a spot instance. */
export type MachineRecordLine = [MachineId, TypeName, ZoneName, 0 | 1];

/** A machine record as it is stored, without the fields that all shared records have. */
export interface MachineRecordValue extends Record<string, unknown> {
  m: MachineRecordLine[];
}

/** The stored line of a machine. */
export const encodeMachineLine = (machine: Machine): MachineRecordLine => [
  machine.id,
  machine.type.name,
  machine.zone,
  machine.spot ? 1 : 0,
];

/** The machine that a stored line names. */
export function decodeMachineLine([id, type, zone, spot]: MachineRecordLine): RegisteredMachine {
  return { id, type, zone, spot: spot === 1 };
}

/** The stored value of a record with these lines. */
export const encodeMachineRecord = (lines: MachineRecordLine[]): MachineRecordValue => ({ m: lines });

/** The lines of a stored record; its version has been checked by the caller. */
export const decodeMachineRecord = (value: unknown): MachineRecordLine[] => (value as MachineRecordValue).m;
