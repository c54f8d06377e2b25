// Placement rules shared by all checks: where a job's description allows its tasks to run, and which tasks
// are on which machines.
import type { JobSpec } from '../../src/core/base/model.ts';
import { parseTaskId, type TaskId } from '../../src/types/index.ts';

/** The attributes of a machine that a job's placement constraints refer to. */
export interface MachineInfo {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** A task and the machine that it is on. */
export interface PlacedTask {
  task: string;
  machine: MachineInfo;
}

/** CPUs and accelerators that a team uses, or its limit for them. */
export interface TeamAmounts {
  cpus: number;
  gpus: number;
}

/** The limit of a team without a quota. */
export const UNLIMITED: TeamAmounts = { cpus: Number.POSITIVE_INFINITY, gpus: Number.POSITIVE_INFINITY };

/** Read access to the tasks that are on machines now. */
export interface Placements {
  /** All tasks that are on machines. */
  all(): Iterable<PlacedTask>;
  /** The placement of a task, if it is on a machine. */
  ofTask(task: string): PlacedTask | undefined;
  /** Tasks of the job that are on machines. */
  ofJob(job: string): Iterable<PlacedTask>;
  /** Resources that the team's tasks use; `specOf` returns null for an unknown job. */
  usedBy(team: string, specOf: (job: string) => JobSpec | null): TeamAmounts;
  /** Recent peak use of the team, where tasks end all the time; if absent, current use counts. */
  recentPeakUseOf?(team: string): TeamAmounts;
}

const jobOf = (task: string): string => parseTaskId(task as TaskId).job;

/** Placements of a small world, found by scanning all machines. */
export class ScannedPlacements implements Placements {
  constructor(readonly all: () => Iterable<PlacedTask>) {}

  ofTask(task: string): PlacedTask | undefined {
    for (const placement of this.all()) if (placement.task === task) return placement;
    return undefined;
  }

  *ofJob(job: string): Iterable<PlacedTask> {
    for (const placement of this.all()) if (jobOf(placement.task) === job) yield placement;
  }

  usedBy(team: string, specOf: (job: string) => JobSpec | null): TeamAmounts {
    const used = { cpus: 0, gpus: 0 };
    for (const { task } of this.all()) {
      const spec = specOf(jobOf(task));
      if (spec === null || spec.team !== team) continue;
      used.cpus += spec.cpus;
      used.gpus += spec.gpus;
    }
    return used;
  }
}

/** Whether the job may run on this machine's type, and on a spot machine if it is one. */
export const acceptsMachine = (spec: JobSpec, machine: MachineInfo): boolean =>
  (spec.machineTypes === null || (spec.machineTypes as string[]).includes(machine.type)) &&
  (spec.spot || !machine.spot);

/** The maximum number of tasks of a spread job in one zone. */
export const spreadLimit = (spec: JobSpec): number => Math.ceil(spec.tasks / 2);

/**
 * Checks a placement of a task of the job on this machine, given the job's constraints and the placements of
 * its other tasks.
 *
 * @returns a description of each violated constraint
 */
export function placementViolations(spec: JobSpec, machine: MachineInfo, placements: Placements): string[] {
  const violations: string[] = [];
  if (!acceptsMachine(spec, machine)) violations.push(`on ${machine.type}`);
  if (spec.zone !== null && spec.zone !== machine.zone) violations.push(`in ${machine.zone}`);
  if (!spec.oneZone && !spec.spread) return violations;
  const zones = [...placements.ofJob(spec.id)].map((placement) => placement.machine.zone);
  if (spec.oneZone && zones.some((zone) => zone !== machine.zone)) violations.push(`in ${machine.zone}`);
  const inZone = zones.filter((zone) => zone === machine.zone).length;
  if (spec.spread && inZone >= spreadLimit(spec)) violations.push(`beyond half in ${machine.zone}`);
  return violations;
}
