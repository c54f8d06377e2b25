// What teams and classes use on machines and in their queues, by machine type: sums kept up to date by the
// machine table as tasks come and go.
import type { TypeName } from '../../types/index.ts';
import type { JobSpec } from '../base/model.ts';
import type { Job } from '../jobs/job.ts';

/**
 * Amounts of the three resources: CPUs, GPUs, memory in GB. A tuple, because code on hot paths walks through
 * the resources by number; the same order holds in max-min-fairness.ts.
 */
export type Resources = [cpus: number, gpus: number, memoryGb: number];

const RESOURCE_COUNT = 3;

/** What so many tasks of the job need. */
export const resourcesOf = (spec: JobSpec, tasks = 1): Resources => [
  spec.cpus * tasks,
  spec.gpus * tasks,
  spec.memoryGb * tasks,
];

/** Adds what so many tasks of the job need to `sum`; a negative number of tasks subtracts it. */
export function addResources(sum: Resources, spec: JobSpec, tasks: number): void {
  sum[0] += spec.cpus * tasks;
  sum[1] += spec.gpus * tasks;
  sum[2] += spec.memoryGb * tasks;
}

/** What a team or a class uses. */
export interface ClassUsage {
  tasks: number;
  sum: Resources;
  /** Specification of one of its jobs. */
  spec: JobSpec;
}

/** What is in use on machines of one type, by name. */
interface TypeUsage {
  teams: Map<string, ClassUsage>;
  classes: Map<string, ClassUsage>;
}

/** Sums of what is in use, by machine type, team and class. */
export class Usage {
  private readonly types = new Map<TypeName, TypeUsage>();

  /** Tasks of the job have come to machines of the type or their queues; a negative number has left. */
  add(job: Job, tasks: number, type: TypeName): void {
    let usage = this.types.get(type);
    if (usage === undefined) {
      usage = { teams: new Map(), classes: new Map() };
      this.types.set(type, usage);
    }
    addTasks(usage.teams, job.spec.team, job.spec, tasks);
    addTasks(usage.classes, job.spec.class, job.spec, tasks);
  }

  /** Sums over some machine types, by name of team or class. Work: the names in use there. */
  on(types: Iterable<TypeName>, by: 'teams' | 'classes'): Map<string, ClassUsage> {
    const totals = new Map<string, ClassUsage>();
    for (const type of types)
      for (const [name, usage] of this.types.get(type)?.[by] ?? []) {
        const total = totals.get(name) ?? { tasks: 0, sum: [0, 0, 0] as Resources, spec: usage.spec };
        total.tasks += usage.tasks;
        for (let r = 0; r < RESOURCE_COUNT; r++) total.sum[r] = total.sum[r]! + usage.sum[r]!;
        totals.set(name, total);
      }
    return totals;
  }
}

function addTasks(byName: Map<string, ClassUsage>, name: string, spec: JobSpec, tasks: number): void {
  let usage = byName.get(name);
  if (usage === undefined) {
    usage = { tasks: 0, sum: [0, 0, 0], spec };
    byName.set(name, usage);
  }
  usage.tasks += tasks;
  addResources(usage.sum, spec, tasks);
  // Sums of fractions drift: with nothing in use they begin anew, and the name is forgotten.
  if (usage.tasks === 0) byName.delete(name);
}
