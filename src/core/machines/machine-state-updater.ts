// Interface for updates of a machine by the components of the machine table; reasons for cordoning machines.
import type { Machine } from './machine.ts';

/** Changes to a machine that affect several components of the table; implemented by `MachineTable`. */
export interface MachineStateUpdater {
  /** Updates the sums and the capacity index for the machine; must be called after every change to it. */
  updateIndexes(machine: Machine): void;
  /** Excludes the machine from new work; its running tasks continue. The reason is shown to operators. */
  cordon(machine: Machine, reason: string): void;
}

/** Reasons for cordoning machines, as shown to operators. */
export const CordonReason = {
  preemptionNotice: 'spot notice',
  silent: 'silent',
  failingTasks: 'fails what it starts',
} as const;
