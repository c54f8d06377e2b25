// Sorts the observations of users and workers by time and passes them to the rule checker; host processes
// send theirs in batches, so that they arrive out of order.
import type { UserRequest, UserResponse } from '../../../src/core/base/model.ts';
import type { MachineInfo, RuleChecker } from '../../../test/support/rule-checker.ts';
import type { TaskEvent } from './messages.ts';
import type { TrackedPlacements } from './placements.ts';

/** Longest delay until observations of other processes, or the news that a change is in force, arrive. */
const SETTLE_MS = 1200;
const TIMED_CHECK_INTERVAL_MS = 1000;

/**
 * Something that users, workers or the experiment itself have observed, and when. `asked`: a user has sent a
 * request. `told`: it has received the response to the request that it sent at `sentAt`. `over`: there are no
 * faults from this moment on.
 */
type Observation =
  | TaskEvent
  | { at: number; kind: 'asked'; request: UserRequest }
  | { at: number; kind: 'told'; sentAt: number; request: UserRequest; answer: UserResponse }
  | { at: number; kind: 'over' };

/** Passes observations to the rule checker in the order of their times. */
export class ObservationQueue {
  private pending: Observation[] = [];
  private lastTimedCheckAt = 0;
  /** Number of task starts in each second of wall time. */
  readonly startsBySecond = new Map<number, number>();
  /** Called when a task is placed on a machine. */
  onTaskStart: (task: string, at: number) => void = () => {};

  constructor(
    private readonly rules: RuleChecker,
    private readonly placements: TrackedPlacements,
    private readonly machineOf: (id: string) => MachineInfo | undefined,
  ) {}

  /** Adds observations, in any order. */
  add(observations: readonly Observation[]): void {
    for (const observation of observations) this.pending.push(observation);
  }

  /** Checks all observations that are so old that no later batch can contain an earlier one. */
  advance(now: number): void {
    const until = now - SETTLE_MS;
    this.pending.sort((a, b) => a.at - b.at);
    let settled = 0;
    while (settled < this.pending.length && this.pending[settled]!.at <= until)
      this.check(this.pending[settled++]!);
    this.pending = this.pending.slice(settled);
    if (until < this.lastTimedCheckAt + TIMED_CHECK_INTERVAL_MS) return;
    this.lastTimedCheckAt = until;
    this.rules.checkTimeLimits(until);
  }

  /** Number of tasks on machines. */
  get runningTasks(): number {
    return this.placements.size;
  }

  private check(observation: Observation): void {
    const { at } = observation;
    switch (observation.kind) {
      case 'on':
        return this.onTaskPlaced(at, observation.task, observation.machine);
      case 'off':
        return this.placements.remove(observation.task, observation.machine);
      case 'done':
        return this.rules.onTaskDone(observation.task);
      case 'asked':
        return this.rules.onRequest(at, observation.request);
      case 'told':
        return this.rules.onResponse(at, observation.sentAt, observation.request, observation.answer);
      case 'over':
        return this.rules.onFaultsEnded(at);
    }
  }

  private onTaskPlaced(at: number, task: string, machineId: string): void {
    const machine = this.machineOf(machineId);
    const second = Math.floor(at / 1000);
    this.startsBySecond.set(second, (this.startsBySecond.get(second) ?? 0) + 1);
    if (machine !== undefined) this.rules.onTaskStart(at, task, machine);
    this.placements.add(task, machineId);
    this.onTaskStart(task, at);
  }
}
