// Checks of every task start that a simulated world makes itself, with or without a rule checker.
import type { FakeWorker } from '../../packages/local-cluster/src/fake-worker.ts';
import { parseTaskId, type TaskId } from '../../src/types/index.ts';
import { type PlacedTask, placementViolations, ScannedPlacements } from './placement-rules.ts';
import { LIMITED_TEAM, LIMITED_TEAM_CPUS } from './simulated-settings.ts';
import type { SubmittedJob } from './simulated-users.ts';

/** The parts of a simulated world that the check reads. */
export interface PlacementCheckEnvironment {
  readonly now: number;
  readonly workers: ReadonlyMap<string, FakeWorker>;
  readonly jobs: ReadonlyMap<string, SubmittedJob>;
  /** Receives a line for each violation. */
  readonly violations: string[];
  isDoneInStore(job: string): boolean;
}

/** A task of a cancelled job may start no later than this after the cancellation was confirmed. */
const CANCEL_DEADLINE_MS = 40_000;

/** Checks task starts against the rules for placement, quotas, dependencies and cancellations. */
export class PlacementCheck {
  private readonly placements = new ScannedPlacements(() => this.onMachines());

  constructor(private readonly environment: PlacementCheckEnvironment) {}

  /** Checks the start of a task on a machine, before the machine has the task. */
  check(worker: FakeWorker, task: TaskId): void {
    const { now, jobs, violations } = this.environment;
    const report = (violation: string): number =>
      violations.push(`${(now / 1000).toFixed(2)} ${violation}: ${task} on ${worker.id}`);
    for (const placement of this.placements.all())
      if (placement.task === task) report(`ran_twice with ${placement.machine.id}`);
    const submitted = jobs.get(parseTaskId(task).job);
    if (submitted === undefined) return void report('unknown job');
    const { spec, cancelledAt } = submitted;
    if (cancelledAt !== null && now > cancelledAt + CANCEL_DEADLINE_MS) report('ran_cancelled');
    for (const id of spec.dependsOn ?? [])
      if (!this.environment.isDoneInStore(id)) report(`too_early for ${id}`);
    for (const _ of placementViolations(spec, worker, this.placements)) report('wrong_place');
    if (spec.team !== LIMITED_TEAM) return;
    const specOf = (job: string) => jobs.get(job)?.spec ?? null;
    const used = this.placements.usedBy(LIMITED_TEAM, specOf).cpus + spec.cpus;
    if (used > LIMITED_TEAM_CPUS) report(`quota ${used}`);
  }

  private *onMachines(): Iterable<PlacedTask> {
    for (const machine of this.environment.workers.values())
      for (const { task } of machine.activeTasks()) yield { task, machine };
  }
}
