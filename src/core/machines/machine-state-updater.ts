// What the parts of the machine table ask of the table itself.
import type { Machine } from './machine.ts';

/** Changes to a machine that concern more than one part of the machine table; `MachineTable` makes them. */
export interface MachineStateUpdater {
  /** Brings the sums and the capacity index up to date with the machine; due after every change to it. */
  updateIndexes(machine: Machine): void;
  /** No new work for the machine; what runs there goes on. The reason is shown to operators. */
  cordon(machine: Machine, reason: string): void;
}

/** Why machines are cordoned, as operators read it. */
export const CordonReason = {
  preemptionNotice: 'spot notice',
  silent: 'silent',
  failingTasks: 'fails what it starts',
} as const;
