// Whether machines with free capacity could take what is missing of a job, by all that its user can know.
import type { JobSpec } from '../../src/core/base/model.ts';
import { acceptsMachine, type Place, type Placements, spreadLimit } from './placement-rules.ts';

/** What a machine has free; of those that are there, reach controllers and can run what they are given. */
export interface Room {
  machine: Place;
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** Sums of fractions drift by less than this. */
const ROUNDING = 1e-9;

/** How many tasks of the job fit on the machine, by what it has free. */
function fittingTasks(spec: JobSpec, room: Room): number {
  const fitting = (free: number, each: number): number =>
    each <= 0 ? spec.tasks : Math.floor((free + ROUNDING) / each);
  const most = Math.min(
    fitting(room.cpus, spec.cpus),
    fitting(room.gpus, spec.gpus),
    fitting(room.memoryGb, spec.memoryGb),
  );
  return Math.max(0, most);
}

function countByZone(job: string, placements: Placements): Map<string, number> {
  const zones = new Map<string, number>();
  for (const { machine } of placements.ofJob(job))
    zones.set(machine.zone, (zones.get(machine.zone) ?? 0) + 1);
  return zones;
}

/** Whether the job's constraints allow a further task in the room, by the machine and by the zones in use. */
function allowsRoom(spec: JobSpec, { machine }: Room, placedIn: ReadonlyMap<string, number>): boolean {
  if (!acceptsMachine(spec, machine)) return false;
  if (spec.zone !== null && spec.zone !== machine.zone) return false;
  return !spec.oneZone || placedIn.size === 0 || placedIn.has(machine.zone);
}

/** How many more tasks of the job could run now, on machines that its description allows. */
export function startableTasks(spec: JobSpec, rooms: readonly Room[], placements: Placements): number {
  const placedIn = countByZone(spec.id, placements);
  const fittingIn = new Map<string, number>();
  for (const room of rooms) {
    const { zone } = room.machine;
    if (!allowsRoom(spec, room, placedIn)) continue;
    fittingIn.set(zone, (fittingIn.get(zone) ?? 0) + fittingTasks(spec, room));
  }
  let total = 0;
  for (const [zone, fitting] of fittingIn) {
    const allowed = spec.spread ? Math.max(0, spreadLimit(spec) - (placedIn.get(zone) ?? 0)) : fitting;
    const inZone = Math.min(fitting, allowed);
    total = spec.oneZone ? Math.max(total, inZone) : total + inZone;
  }
  return total;
}
