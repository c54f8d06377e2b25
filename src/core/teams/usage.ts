// What teams and classes use on machines and in their queues, by machine type: sums kept up to date as tasks come and go
// (machines.ts).
import type { TypeName } from '../../types/index.ts';
import type { JobSpec } from '../base/model.ts';
import type { Job } from '../jobs/job.ts';

/** CPUs, accelerators, memory in GB: the order of resources in `maxmin.ts`. */
export type Resources = [number, number, number];

export const resourcesOf = (spec: JobSpec, tasks = 1): Resources => [
  spec.cpus * tasks,
  spec.gpus * tasks,
  spec.memoryGb * tasks,
];

export function addResources(sum: Resources, spec: JobSpec, tasks: number): void {
  sum[0] += spec.cpus * tasks;
  sum[1] += spec.gpus * tasks;
  sum[2] += spec.memoryGb * tasks;
}

export interface ClassUsage {
  tasks: number;
  sum: Resources;
  /** A job like the others. */
  spec: JobSpec;
}

interface OfType {
  teams: Map<string, ClassUsage>;
  classes: Map<string, ClassUsage>;
}

export class Usage {
  private readonly types = new Map<TypeName, OfType>();

  add(job: Job, tasks: number, type: TypeName): void {
    let of = this.types.get(type);
    if (of === undefined) {
      of = { teams: new Map(), classes: new Map() };
      this.types.set(type, of);
    }
    count(of.teams, job.spec.team, job.spec, tasks);
    count(of.classes, job.spec.class, job.spec, tasks);
  }

  /** Sums over some types of machines. Work: the names in use there. */
  on(types: Iterable<TypeName>, by: 'teams' | 'classes'): Map<string, ClassUsage> {
    const out = new Map<string, ClassUsage>();
    for (const type of types)
      for (const [name, u] of this.types.get(type)?.[by] ?? []) {
        const sum = out.get(name) ?? { tasks: 0, sum: [0, 0, 0] as Resources, spec: u.spec };
        sum.tasks += u.tasks;
        for (let r = 0; r < 3; r++) sum.sum[r] = sum.sum[r]! + u.sum[r]!;
        out.set(name, sum);
      }
    return out;
  }
}

function count(by: Map<string, ClassUsage>, name: string, spec: JobSpec, tasks: number): void {
  let u = by.get(name);
  if (u === undefined) {
    u = { tasks: 0, sum: [0, 0, 0], spec };
    by.set(name, u);
  }
  u.tasks += tasks;
  addResources(u.sum, spec, tasks);
  // Sums of fractions drift; nothing in use is a chance to start from nothing, and to forget the name.
  if (u.tasks === 0) by.delete(name);
}
