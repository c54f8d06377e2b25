// Compares what the script of the experiment `client` was told with what is on record and with what ran.
import { hasUnknownTeam, tasksOf } from './client-jobs.ts';

/** The outcome of a job as the script was told. */
export interface ToldOutcome {
  key: string;
  id: string;
  kind: string;
}

/** A run of a task on a machine, in milliseconds; `to` is null while it runs. */
export interface TaskRun {
  task: string;
  machine: string;
  from: number;
  to: number | null;
  why: string | null;
}

/** What the key-value store and the machines know. */
export interface ClusterRecord {
  /** Ids of jobs whose final state is on record. */
  finished: readonly string[];
  /** The final state of a job; undefined if there is none. */
  stateOf(id: string): string | undefined;
  runs: readonly TaskRun[];
}

/** How many jobs and tasks did not go as they must. */
export interface Audit {
  outcomes: number;
  /** Jobs of which nothing was told. */
  lost: number;
  /** Jobs that were submitted twice, or told of with two outcomes. */
  doubled: number;
  /** Jobs that were told of otherwise than they went. */
  wrong: number;
  /** Tasks that ran twice at once. */
  twice: number;
}

/** Checks all jobs of a day. */
export class ClientAudit {
  private readonly outcomes = new Map<string, ToldOutcome>();
  private readonly keyOf = new Map<string, string>();
  private readonly runsOf = new Map<string, TaskRun[]>();
  private doubled = 0;

  constructor(
    private readonly jobs: number,
    private readonly record: ClusterRecord,
    private readonly log: (line: string) => void,
  ) {
    for (const run of record.runs) {
      const runs = this.runsOf.get(run.task) ?? [];
      runs.push(run);
      this.runsOf.set(run.task, runs);
    }
  }

  /** The outcomes in the order in which they were told. */
  audit(told: readonly ToldOutcome[]): Audit {
    for (const outcome of told) this.addOutcome(outcome);
    // Accepted by the service, and nobody knows of it.
    this.doubled += this.record.finished.filter((id) => !this.keyOf.has(id)).length;
    const missing = Array.from({ length: this.jobs }, (_, n) => n).filter(
      (n) => !this.outcomes.has(`job-${n}`),
    );
    return {
      outcomes: this.outcomes.size,
      lost: missing.length,
      doubled: this.doubled,
      wrong: this.countWrong() + this.countFalselyDone(),
      twice: this.countTwice(),
    };
  }

  private addOutcome(outcome: ToldOutcome): void {
    const { key, id, kind } = outcome;
    const before = this.outcomes.get(key);
    if (before !== undefined && (before.id !== id || before.kind !== kind)) this.doubled++;
    this.outcomes.set(key, outcome);
    this.keyOf.set(id, key);
  }

  /** Jobs whose outcome is not that on record. */
  private countWrong(): number {
    let wrong = 0;
    for (let n = 0; n < this.jobs; n++) {
      const outcome = this.outcomes.get(`job-${n}`);
      if (outcome === undefined) continue;
      const recorded = this.record.stateOf(outcome.id);
      if (isAsRecorded(n, outcome.kind, recorded)) continue;
      wrong++;
      this.log(`job-${n} ${outcome.id}: told ${outcome.kind}, recorded ${recorded}`);
    }
    return wrong;
  }

  /** Tasks that never ran to their end, of jobs that are called done. */
  private countFalselyDone(): number {
    let wrong = 0;
    for (const { key, id, kind } of this.outcomes.values()) {
      if (kind !== 'done') continue;
      const tasks = tasksOf(Number(key.slice('job-'.length)));
      for (let i = 0; i < tasks; i++) {
        if (this.runsOf.get(`${id}/${i}`)?.some((run) => run.why === 'done')) continue;
        wrong++;
        this.log(`${id}/${i} is called done and never was`);
      }
    }
    return wrong;
  }

  private countTwice(): number {
    let twice = 0;
    const endOf = (run: TaskRun): number => run.to ?? Number.POSITIVE_INFINITY;
    for (const [task, runs] of this.runsOf) {
      runs.sort((a, b) => a.from - b.from);
      for (let i = 1; i < runs.length; i++) {
        if (runs[i]!.from >= endOf(runs[i - 1]!)) continue;
        twice++;
        this.log(`${task} ran twice at once: ${JSON.stringify(runs)}`);
      }
    }
    return twice;
  }
}

function isAsRecorded(n: number, kind: string, recorded: string | undefined): boolean {
  if (hasUnknownTeam(n)) return recorded === undefined && kind !== 'done';
  return recorded === (kind === 'refused' ? undefined : kind);
}
