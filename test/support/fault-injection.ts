// Faults of a history as they begin and end in a simulated world, by the kind of fault.
import type { FaultObserver } from './fault-observer.ts';
import type { Fault, FaultOf } from './history-model.ts';
import type { HistoryRun } from './history-run.ts';
import type { HistoryUsers } from './history-users.ts';
import type { Operator } from './operator.ts';

/** What faults act on. */
export interface FaultTargets {
  readonly run: HistoryRun;
  readonly users: HistoryUsers;
  readonly observer: FaultObserver;
  readonly operator: Operator;
}

/** Ends a fault. */
export type Recovery = () => void;

/** Begins a fault; what it returns is called when the fault is over. */
export type FaultInjector<K extends Fault['kind']> = (targets: FaultTargets, fault: FaultOf<K>) => Recovery;

/** An injector for each of some kinds of fault. */
export type FaultInjectors<K extends Fault['kind']> = { readonly [Kind in K]: FaultInjector<Kind> };

/** The recovery of a fault that is over by itself. */
export const NO_RECOVERY: Recovery = () => {};

/** Calls each of several recoveries. */
export const recoverAll =
  (recoveries: readonly Recovery[]): Recovery =>
  () => {
    for (const recover of recoveries) recover();
  };
