// An index of the tasks on machines, and the free capacity that machines have had for some time.
import type { JobSpec } from '../../../src/core/base/model.ts';
import { parseTaskId, type TaskId } from '../../../src/types/index.ts';
import type {
  FreeCapacity,
  MachineInfo,
  PlacedTask,
  Placements,
  TeamAmounts,
} from '../../../test/support/rule-checker.ts';

/**
 * Number of consecutive samples in which capacity, on a machine or under a limit, must have been free. At one
 * sample a second they span three heartbeats.
 */
const LASTING_SAMPLES = 15;

/** A task on a machine, and its job. */
interface TrackedPlacement extends PlacedTask {
  job: string;
}

/** Indexes the tasks on machines, so that queries by task, job or team need no full scan. */
export class TrackedPlacements implements Placements {
  private readonly byTask = new Map<string, TrackedPlacement[]>();
  private readonly byJob = new Map<string, Set<TrackedPlacement>>();
  private readonly byMachine = new Map<string, Set<TrackedPlacement>>();
  private readonly useByTeam = new Map<string, TeamAmounts>();
  private readonly pastUseByTeam = new Map<string, TeamAmounts[]>();
  /** Number of tasks on machines. */
  size = 0;

  constructor(
    private readonly machineOf: (id: string) => MachineInfo | undefined,
    private readonly specOf: (job: string) => JobSpec | undefined,
  ) {}

  /** Records that a task is on a machine. */
  add(task: string, machineId: string): void {
    const machine = this.machineOf(machineId) ?? { id: machineId, type: '?', zone: '?', spot: false };
    const { job } = parseTaskId(task as TaskId);
    const placement: TrackedPlacement = { task, machine, job };
    this.size++;
    this.byTask.set(task, [...(this.byTask.get(task) ?? []), placement]);
    getOrCreateGroup(this.byJob, job).add(placement);
    getOrCreateGroup(this.byMachine, machineId).add(placement);
    this.addUse(job, 1);
  }

  /** Records that a task is no longer on a machine. */
  remove(task: string, machineId: string): void {
    const placements = this.byTask.get(task) ?? [];
    const placement = placements.find((candidate) => candidate.machine.id === machineId);
    if (placement === undefined) return;
    this.size--;
    const others = placements.filter((candidate) => candidate !== placement);
    if (others.length === 0) this.byTask.delete(task);
    else this.byTask.set(task, others);
    this.byJob.get(placement.job)?.delete(placement);
    this.byMachine.get(machineId)?.delete(placement);
    this.addUse(placement.job, -1);
  }

  private addUse(job: string, tasks: 1 | -1): void {
    const spec = this.specOf(job);
    if (spec === undefined) return;
    const used = this.useByTeam.get(spec.team) ?? { cpus: 0, gpus: 0 };
    this.useByTeam.set(spec.team, {
      cpus: used.cpus + spec.cpus * tasks,
      gpus: used.gpus + spec.gpus * tasks,
    });
  }

  *all(): Iterable<PlacedTask> {
    for (const placements of this.byTask.values()) yield* placements;
  }

  ofTask(task: string): PlacedTask | undefined {
    return this.byTask.get(task)?.[0];
  }

  ofJob(job: string): Iterable<PlacedTask> {
    return this.byJob.get(job) ?? [];
  }

  usedBy(team: string): TeamAmounts {
    return this.useByTeam.get(team) ?? { cpus: 0, gpus: 0 };
  }

  /** Called once a second: records the current use of each team. */
  sampleUse(): void {
    for (const [team, used] of this.useByTeam) {
      const past = this.pastUseByTeam.get(team) ?? [];
      this.pastUseByTeam.set(team, past);
      past.push(used);
      if (past.length > LASTING_SAMPLES) past.shift();
    }
  }

  recentPeakUseOf(team: string): TeamAmounts {
    const past = [...(this.pastUseByTeam.get(team) ?? []), this.usedBy(team)];
    return {
      cpus: Math.max(...past.map((use) => use.cpus)),
      gpus: Math.max(...past.map((use) => use.gpus)),
    };
  }

  /** Free capacity of a machine of this size. */
  freeCapacityOf(machine: MachineInfo, size: { cpus: number; gpus: number; memoryGb: number }): FreeCapacity {
    const free: FreeCapacity = { machine, ...size };
    for (const { job } of this.byMachine.get(machine.id) ?? []) {
      const spec = this.specOf(job);
      if (spec === undefined) continue;
      free.cpus -= spec.cpus;
      free.gpus -= spec.gpus;
      free.memoryGb -= spec.memoryGb;
    }
    return free;
  }
}

/**
 * Free capacity that machines have had for several heartbeats. In a large fleet some task ends at every
 * moment, so some machine always has free capacity that its controller has not been informed of yet or has
 * already assigned. Jobs that wait despite such capacity break no rule.
 */
export class LastingFreeCapacity {
  /** The last samples of each machine, by its id. */
  private readonly recentSamples = new Map<string, FreeCapacity[]>();

  /** Called once a second with the free capacity of every machine that is up. */
  *sample(capacities: Iterable<FreeCapacity>): Iterable<FreeCapacity> {
    const up = new Set<string>();
    for (const free of capacities) {
      const { id } = free.machine;
      up.add(id);
      const past = this.recentSamples.get(id) ?? [];
      this.recentSamples.set(id, past);
      past.push(free);
      if (past.length > LASTING_SAMPLES) past.shift();
      if (past.length === LASTING_SAMPLES) yield minimumOf(past);
    }
    for (const id of this.recentSamples.keys()) if (!up.has(id)) this.recentSamples.delete(id);
  }
}

const minimumOf = (samples: readonly FreeCapacity[]): FreeCapacity => ({
  machine: samples[0]!.machine,
  cpus: Math.min(...samples.map((sample) => sample.cpus)),
  gpus: Math.min(...samples.map((sample) => sample.gpus)),
  memoryGb: Math.min(...samples.map((sample) => sample.memoryGb)),
});

function getOrCreateGroup<K>(groups: Map<K, Set<TrackedPlacement>>, key: K): Set<TrackedPlacement> {
  let group = groups.get(key);
  if (group === undefined) {
    group = new Set();
    groups.set(key, group);
  }
  return group;
}
