// What a simulated world itself checks of every start of a task, whether or not a rule checker is told of it.
import type { FakeWorker } from '../../packages/local-cluster/src/fake-worker.ts';
import { parseTaskId, type TaskId } from '../../src/types/index.ts';
import { type OnMachine, ScannedPlacements, wrongPlaces } from './placement-rules.ts';
import { LIMITED_TEAM, LIMITED_TEAM_CPUS } from './simulated-settings.ts';
import type { SubmittedJob } from './simulated-users.ts';

/** What the check knows of the world. */
export interface PlacementCheckEnvironment {
  readonly now: number;
  readonly workers: ReadonlyMap<string, FakeWorker>;
  readonly jobs: ReadonlyMap<string, SubmittedJob>;
  /** Gets a line for each rule that a start breaks. */
  readonly broken: string[];
  doneOnRecord(job: string): boolean;
}

/** A task of a cancelled job may start no later than this after its user was told. */
const CANCEL_MS = 40_000;

/** Checks starts of tasks against the rules of placement, quota, dependencies and cancellation. */
export class PlacementCheck {
  private readonly placements = new ScannedPlacements(() => this.onMachines());

  constructor(private readonly environment: PlacementCheckEnvironment) {}

  /** The task is about to be on the machine. */
  check(worker: FakeWorker, task: TaskId): void {
    const { now, jobs, broken } = this.environment;
    const report = (fault: string): number =>
      broken.push(`${(now / 1000).toFixed(2)} ${fault}: ${task} on ${worker.id}`);
    for (const placement of this.placements.all())
      if (placement.task === task) report(`ran_twice with ${placement.machine.id}`);
    const submitted = jobs.get(parseTaskId(task).job);
    if (submitted === undefined) return void report('unknown job');
    const { spec, cancelledAt } = submitted;
    if (cancelledAt !== null && now > cancelledAt + CANCEL_MS) report('ran_cancelled');
    for (const id of spec.dependsOn ?? [])
      if (!this.environment.doneOnRecord(id)) report(`too_early for ${id}`);
    for (const _ of wrongPlaces(spec, worker, this.placements)) report('wrong_place');
    if (spec.team !== LIMITED_TEAM) return;
    const specOf = (job: string) => jobs.get(job)?.spec ?? null;
    const used = this.placements.usedBy(LIMITED_TEAM, specOf).cpus + spec.cpus;
    if (used > LIMITED_TEAM_CPUS) report(`quota ${used}`);
  }

  private *onMachines(): Iterable<OnMachine> {
    for (const machine of this.environment.workers.values())
      for (const { task } of machine.live()) yield { task, machine };
  }
}
