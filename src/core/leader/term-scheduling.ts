// Creates the components that schedule tasks during a term, and connects them.
import type { MachineTypeName } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { MachineType, Settings } from '../base/model.ts';
import type { Machine } from '../machines/machine.ts';
import { BinPackingScorer } from '../scheduling/bin-packing.ts';
import { FairShare } from '../scheduling/fair-share.ts';
import { JobRanking } from '../scheduling/job-ranking.ts';
import { MachineSets } from '../scheduling/machine-sets.ts';
import { Preemption } from '../scheduling/preemption.ts';
import { Reservations } from '../scheduling/reservations.ts';
import { Scheduler, type SchedulerOptions } from '../scheduling/scheduler.ts';
import { WaitingJobReport } from '../scheduling/waiting-job-report.ts';
import type { RecoveryState } from './recovery-state.ts';
import type { TermAuthority } from './term-authority.ts';
import type { TermState } from './term-state.ts';

/** Dependencies of {@link createTermScheduling}. */
export interface TermSchedulingDependencies {
  io: ControllerIo;
  settings: Settings;
  options: SchedulerOptions;
  state: TermState;
  types: Map<MachineTypeName, MachineType>;
  recovery: RecoveryState;
  authority: TermAuthority;
  /** Seconds until a start command can be sent to the machine, in the response to its next heartbeat. */
  commandDelayS: (machine: Machine) => number;
}

/** The components that schedule tasks during a term. */
export interface TermScheduling {
  readonly binPacking: BinPackingScorer;
  readonly fairShare: FairShare;
  readonly scheduler: Scheduler;
  readonly waitingJobReport: WaitingJobReport;
}

/** Creates the scheduler of a new term with its dependencies. */
export function createTermScheduling(dependencies: TermSchedulingDependencies): TermScheduling {
  const { io, options, state } = dependencies;
  const { jobs, machines, capacityIndex, quota, estimates, attempts } = state;
  const binPacking = createBinPacking(dependencies);
  const fairShare = new FairShare(quota.usage);
  const ranking = createRanking(dependencies, fairShare);
  const preemption = createPreemption(dependencies);
  const reservations = new Reservations({
    io,
    machines,
    capacityIndex,
    binPacking,
    estimates,
    preemption,
  });
  const scheduler = new Scheduler({
    io,
    jobs,
    machines,
    capacityIndex,
    quota,
    ranking,
    fairShare,
    options,
    attempts,
    binPacking,
    reservations,
    preemption,
  });
  const { neededMachines } = state.autoscaler;
  const waitingJobReport = new WaitingJobReport({
    io,
    jobs,
    capacityIndex,
    quota,
    binPacking,
    reservations,
    neededMachines,
  });
  return { binPacking, fairShare, scheduler, waitingJobReport };
}

function createBinPacking({ state, types, commandDelayS }: TermSchedulingDependencies): BinPackingScorer {
  const { ordering } = state;
  return new BinPackingScorer(types, (jobClass) => ordering.shortestWaitS(jobClass), commandDelayS);
}

function createRanking({ io, state }: TermSchedulingDependencies, fairShare: FairShare): JobRanking {
  const { jobs, quota, ordering, estimates, capacityIndex, autoscaler } = state;
  const pendingCapacity = () => autoscaler.pendingCapacity;
  const machineSets = new MachineSets(capacityIndex, quota.usage, estimates, pendingCapacity);
  return new JobRanking({ io, jobs, quota, ordering, estimates, fairShare, machineSets });
}

/**
 * Tasks are preempted only while all machines are reconciled and the leader lease is held, as otherwise it is
 * not certain which tasks run on which machines.
 */
function createPreemption({ io, settings, recovery, authority }: TermSchedulingDependencies): Preemption {
  const mayPreempt = () => recovery.isComplete && authority.holdsLease();
  return new Preemption(io, settings.workers.heartbeatS, mayPreempt);
}
