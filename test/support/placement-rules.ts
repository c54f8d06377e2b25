// Where the tasks of a job may run by its description, and what is on machines: what all checks of placements
// share.
import type { JobSpec } from '../../src/core/base/model.ts';
import { parseTaskId, type TaskId } from '../../src/types/index.ts';

/** A machine, as far as users may say where they want their tasks. */
export interface Place {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** A task that is on a machine at this moment. */
export interface OnMachine {
  task: string;
  machine: Place;
}

/** CPUs and accelerators that a team uses or may use. */
export interface TeamAmounts {
  cpus: number;
  gpus: number;
}

/** The limit of a team that has none. */
export const UNLIMITED: TeamAmounts = { cpus: Number.POSITIVE_INFINITY, gpus: Number.POSITIVE_INFINITY };

/** What is on machines now, as whoever plays the world knows it. */
export interface Placements {
  /** All tasks that are on machines. */
  all(): Iterable<OnMachine>;
  /** A machine that the task is on. */
  ofTask(task: string): OnMachine | undefined;
  /** Tasks of the job that are on machines. */
  ofJob(job: string): Iterable<OnMachine>;
  /** What the team's tasks use. `specOf`: null for a job that is not known. */
  usedBy(team: string, specOf: (job: string) => JobSpec | null): TeamAmounts;
  /** The most that the team has used lately, where tasks end all the time; absent: what it uses now. */
  lastingUseOf?(team: string): TeamAmounts;
}

const jobOf = (task: string): string => parseTaskId(task as TaskId).job;

/** Placements of a small world, found by looking at all that is on machines. */
export class ScannedPlacements implements Placements {
  constructor(readonly all: () => Iterable<OnMachine>) {}

  ofTask(task: string): OnMachine | undefined {
    for (const placement of this.all()) if (placement.task === task) return placement;
    return undefined;
  }

  *ofJob(job: string): Iterable<OnMachine> {
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

/** Whether the job may run on machines of this type, and on spot machines if it is one. */
export const acceptsMachine = (spec: JobSpec, machine: Place): boolean =>
  (spec.machineTypes === null || (spec.machineTypes as string[]).includes(machine.type)) &&
  (spec.spot || !machine.spot);

/** The most tasks of a spread job that may be in one zone. */
export const spreadLimit = (spec: JobSpec): number => Math.ceil(spec.tasks / 2);

/**
 * What is wrong about a task of the job on this machine, by the job's description and the places of its other
 * tasks.
 *
 * @returns a description of each rule that is broken
 */
export function wrongPlaces(spec: JobSpec, machine: Place, placements: Placements): string[] {
  const faults: string[] = [];
  if (!acceptsMachine(spec, machine)) faults.push(`on ${machine.type}`);
  if (spec.zone !== null && spec.zone !== machine.zone) faults.push(`in ${machine.zone}`);
  if (!spec.oneZone && !spec.spread) return faults;
  const zones = [...placements.ofJob(spec.id)].map((placement) => placement.machine.zone);
  if (spec.oneZone && zones.some((zone) => zone !== machine.zone)) faults.push(`in ${machine.zone}`);
  const inZone = zones.filter((zone) => zone === machine.zone).length;
  if (spec.spread && inZone >= spreadLimit(spec)) faults.push(`beyond half in ${machine.zone}`);
  return faults;
}
