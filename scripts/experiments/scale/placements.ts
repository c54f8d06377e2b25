// What is on machines, told by the hosts of simulated workers in batches: put in the order of its times, kept
// in an index, and checked by the users' rules.
import type { JobSpec, UserRequest, UserResponse } from '../../../src/core/base/model.ts';
import { parseTaskId, type TaskId } from '../../../src/types/index.ts';
import type {
  OnMachine,
  Place,
  Placements,
  Room,
  RuleChecker,
  TeamAmounts,
} from '../../../test/support/rule-checker.ts';
import type { TaskEvent } from './messages.ts';

/** Batches of different processes, and news of changes in force, come this much apart at the most. */
const SETTLE_MS = 1200;
const LOOK_INTERVAL_MS = 1000;

/**
 * Looks for which room, on a machine or under a limit, must have been there. At a look a second: three
 * heartbeats.
 */
const LASTING_LOOKS = 15;

/** A task on a machine, and the job that it is of. */
interface Entry extends OnMachine {
  job: string;
}

/** An index of what is on machines: no question looks at everything. */
export class TrackedPlacements implements Placements {
  private readonly byTask = new Map<string, Entry[]>();
  private readonly byJob = new Map<string, Set<Entry>>();
  private readonly byMachine = new Map<string, Set<Entry>>();
  private readonly teams = new Map<string, TeamAmounts>();
  private readonly pastUse = new Map<string, TeamAmounts[]>();
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
    const entry: Entry = { task, machine, job };
    this.size++;
    this.byTask.set(task, [...(this.byTask.get(task) ?? []), entry]);
    groupOf(this.byJob, job).add(entry);
    groupOf(this.byMachine, machineId).add(entry);
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
    const used = this.teams.get(spec.team) ?? { cpus: 0, gpus: 0 };
    this.teams.set(spec.team, { cpus: used.cpus + spec.cpus * tasks, gpus: used.gpus + spec.gpus * tasks });
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
    return this.teams.get(team) ?? { cpus: 0, gpus: 0 };
  }

  /** To be called once for each look: remembers what teams use. */
  look(): void {
    for (const [team, used] of this.teams) {
      const past = this.pastUse.get(team) ?? [];
      this.pastUse.set(team, past);
      past.push(used);
      if (past.length > LASTING_LOOKS) past.shift();
    }
  }

  lastingUseOf(team: string): TeamAmounts {
    const past = [...(this.pastUse.get(team) ?? []), this.usedBy(team)];
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
  private readonly lastLooks = new Map<string, Room[]>();

  /** To be called once for each look, with the room of every machine that is up. */
  *look(rooms: Iterable<Room>): Iterable<Room> {
    const up = new Set<string>();
    for (const room of rooms) {
      const { id } = room.machine;
      up.add(id);
      const past = this.lastLooks.get(id) ?? [];
      this.lastLooks.set(id, past);
      past.push(room);
      if (past.length > LASTING_LOOKS) past.shift();
      if (past.length === LASTING_LOOKS) yield leastOf(past);
    }
    for (const id of this.lastLooks.keys()) if (!up.has(id)) this.lastLooks.delete(id);
  }
}

const leastOf = (rooms: readonly Room[]): Room => ({
  machine: rooms[0]!.machine,
  cpus: Math.min(...rooms.map((room) => room.cpus)),
  gpus: Math.min(...rooms.map((room) => room.gpus)),
  memoryGb: Math.min(...rooms.map((room) => room.memoryGb)),
});

function groupOf<K>(groups: Map<K, Set<Entry>>, key: K): Set<Entry> {
  let group = groups.get(key);
  if (group === undefined) {
    group = new Set();
    groups.set(key, group);
  }
  return group;
}

/** What users, workers and the experiment itself have seen, by when it happened. */
type Observation =
  | TaskEvent
  | { at: number; kind: 'asked'; request: UserRequest }
  | { at: number; kind: 'told'; sentAt: number; request: UserRequest; answer: UserResponse }
  | { at: number; kind: 'over' };

/** Gives what users and workers saw to the rule checker, in the order in which it happened. */
export class Judge {
  private pending: Observation[] = [];
  private lastLookAt = 0;
  /** Starts a second, by the second in which they fell. */
  readonly starts = new Map<number, number>();
  /** Is told of tasks that are put on machines. */
  onStart: (task: string, at: number) => void = () => {};

  constructor(
    private readonly rules: RuleChecker,
    private readonly placements: TrackedPlacements,
    private readonly machineOf: (id: string) => Place | undefined,
  ) {}

  /** Takes what was seen, in any order. */
  see(observations: readonly Observation[]): void {
    for (const observation of observations) this.pending.push(observation);
  }

  /** Checks all that no later batch can precede. */
  advance(now: number): void {
    const until = now - SETTLE_MS;
    this.pending.sort((a, b) => a.at - b.at);
    let settled = 0;
    while (settled < this.pending.length && this.pending[settled]!.at <= until)
      this.check(this.pending[settled++]!);
    this.pending = this.pending.slice(settled);
    if (until < this.lastLookAt + LOOK_INTERVAL_MS) return;
    this.lastLookAt = until;
    this.rules.look(until);
  }

  /** Tasks on machines. */
  get running(): number {
    return this.placements.size;
  }

  private check(observation: Observation): void {
    const { at } = observation;
    switch (observation.kind) {
      case 'on':
        return this.onTask(at, observation.task, observation.machine);
      case 'off':
        return this.placements.remove(observation.task, observation.machine);
      case 'done':
        return this.rules.completed(observation.task);
      case 'asked':
        return this.rules.asked(at, observation.request);
      case 'told':
        return this.rules.told(at, observation.sentAt, observation.request, observation.answer);
      case 'over':
        return this.rules.troublesOver(at);
    }
  }

  private onTask(at: number, task: string, machineId: string): void {
    const machine = this.machineOf(machineId);
    const second = Math.floor(at / 1000);
    this.starts.set(second, (this.starts.get(second) ?? 0) + 1);
    if (machine !== undefined) this.rules.placing(at, task, machine);
    this.placements.add(task, machineId);
    this.onStart(task, at);
  }
}
