// Deltas between the task lists of a machine's heartbeats. Most lists are the last one with a change or two:
// what has not changed stays the same object, so that it need be neither forwarded nor reconciled again.
import type { TaskStatus } from '../base/model.ts';

/** What turns an earlier task list into a newer one. */
export interface TaskListDelta {
  /**
   * Indexes in the earlier list of tasks that are not in the newer one, or not in the same state; ascending.
   */
  removed: number[];
  /** Tasks that are new or have changed, with their indexes in the newer list; ascending. */
  changed: { at: number; task: TaskStatus }[];
}

/** A newer task list with its delta to an earlier one. */
export interface TaskListDiff extends TaskListDelta {
  /**
   * The newer list; what it has in common with the earlier one are the same objects. If both are equal, the
   * earlier list itself.
   */
  tasks: readonly TaskStatus[];
}

/** Compares two task lists. Work: one pass over both if the agent keeps the order of its tasks. */
export function diffTaskLists(before: readonly TaskStatus[], now: readonly TaskStatus[]): TaskListDiff {
  if (now === before) return { tasks: before, removed: [], changed: [] };
  const tasks: TaskStatus[] = [];
  const changed: TaskListDelta['changed'] = [];
  const kept = new Set<number>();
  let searchFrom = 0;
  for (const task of now) {
    let index = searchFrom;
    while (index < before.length && !isSameTask(before[index]!, task)) index++;
    const earlier = before[index];
    // Agents keep the order of their tasks; for one that does not, only more of the list counts as changed.
    if (earlier !== undefined) searchFrom = index + 1;
    if (earlier !== undefined && isSameState(earlier, task)) {
      kept.add(index);
      tasks.push(earlier);
    } else {
      changed.push({ at: tasks.length, task });
      tasks.push(task);
    }
  }
  if (changed.length === 0 && kept.size === before.length) return { tasks: before, removed: [], changed };
  return { tasks, removed: [...before.keys()].filter((index) => !kept.has(index)), changed };
}

/** The list after the delta; null if the delta cannot be one to this list. */
export function applyTaskListDelta(
  before: readonly TaskStatus[],
  { removed, changed }: TaskListDelta,
): readonly TaskStatus[] | null {
  if (removed.length === 0 && changed.length === 0) return before;
  const removedIndexes = new Set(removed);
  if ([...removedIndexes].some((index) => index >= before.length)) return null;
  const kept = before.filter((_, index) => !removedIndexes.has(index));
  return mergeChanges(kept, changed);
}

/** Puts each changed task at its index and the kept ones between them; null if some task is left over. */
function mergeChanges(kept: TaskStatus[], changed: TaskListDelta['changed']): TaskStatus[] | null {
  const merged: TaskStatus[] = [];
  const length = kept.length + changed.length;
  let nextKept = 0;
  let nextChange = 0;
  while (merged.length < length) {
    const change = changed[nextChange];
    if (change?.at === merged.length) {
      merged.push(change.task);
      nextChange++;
    } else if (nextKept < kept.length) merged.push(kept[nextKept++]!);
    else return null;
  }
  return nextChange === changed.length ? merged : null;
}

const isSameTask = (a: TaskStatus, b: TaskStatus): boolean =>
  a === b || (a.attempt === b.attempt && a.task === b.task);

const isSameState = (a: TaskStatus, b: TaskStatus): boolean =>
  a === b || (a.state === b.state && a.exitReason === b.exitReason && a.checkpointed === b.checkpointed);
