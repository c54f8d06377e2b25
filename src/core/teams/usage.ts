// Resource usage of teams and classes on machines and in machine queues, by machine type. The machine table
// keeps the sums up to date as tasks are added and removed.
import type { MachineTypeName } from '../../types/index.ts';
import type { JobSpec } from '../base/model.ts';
import type { Job } from '../jobs/job.ts';

/**
 * Amounts of the three resources: CPUs, GPUs, memory in GB. It is a tuple because code on hot paths loops
 * over the resources by index; max-min-fairness.ts uses the same order.
 */
export type Resources = [cpus: number, gpus: number, memoryGb: number];

const RESOURCE_COUNT = 3;

/** The resources that the given number of tasks of the job need. */
export const resourcesOf = (spec: JobSpec, tasks = 1): Resources => [
  spec.cpus * tasks,
  spec.gpus * tasks,
  spec.memoryGb * tasks,
];

/** Adds the resources of the given number of tasks to `sum`; a negative number subtracts them. */
export function addResources(sum: Resources, spec: JobSpec, tasks: number): void {
  sum[0] += spec.cpus * tasks;
  sum[1] += spec.gpus * tasks;
  sum[2] += spec.memoryGb * tasks;
}

/** The resource usage of a team or a class. */
export interface ResourceUsage {
  tasks: number;
  sum: Resources;
  /** Specification of one of its jobs, taken as typical. */
  spec: JobSpec;
}

/** Resource usage on machines of one type, by name of team and of class. */
interface TypeUsage {
  teams: Map<string, ResourceUsage>;
  classes: Map<string, ResourceUsage>;
}

/** Sums of resource usage by machine type, team and class. */
export class Usage {
  private readonly types = new Map<MachineTypeName, TypeUsage>();

  /**
   * Adds the usage of tasks of the job that were put on machines of the type or in their queues; a negative
   * number removes it.
   */
  add(job: Job, tasks: number, type: MachineTypeName): void {
    let usage = this.types.get(type);
    if (usage === undefined) {
      usage = { teams: new Map(), classes: new Map() };
      this.types.set(type, usage);
    }
    addTasks(usage.teams, job.spec.team, job.spec, tasks);
    addTasks(usage.classes, job.spec.class, job.spec, tasks);
  }

  /**
   * Usage summed over the given machine types, by name of team or class. Cost: linear in the number of names
   * in use on these types.
   */
  totalsOn(types: Iterable<MachineTypeName>, by: 'teams' | 'classes'): Map<string, ResourceUsage> {
    const totals = new Map<string, ResourceUsage>();
    for (const type of types)
      for (const [name, usage] of this.types.get(type)?.[by] ?? []) {
        const total = totals.get(name) ?? { tasks: 0, sum: [0, 0, 0] as Resources, spec: usage.spec };
        total.tasks += usage.tasks;
        for (let resource = 0; resource < RESOURCE_COUNT; resource++)
          total.sum[resource] = total.sum[resource]! + usage.sum[resource]!;
        totals.set(name, total);
      }
    return totals;
  }
}

function addTasks(byName: Map<string, ResourceUsage>, name: string, spec: JobSpec, tasks: number): void {
  let usage = byName.get(name);
  if (usage === undefined) {
    usage = { tasks: 0, sum: [0, 0, 0], spec };
    byName.set(name, usage);
  }
  usage.tasks += tasks;
  addResources(usage.sum, spec, tasks);
  // Rounding errors accumulate in sums of fractions: when nothing is in use, the sum is discarded.
  if (usage.tasks === 0) byName.delete(name);
}
