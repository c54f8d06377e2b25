// What is on machines, told by the hosts of hollow workers in batches: put in the order of its times, kept in an index, and
// judged by the users' rules.
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
const LOOK_MS = 1000;

/** Looks for which room, on a machine or under a limit, must have been there. At a look a second: three reports. */
const LASTING_LOOKS = 15;

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
  size = 0;

  constructor(
    private readonly machineOf: (id: string) => Place | undefined,
    private readonly specOf: (job: string) => JobSpec | undefined,
  ) {}

  add(task: string, machineId: string): void {
    const machine = this.machineOf(machineId) ?? { id: machineId, type: '?', zone: '?', spot: false };
    const { job } = parseTaskId(task as TaskId);
    const e: Entry = { task, machine, job };
    this.size++;
    this.byTask.set(task, [...(this.byTask.get(task) ?? []), e]);
    groupOf(this.byJob, job).add(e);
    groupOf(this.byMachine, machineId).add(e);
    this.count(job, 1);
  }

  remove(task: string, machineId: string): void {
    const list = this.byTask.get(task) ?? [];
    const e = list.find((x) => x.machine.id === machineId);
    if (e === undefined) return;
    this.size--;
    if (list.length === 1) this.byTask.delete(task);
    else
      this.byTask.set(
        task,
        list.filter((x) => x !== e),
      );
    this.byJob.get(e.job)?.delete(e);
    this.byMachine.get(machineId)?.delete(e);
    this.count(e.job, -1);
  }

  private count(job: string, by: 1 | -1): void {
    const spec = this.specOf(job);
    if (spec === undefined) return;
    const used = this.teams.get(spec.team) ?? { cpus: 0, gpus: 0 };
    this.teams.set(spec.team, { cpus: used.cpus + spec.cpus * by, gpus: used.gpus + spec.gpus * by });
  }

  *all(): Iterable<OnMachine> {
    for (const list of this.byTask.values()) yield* list;
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
      cpus: Math.max(...past.map((u) => u.cpus)),
      gpus: Math.max(...past.map((u) => u.gpus)),
    };
  }

  /** What a machine of this size has free. */
  room(machine: Place, size: { cpus: number; gpus: number; memoryGb: number }): Room {
    const room: Room = { machine, ...size };
    for (const e of this.byMachine.get(machine.id) ?? []) {
      const spec = this.specOf(e.job);
      if (spec === undefined) continue;
      room.cpus -= spec.cpus;
      room.gpus -= spec.gpus;
      room.memoryGb -= spec.memoryGb;
    }
    return room;
  }
}

/**
 * Room that machines have had for several reports. In a large fleet some task ends at every moment, so some machine always has
 * room that its controller has not heard of yet, or has given away already: that is not room that a job is left beside.
 */
export class LastingRooms {
  private readonly seen = new Map<string, Room[]>();

  /** To be called once for each look, with the room of every machine that is up. */
  *look(rooms: Iterable<Room>): Iterable<Room> {
    const up = new Set<string>();
    for (const room of rooms) {
      const { id } = room.machine;
      up.add(id);
      const past = this.seen.get(id) ?? [];
      this.seen.set(id, past);
      past.push(room);
      if (past.length > LASTING_LOOKS) past.shift();
      if (past.length === LASTING_LOOKS) yield least(past);
    }
    for (const id of this.seen.keys()) if (!up.has(id)) this.seen.delete(id);
  }
}

const least = (rooms: readonly Room[]): Room => ({
  machine: rooms[0]!.machine,
  cpus: Math.min(...rooms.map((r) => r.cpus)),
  gpus: Math.min(...rooms.map((r) => r.gpus)),
  memoryGb: Math.min(...rooms.map((r) => r.memoryGb)),
});

function groupOf<K>(by: Map<K, Set<Entry>>, key: K): Set<Entry> {
  let group = by.get(key);
  if (group === undefined) {
    group = new Set();
    by.set(key, group);
  }
  return group;
}

type Seen =
  | TaskEvent
  | { at: number; kind: 'asked'; request: UserRequest }
  | { at: number; kind: 'told'; sentAt: number; request: UserRequest; answer: UserResponse }
  | { at: number; kind: 'over' };

/** Gives what users and workers saw to the rules, in the order in which it happened. */
export class Judge {
  private pending: Seen[] = [];
  private lastLook = 0;
  /** Starts a second, by the second in which they fell. */
  readonly starts = new Map<number, number>();
  onStart: (task: string, at: number) => void = () => {};
  onDone: (task: string, at: number) => void = () => {};

  constructor(
    private readonly rules: RuleChecker,
    private readonly placements: TrackedPlacements,
    private readonly machineOf: (id: string) => Place | undefined,
  ) {}

  see(events: readonly Seen[]): void {
    for (const e of events) this.pending.push(e);
  }

  /** Judges all that no later batch can precede. */
  advance(now: number): void {
    const until = now - SETTLE_MS;
    this.pending.sort((a, b) => a.at - b.at);
    let n = 0;
    while (n < this.pending.length && this.pending[n]!.at <= until) this.judge(this.pending[n++]!);
    this.pending = this.pending.slice(n);
    if (until < this.lastLook + LOOK_MS) return;
    this.lastLook = until;
    this.rules.look(until);
  }

  private judge(e: Seen): void {
    switch (e.kind) {
      case 'on': {
        const machine = this.machineOf(e.machine);
        const second = Math.floor(e.at / 1000);
        this.starts.set(second, (this.starts.get(second) ?? 0) + 1);
        if (machine !== undefined) this.rules.placing(e.at, e.task, machine);
        this.placements.add(e.task, e.machine);
        return this.onStart(e.task, e.at);
      }
      case 'off':
        return this.placements.remove(e.task, e.machine);
      case 'done':
        this.rules.completed(e.task);
        return this.onDone(e.task, e.at);
      case 'asked':
        return this.rules.asked(e.at, e.request);
      case 'told':
        return this.rules.told(e.at, e.sentAt, e.request, e.answer);
      case 'over':
        return this.rules.troublesOver(e.at);
    }
  }

  get running(): number {
    return this.placements.size;
  }
}
