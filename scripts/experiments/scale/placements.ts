// What is on machines, kept in an index, and the free capacity that machines have had for some time.
import type { JobSpec } from '../../../src/core/base/model.ts';
import { parseTaskId, type TaskId } from '../../../src/types/index.ts';
import type { OnMachine, Place, Placements, Room, TeamAmounts } from '../../../test/support/rule-checker.ts';

/**
 * Looks for which room, on a machine or under a limit, must have been there. At a look a second: three
 * heartbeats.
 */
const LASTING_SAMPLES = 15;

/** A task on a machine, and the job that it is of. */
interface TrackedPlacement extends OnMachine {
  job: string;
}

/** An index of what is on machines: no question looks at everything. */
export class TrackedPlacements implements Placements {
  private readonly byTask = new Map<string, TrackedPlacement[]>();
  private readonly byJob = new Map<string, Set<TrackedPlacement>>();
  private readonly byMachine = new Map<string, Set<TrackedPlacement>>();
  private readonly useByTeam = new Map<string, TeamAmounts>();
  private readonly pastUseByTeam = new Map<string, TeamAmounts[]>();
  /** Tasks on machines. */
  size = 0;

  constructor(
    private readonly machineOf: (id: string) => Place | undefined,
    private readonly specOf: (job: string) => JobSpec | undefined,
  ) {}

  /** A task is on a machine from now on. */
  add(task: string, machineId: string): void {
    const machine = this.machineOf(machineId) ?? { id: machineId, type: '?', zone: '?', spot: false };
    const { job } = parseTaskId(task as TaskId);
    const entry: TrackedPlacement = { task, machine, job };
    this.size++;
    this.byTask.set(task, [...(this.byTask.get(task) ?? []), entry]);
    getOrCreateGroup(this.byJob, job).add(entry);
    getOrCreateGroup(this.byMachine, machineId).add(entry);
    this.addUse(job, 1);
  }

  /** A task is gone from a machine. */
  remove(task: string, machineId: string): void {
    const entries = this.byTask.get(task) ?? [];
    const entry = entries.find((candidate) => candidate.machine.id === machineId);
    if (entry === undefined) return;
    this.size--;
    const others = entries.filter((candidate) => candidate !== entry);
    if (others.length === 0) this.byTask.delete(task);
    else this.byTask.set(task, others);
    this.byJob.get(entry.job)?.delete(entry);
    this.byMachine.get(machineId)?.delete(entry);
    this.addUse(entry.job, -1);
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

  *all(): Iterable<OnMachine> {
    for (const entries of this.byTask.values()) yield* entries;
  }

  ofTask(task: string): OnMachine | undefined {
    return this.byTask.get(task)?.[0];
  }

  ofJob(job: string): Iterable<OnMachine> {
    return this.byJob.get(job) ?? [];
  }

  usedBy(team: string): TeamAmounts {
    return this.useByTeam.get(team) ?? { cpus: 0, gpus: 0 };
  }

  /** To be called once for each look: remembers what teams use. */
  sampleUse(): void {
    for (const [team, used] of this.useByTeam) {
      const past = this.pastUseByTeam.get(team) ?? [];
      this.pastUseByTeam.set(team, past);
      past.push(used);
      if (past.length > LASTING_SAMPLES) past.shift();
    }
  }

  lastingUseOf(team: string): TeamAmounts {
    const past = [...(this.pastUseByTeam.get(team) ?? []), this.usedBy(team)];
    return {
      cpus: Math.max(...past.map((use) => use.cpus)),
      gpus: Math.max(...past.map((use) => use.gpus)),
    };
  }

  /** What a machine of this size has free. */
  room(machine: Place, size: { cpus: number; gpus: number; memoryGb: number }): Room {
    const room: Room = { machine, ...size };
    for (const { job } of this.byMachine.get(machine.id) ?? []) {
      const spec = this.specOf(job);
      if (spec === undefined) continue;
      room.cpus -= spec.cpus;
      room.gpus -= spec.gpus;
      room.memoryGb -= spec.memoryGb;
    }
    return room;
  }
}

/**
 * Room that machines have had for several heartbeats. In a large fleet some task ends at every moment, so
 * some machine always has room that its controller has not heard of yet, or has given away already: that is
 * not room that a job is left beside.
 */
export class LastingRooms {
  /** The last looks at each machine. */
  private readonly recentSamples = new Map<string, Room[]>();

  /** To be called once for each look, with the room of every machine that is up. */
  *look(rooms: Iterable<Room>): Iterable<Room> {
    const up = new Set<string>();
    for (const room of rooms) {
      const { id } = room.machine;
      up.add(id);
      const past = this.recentSamples.get(id) ?? [];
      this.recentSamples.set(id, past);
      past.push(room);
      if (past.length > LASTING_SAMPLES) past.shift();
      if (past.length === LASTING_SAMPLES) yield minimumOf(past);
    }
    for (const id of this.recentSamples.keys()) if (!up.has(id)) this.recentSamples.delete(id);
  }
}

const minimumOf = (rooms: readonly Room[]): Room => ({
  machine: rooms[0]!.machine,
  cpus: Math.min(...rooms.map((room) => room.cpus)),
  gpus: Math.min(...rooms.map((room) => room.gpus)),
  memoryGb: Math.min(...rooms.map((room) => room.memoryGb)),
});

function getOrCreateGroup<K>(groups: Map<K, Set<TrackedPlacement>>, key: K): Set<TrackedPlacement> {
  let group = groups.get(key);
  if (group === undefined) {
    group = new Set();
    groups.set(key, group);
  }
  return group;
}
