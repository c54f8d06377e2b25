// The tasks that a machine lists, report after report. Most lists are the last one with a change or two: what has not
// changed stays the same object, so that it need be neither sent on nor read again.
import type { TaskStatus } from '../base/model.ts';

export interface TaskListDelta {
  /** Places in the earlier list that are not in the new one as they were. */
  removed: number[];
  /** What is new or has changed, with its place in the new list, from first to last. */
  changed: { at: number; task: TaskStatus }[];
}
export interface TaskListDiff extends TaskListDelta {
  /** The new list; what it has in common with the earlier one is that one's object. The earlier list itself if equal. */
  tasks: readonly TaskStatus[];
}

export function diffTaskLists(before: readonly TaskStatus[], now: readonly TaskStatus[]): TaskListDiff {
  if (now === before) return { tasks: before, removed: [], changed: [] };
  const tasks: TaskStatus[] = [];
  const changed: TaskListDelta['changed'] = [];
  const kept = new Set<number>();
  let from = 0;
  for (const t of now) {
    let k = from;
    while (k < before.length && !sameTask(before[k]!, t)) k++;
    const old = before[k];
    // Workers keep their order; one that does not only has more of its list told anew.
    if (old !== undefined) from = k + 1;
    if (old !== undefined && sameState(old, t)) {
      kept.add(k);
      tasks.push(old);
    } else {
      changed.push({ at: tasks.length, task: t });
      tasks.push(t);
    }
  }
  if (changed.length === 0 && kept.size === before.length) return { tasks: before, removed: [], changed };
  return { tasks, removed: [...before.keys()].filter((i) => !kept.has(i)), changed };
}

/** The list after a change; null if the change cannot be of this list. */
export function applyTaskListDelta(
  before: readonly TaskStatus[],
  c: TaskListDelta,
): readonly TaskStatus[] | null {
  if (c.removed.length === 0 && c.changed.length === 0) return before;
  const dropped = new Set(c.removed);
  if ([...dropped].some((i) => i >= before.length)) return null;
  const kept = before.filter((_, i) => !dropped.has(i));
  const out: TaskStatus[] = [];
  const length = kept.length + c.changed.length;
  let next = 0;
  for (let k = 0; out.length < length; ) {
    const change = c.changed[next];
    if (change?.at === out.length) {
      out.push(change.task);
      next++;
    } else if (k < kept.length) out.push(kept[k++]!);
    else return null;
  }
  return next === c.changed.length ? out : null;
}

const sameTask = (a: TaskStatus, b: TaskStatus): boolean =>
  a === b || (a.attempt === b.attempt && a.task === b.task);

const sameState = (a: TaskStatus, b: TaskStatus): boolean =>
  a === b || (a.state === b.state && a.exitReason === b.exitReason && a.checkpointed === b.checkpointed);
