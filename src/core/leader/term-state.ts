// In-memory state of a leader during a term: jobs, machines, teams' usage, and the writer that persists
// changes.
import type { Revision } from '../../types/index.ts';
import { Autoscaler } from '../autoscaling/autoscaler.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Settings } from '../base/model.ts';
import type { Configuration } from '../configuration/configuration.ts';
import { ArrayProgress } from '../jobs/array-progress.ts';
import { JobOrdering, RuntimeEstimates } from '../jobs/job-ordering.ts';
import { JobTable } from '../jobs/job-table.ts';
import { CapacityIndex } from '../machines/capacity-index.ts';
import { MachineRegistry } from '../machines/machine-registry.ts';
import { MachineTable, type MachineTableListener } from '../machines/machine-table.ts';
import type { MachineTypeCatalog } from '../machines/machine-type-catalog.ts';
import { AttemptNumbers } from '../scheduling/attempt-numbers.ts';
import { FencedWriter, type FencingCondition } from '../storage/fenced-writer.ts';
import { Quota } from '../teams/quota.ts';

/** Dependencies of {@link createTermState}. */
export interface TermStateDependencies {
  io: ControllerIo;
  settings: Settings;
  configuration: Configuration;
  machineTypes: MachineTypeCatalog;
  /** The leader key at the revision of this term: the condition of all writes. */
  fencingCondition: FencingCondition;
  /** Called when a write fails because another leader has taken over. */
  onSuperseded: () => void;
}

/** The tables of one term, and the components that persist them. */
export interface TermState {
  readonly term: Revision;
  readonly writer: FencedWriter;
  readonly progress: ArrayProgress;
  readonly registry: MachineRegistry;
  readonly jobs: JobTable;
  readonly quota: Quota;
  readonly capacityIndex: CapacityIndex;
  readonly machines: MachineTable;
  readonly estimates: RuntimeEstimates;
  readonly ordering: JobOrdering;
  readonly autoscaler: Autoscaler;
  readonly attempts: AttemptNumbers;
}

/** Creates the empty tables of a new term. */
export function createTermState(
  dependencies: TermStateDependencies,
  listener: MachineTableListener,
): TermState {
  const { io, settings, configuration, machineTypes, fencingCondition, onSuperseded } = dependencies;
  const { teams, objectives } = configuration.effective;
  const term = fencingCondition.revision;
  const writer = new FencedWriter(io, settings, fencingCondition, onSuperseded);
  const progress = new ArrayProgress(io, writer, settings.store, term);
  const registry = new MachineRegistry(io, writer, term);
  const jobs = new JobTable(io, writer, progress);
  const quota = new Quota(teams);
  const capacityIndex = new CapacityIndex();
  const common = { io, settings, jobs, quota, term };
  const machines = new MachineTable({ ...common, registry, capacityIndex, listener });
  const estimates = new RuntimeEstimates();
  const ordering = new JobOrdering(objectives, estimates);
  const { types } = machineTypes;
  const autoscaler = new Autoscaler({ ...common, machines, estimates, ordering, types });
  return {
    term,
    writer,
    progress,
    registry,
    jobs,
    quota,
    capacityIndex,
    machines,
    estimates,
    ordering,
    autoscaler,
    attempts: new AttemptNumbers(term),
  };
}
