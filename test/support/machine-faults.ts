// Injectors for faults of machines and of the delivery of their heartbeats.
import { type FaultInjectors, NO_RECOVERY, recoverAll } from './fault-injection.ts';

/** Duration of a machine's lease: machines that are cut off for longer lose their tasks. */
const LEASE_S = 10;
const LONGEST_HANG_S = 9;
/** Minimum delay of duplicated heartbeats, and the range of the random delay added to it. */
const LATE_HEARTBEAT_MS = 2000;
const LATE_HEARTBEAT_SPREAD_MS = 20_000;

/** Injectors by kind of fault. */
export const MACHINE_FAULTS: FaultInjectors<
  | 'late-reports'
  | 'deaf'
  | 'machine-cut'
  | 'held-up'
  | 'machine-hang'
  | 'machine-restart'
  | 'machine-die'
  | 'kept-reports'
  | 'mute'
> = {
  'late-reports': ({ run }, { share }) => {
    run.world.heartbeatCopyDelayMs = () =>
      run.occursWithProbability(share)
        ? LATE_HEARTBEAT_MS + run.random.below(LATE_HEARTBEAT_SPREAD_MS)
        : null;
    return () => {
      run.world.heartbeatCopyDelayMs = null;
    };
  },

  deaf: ({ run }, { count }) => {
    const ids = run.busyMachines(count);
    for (const id of ids) run.world.unreachableMachines.add(id);
    return () => {
      for (const id of ids) run.world.unreachableMachines.delete(id);
    };
  },

  'machine-cut': ({ run, observer }, { count, hold, forS }) => {
    const ids = run.busyMachines(count);
    if (forS > LEASE_S) observer.onMachinesLost(ids);
    return recoverAll(ids.map((id) => run.isolate(id, run.names, hold ? 'hold' : 'drop')));
  },

  'held-up': ({ run }, { count, ms }) => {
    const ids = run.busyMachines(count);
    for (const id of ids) run.world.extraLatencyMs.set(id, ms);
    return () => {
      for (const id of ids) run.world.extraLatencyMs.delete(id);
    };
  },

  'machine-hang': ({ run }, { count, forS }) => {
    const hangMs = Math.min(forS, LONGEST_HANG_S) * 1000;
    for (const id of run.busyMachines(count)) run.world.workers.get(id)!.hang(hangMs);
    return NO_RECOVERY;
  },

  'machine-restart': ({ run }, { count }) => {
    for (const id of run.busyMachines(count)) run.world.workers.get(id)!.restart();
    return NO_RECOVERY;
  },

  'machine-die': ({ run, observer }, { count }) => {
    const ids = run.busyMachines(count);
    observer.onMachinesLost(ids);
    for (const id of ids) run.world.workers.get(id)!.terminate();
    return NO_RECOVERY;
  },

  'kept-reports': ({ run }, { share, afterMs }) => {
    run.world.keptHeartbeatDelayMs = afterMs;
    // Only a fifth of the share is kept, because each kept heartbeat is delivered to every node.
    run.world.shouldKeepHeartbeat = () => run.random.below(1000) < share * 200;
    return () => {
      run.world.shouldKeepHeartbeat = null;
    };
  },

  mute: ({ run }, { count }) => {
    const ids = run.busyMachines(count);
    for (const id of ids) run.world.silencedMachines.add(id);
    run.met['mute-with-work'] += ids.length;
    return () => {
      for (const id of ids) run.world.silencedMachines.delete(id);
    };
  },
};
