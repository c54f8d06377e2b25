// Deltas between the task lists of consecutive heartbeats of a machine. Most lists differ from the previous
// one in one or two tasks. Unchanged tasks remain the same objects, so that they are neither forwarded nor
// reconciled again.
import type { TaskStatus } from '../base/model.ts';

/** The changes that turn an earlier task list into a newer one. */
export interface TaskListDelta {
  /**
   * Indexes, in the earlier list, of tasks that the newer list does not contain or contains in another state;
   * ascending.
   */
  removed: number[];
  /** Tasks that are new or have changed, with their indexes in the newer list (`at`); ascending. */
  changed: { at: number; task: TaskStatus }[];
}

/** A newer task list with its delta to an earlier one. */
export interface TaskListDiff extends TaskListDelta {
  /**
   * The newer list, with the objects of the earlier list for unchanged tasks. If both lists are equal, this
   * is the earlier list itself.
   */
  tasks: readonly TaskStatus[];
}

/** Compares two task lists. Cost: one pass over both lists if the agent keeps the order of its tasks. */
export function diffTaskLists(before: readonly TaskStatus[], after: readonly TaskStatus[]): TaskListDiff {
  if (after === before) return { tasks: before, removed: [], changed: [] };
  const tasks: TaskStatus[] = [];
  const changed: TaskListDelta['changed'] = [];
  const kept = new Set<number>();
  let searchFrom = 0;
  for (const task of after) {
    let index = searchFrom;
    while (index < before.length && !isSameTask(before[index]!, task)) index++;
    const earlier = before[index];
    // Agents keep the order of their tasks. If one does not, the delta is correct but contains more tasks.
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

/** Applies a delta to a task list; returns null if the delta does not fit the list. */
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

/**
 * Inserts each changed task at its index among the kept ones; returns null if an index is out of range or out
 * of order.
 */
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
