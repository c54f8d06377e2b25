// Coordinates gangs on the local cluster's machines: the tasks of a gang start together and complete
// together, and after one is lost the others end.
import type { ExitReason } from '../../../src/core/base/model.ts';
import { parseTaskId, type TaskId } from '../../../src/types/index.ts';
import type { Uint64 } from '../../../src/types/uint64.ts';
import type { SimulationClock } from './clock.ts';

/** A running attempt of a gang's task. */
export interface GangMember {
  readonly task: TaskId;
  readonly attempt: Uint64;
  /** Whether its command has exited with code 0. */
  readonly commandSucceeded: boolean;
  /** Starts the command. */
  begin(): void;
  /** Ends the attempt with this reason. */
  finish(reason: ExitReason): void;
}

/** Time limits of gangs, in seconds. */
export interface GangTimes {
  /** How long a task waits for the other tasks of its gang before it exits with `alone`. */
  gangWaitS: number;
  /** Limit for the others to exit with `peers` after a task is lost; the stand-in takes half of it. */
  gangPeerS: number;
}

interface Gang {
  readonly members: Map<TaskId, GangMember>;
  hasStarted: boolean;
}

/** All gangs with running tasks. */
export class GangCoordinator {
  private readonly gangs = new Map<string, Gang>();

  constructor(
    private readonly clock: SimulationClock,
    private readonly times: GangTimes,
  ) {}

  /** Adds a task that is ready to start; with the last of the gang's `size` tasks all start. */
  join(member: GangMember, size: number): void {
    const gang = this.gangOf(member) ?? { members: new Map<TaskId, GangMember>(), hasStarted: false };
    this.gangs.set(gangKey(member), gang);
    gang.members.set(member.task, member);
    if (gang.members.size >= size) {
      gang.hasStarted = true;
      for (const other of [...gang.members.values()]) other.begin();
      return;
    }
    this.clock.after(this.times.gangWaitS * 1000, () => {
      if (!gang.hasStarted) member.finish('alone');
    });
  }

  /** Whether the commands of all the gang's tasks have succeeded; only then is the gang complete. */
  hasSucceeded(member: GangMember): boolean {
    const gang = this.gangOf(member);
    return gang === undefined || [...gang.members.values()].every((other) => other.commandSucceeded);
  }

  /** Removes a task that has ended: the others complete with it, or exit with `peers` after a delay. */
  leave(member: GangMember, reason: ExitReason): void {
    const gang = this.gangOf(member);
    if (gang === undefined || gang.members.get(member.task) !== member) return;
    gang.members.delete(member.task);
    if (!gang.hasStarted) return;
    const others = [...gang.members.values()];
    if (reason === 'done') for (const other of others) other.finish('done');
    else
      this.clock.after((this.times.gangPeerS * 1000) / 2, () => {
        for (const other of others) other.finish('peers');
      });
  }

  /** The tasks of the member's gang, ordered by index. */
  tasksOf(member: Pick<GangMember, 'task' | 'attempt'>): TaskId[] {
    const tasks = [...this.gangOf(member)!.members.keys()];
    return tasks.sort((a, b) => parseTaskId(a).index - parseTaskId(b).index);
  }

  private gangOf(member: Pick<GangMember, 'task' | 'attempt'>): Gang | undefined {
    return this.gangs.get(gangKey(member));
  }
}

/** All tasks of a gang have the same attempt number, so job and attempt identify a gang. */
const gangKey = ({ task, attempt }: Pick<GangMember, 'task' | 'attempt'>): string =>
  `${parseTaskId(task).job}@${attempt}`;
