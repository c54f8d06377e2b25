// What users and workers have seen, put in the order of its times and given to the rule checker: hosts of simulated
// workers tell it in batches.
import type { UserRequest, UserResponse } from '../../../src/core/base/model.ts';
import type { Place, RuleChecker } from '../../../test/support/rule-checker.ts';
import type { TaskEvent } from './messages.ts';
import type { TrackedPlacements } from './placements.ts';

/** Batches of different processes, and news of changes in force, come this much apart at the most. */
const SETTLE_MS = 1200;
const TIMED_CHECK_INTERVAL_MS = 1000;

/** What users, workers and the experiment itself have seen, by when it happened. */
type Observation =
  | TaskEvent
  | { at: number; kind: 'asked'; request: UserRequest }
  | { at: number; kind: 'told'; sentAt: number; request: UserRequest; answer: UserResponse }
  | { at: number; kind: 'over' };

/** Gives what users and workers saw to the rule checker, in the order in which it happened. */
export class ObservationQueue {
  private pending: Observation[] = [];
  private lastTimedCheckAt = 0;
  /** Starts a second, by the second in which they fell. */
  readonly startsBySecond = new Map<number, number>();
  /** Is told of tasks that are put on machines. */
  onTaskStart: (task: string, at: number) => void = () => {};

  constructor(
    private readonly rules: RuleChecker,
    private readonly placements: TrackedPlacements,
    private readonly machineOf: (id: string) => Place | undefined,
  ) {}

  /** Takes what was seen, in any order. */
  add(observations: readonly Observation[]): void {
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
    if (until < this.lastTimedCheckAt + TIMED_CHECK_INTERVAL_MS) return;
    this.lastTimedCheckAt = until;
    this.rules.look(until);
  }

  /** Tasks on machines. */
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
        return this.rules.completed(observation.task);
      case 'asked':
        return this.rules.asked(at, observation.request);
      case 'told':
        return this.rules.told(at, observation.sentAt, observation.request, observation.answer);
      case 'over':
        return this.rules.troublesOver(at);
    }
  }

  private onTaskPlaced(at: number, task: string, machineId: string): void {
    const machine = this.machineOf(machineId);
    const second = Math.floor(at / 1000);
    this.startsBySecond.set(second, (this.startsBySecond.get(second) ?? 0) + 1);
    if (machine !== undefined) this.rules.placing(at, task, machine);
    this.placements.add(task, machineId);
    this.onTaskStart(task, at);
  }
}
