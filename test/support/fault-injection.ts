// Types and helpers of fault injectors, which begin and end the faults of a history in a simulated world.
import type { FaultObserver } from './fault-observer.ts';
import type { Fault, FaultOf } from './history-model.ts';
import type { HistoryRun } from './history-run.ts';
import type { HistoryUsers } from './history-users.ts';
import type { Operator } from './operator.ts';

/** The objects that fault injectors act on. */
export interface FaultTargets {
  readonly run: HistoryRun;
  readonly users: HistoryUsers;
  readonly observer: FaultObserver;
  readonly operator: Operator;
}

/** Ends a fault. */
export type Recovery = () => void;

/** Begins a fault; the returned function is called when the fault ends. */
export type FaultInjector<K extends Fault['kind']> = (targets: FaultTargets, fault: FaultOf<K>) => Recovery;

/** One injector for each of the kinds `K`. */
export type FaultInjectors<K extends Fault['kind']> = { readonly [Kind in K]: FaultInjector<Kind> };

/** The recovery of a fault that ends by itself. */
export const NO_RECOVERY: Recovery = () => {};

/** Combines several recoveries into one. */
export const recoverAll =
  (recoveries: readonly Recovery[]): Recovery =>
  () => {
    for (const recover of recoveries) recover();
  };
