// What a job's tasks take, and where they may run, from its description alone.
import type { JobSpec, MachineType } from '../base/model.ts';

export const isGang = (spec: JobSpec): boolean => spec.kind === 'gang' && spec.tasks > 1;

/** Jobs for which this is the same may run on the same machines, as far as these are large enough. */
export const placementKey = (s: JobSpec): string =>
  `${s.machineTypes?.join() ?? ''}|${s.zone ?? ''}|${s.spot}`;

export const needsAtLeast = (s: JobSpec, than: JobSpec): boolean =>
  s.cpus >= than.cpus && s.gpus >= than.gpus && s.memoryGb >= than.memoryGb;

export function tasksPerMachine(type: MachineType, spec: JobSpec): number {
  const { cpus, gpus, memoryGb } = spec;
  const per = (total: number, each: number) =>
    each <= 0 ? Number.POSITIVE_INFINITY : Math.floor((total + 1e-9) / each);
  const n = Math.min(per(type.cpus, cpus), per(type.gpus, gpus), per(type.memoryGb, memoryGb));
  return Number.isFinite(n) ? n : 1000;
}

export const canEverRun = (types: Iterable<MachineType>, spec: JobSpec): boolean => {
  for (const t of types) if (typeFits(t, spec)) return true;
  return false;
};

export const typeFits = (t: MachineType, spec: JobSpec): boolean =>
  tasksPerMachine(t, spec) >= 1 && mayRunOnType(t, spec);

export const mayRunOnType = (t: MachineType, spec: JobSpec): boolean =>
  (spec.machineTypes === null || spec.machineTypes.includes(t.name)) &&
  (spec.zone === null || t.zones.includes(spec.zone));

/** A gang that must be spread, but whose tasks find a place in one zone only: all at once, they never can. */
export const isBoundToOneZone = (types: Iterable<MachineType>, spec: JobSpec): boolean => {
  if (!isGang(spec) || !spec.spread) return false;
  if (spec.oneZone || spec.zone !== null) return true;
  const zones = new Set<string>();
  for (const t of types) if (typeFits(t, spec)) for (const z of t.zones) zones.add(z);
  return zones.size < 2;
};
