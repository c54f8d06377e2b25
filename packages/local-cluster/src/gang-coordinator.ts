// Gangs on the local cluster's machines: their tasks begin together, complete together, and notice a loss.
import type { ExitReason } from '../../../src/core/base/model.ts';
import { parseTaskId, type TaskId } from '../../../src/types/index.ts';
import type { SimulationClock } from './clock.ts';

/** A task of a gang that is under way. */
export interface GangMember {
  readonly task: TaskId;
  readonly attempt: number;
  /** Its command has ended with success. */
  readonly commandSucceeded: boolean;
  begin(): void;
  finish(reason: ExitReason): void;
}

/** Times of gangs, in seconds. */
export interface GangTimes {
  /** How long a task waits for the others of its gang. */
  gangWaitS: number;
  /** After half of it the others notice that a task is gone. */
  gangPeerS: number;
}

interface Gang {
  readonly members: Map<TaskId, GangMember>;
  started: boolean;
}

/** All gangs with tasks under way. */
export class GangCoordinator {
  private readonly gangs = new Map<string, Gang>();

  constructor(
    private readonly clock: SimulationClock,
    private readonly times: GangTimes,
  ) {}

  /** A task is ready to begin; `size`: tasks of its gang. */
  join(member: GangMember, size: number): void {
    const gang = this.gangOf(member) ?? { members: new Map<TaskId, GangMember>(), started: false };
    this.gangs.set(gangKey(member), gang);
    gang.members.set(member.task, member);
    if (gang.members.size >= size) {
      gang.started = true;
      for (const each of [...gang.members.values()]) each.begin();
      return;
    }
    this.clock.after(this.times.gangWaitS * 1000, () => {
      if (!gang.started) member.finish('alone');
    });
  }

  /** Whether the commands of all tasks have succeeded; a gang is complete only then. */
  hasSucceeded(member: GangMember): boolean {
    const gang = this.gangOf(member);
    return gang === undefined || [...gang.members.values()].every((each) => each.commandSucceeded);
  }

  /** A task has ended: the others complete with it, or notice its loss. */
  leave(member: GangMember, reason: ExitReason): void {
    const gang = this.gangOf(member);
    if (gang === undefined || gang.members.get(member.task) !== member) return;
    gang.members.delete(member.task);
    if (!gang.started) return;
    const others = [...gang.members.values()];
    if (reason === 'done') for (const other of others) other.finish('done');
    else
      this.clock.after((this.times.gangPeerS * 1000) / 2, () => {
        for (const other of others) other.finish('peers');
      });
  }

  /** The tasks of a gang, in the order of their indexes. */
  tasksOf(member: Pick<GangMember, 'task' | 'attempt'>): TaskId[] {
    const tasks = [...this.gangOf(member)!.members.keys()];
    return tasks.sort((a, b) => parseTaskId(a).index - parseTaskId(b).index);
  }

  private gangOf(member: Pick<GangMember, 'task' | 'attempt'>): Gang | undefined {
    return this.gangs.get(gangKey(member));
  }
}

/** Tasks of a gang find one another by their attempt. */
const gangKey = ({ task, attempt }: Pick<GangMember, 'task' | 'attempt'>): string =>
  `${parseTaskId(task).job}@${attempt}`;
