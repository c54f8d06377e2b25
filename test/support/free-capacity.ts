// Computes how many tasks of a job fit into the machines' free capacity, judged by what its user can observe.
import type { JobSpec } from '../../src/core/base/model.ts';
import { acceptsMachine, type MachineInfo, type Placements, spreadLimit } from './placement-rules.ts';

/** Free capacity of a machine that exists, reaches controllers and can run new tasks. */
export interface FreeCapacity {
  machine: MachineInfo;
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** Tolerance for floating-point errors in sums of fractional amounts. */
const ROUNDING_TOLERANCE = 1e-9;

/** How many tasks of the job fit into the machine's free capacity. */
function fittingTasks(spec: JobSpec, machine: FreeCapacity): number {
  const fitting = (free: number, each: number): number =>
    each <= 0 ? spec.tasks : Math.floor((free + ROUNDING_TOLERANCE) / each);
  const fittingCount = Math.min(
    fitting(machine.cpus, spec.cpus),
    fitting(machine.gpus, spec.gpus),
    fitting(machine.memoryGb, spec.memoryGb),
  );
  return Math.max(0, fittingCount);
}

function countByZone(job: string, placements: Placements): Map<string, number> {
  const zones = new Map<string, number>();
  for (const { machine } of placements.ofJob(job))
    zones.set(machine.zone, (zones.get(machine.zone) ?? 0) + 1);
  return zones;
}

/** Whether the job's constraints allow another task on the machine, given the zones that it already uses. */
function allowsMachine(
  spec: JobSpec,
  { machine }: FreeCapacity,
  placedByZone: ReadonlyMap<string, number>,
): boolean {
  if (!acceptsMachine(spec, machine)) return false;
  if (spec.zone !== null && spec.zone !== machine.zone) return false;
  return !spec.oneZone || placedByZone.size === 0 || placedByZone.has(machine.zone);
}

/** How many more tasks of the job could be started now on machines that its constraints allow. */
export function startableTasks(
  spec: JobSpec,
  machines: readonly FreeCapacity[],
  placements: Placements,
): number {
  const placedByZone = countByZone(spec.id, placements);
  const fittingByZone = new Map<string, number>();
  for (const free of machines) {
    const { zone } = free.machine;
    if (!allowsMachine(spec, free, placedByZone)) continue;
    fittingByZone.set(zone, (fittingByZone.get(zone) ?? 0) + fittingTasks(spec, free));
  }
  let total = 0;
  for (const [zone, fitting] of fittingByZone) {
    const allowed = spec.spread ? Math.max(0, spreadLimit(spec) - (placedByZone.get(zone) ?? 0)) : fitting;
    const inZone = Math.min(fitting, allowed);
    total = spec.oneZone ? Math.max(total, inZone) : total + inZone;
  }
  return total;
}
