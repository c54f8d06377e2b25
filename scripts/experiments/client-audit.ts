// Compares the outcomes that the client reported to the script of the experiment `client` with the final
// states in the key-value store and with the tasks that ran.
import { hasUnknownTeam, tasksOf } from './client-jobs.ts';

/** The outcome of a job as the client reported it to the script. */
export interface ReportedOutcome {
  key: string;
  id: string;
  kind: string;
}

/** A run of a task on a machine; times in milliseconds, and `to` is null while the task runs. */
export interface TaskRun {
  task: string;
  machine: string;
  from: number;
  to: number | null;
  why: string | null;
}

/** Final states in the key-value store, and runs of tasks on the machines. */
export interface ClusterRecord {
  /** Ids of the jobs whose final state is stored. */
  finished: readonly string[];
  /** The stored final state of a job; undefined if there is none. */
  stateOf(id: string): string | undefined;
  runs: readonly TaskRun[];
}

/** Counts of outcomes, and of violations of the client's guarantees. */
export interface Audit {
  outcomes: number;
  /** Jobs for which no outcome was reported. */
  lost: number;
  /** Jobs that were submitted twice, or reported with two different outcomes. */
  duplicated: number;
  /** Jobs whose reported outcome differs from the actual one. */
  wrong: number;
  /** Pairs of runs of one task that overlap in time. */
  concurrentRuns: number;
}

/** Checks all jobs of an experiment. */
export class ClientAudit {
  private readonly outcomes = new Map<string, ReportedOutcome>();
  private readonly keyOf = new Map<string, string>();
  private readonly runsOf = new Map<string, TaskRun[]>();
  private duplicated = 0;

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

  /** Checks the reported outcomes, given in the order in which they were reported. */
  audit(reported: readonly ReportedOutcome[]): Audit {
    for (const outcome of reported) this.addOutcome(outcome);
    // A job that finished under an id for which no outcome was reported was submitted twice.
    this.duplicated += this.record.finished.filter((id) => !this.keyOf.has(id)).length;
    const missing = Array.from({ length: this.jobs }, (_, n) => n).filter(
      (n) => !this.outcomes.has(`job-${n}`),
    );
    return {
      outcomes: this.outcomes.size,
      lost: missing.length,
      duplicated: this.duplicated,
      wrong: this.countWrong() + this.countIncompleteDone(),
      concurrentRuns: this.countConcurrentRuns(),
    };
  }

  private addOutcome(outcome: ReportedOutcome): void {
    const { key, id, kind } = outcome;
    const before = this.outcomes.get(key);
    if (before !== undefined && (before.id !== id || before.kind !== kind)) this.duplicated++;
    this.outcomes.set(key, outcome);
    this.keyOf.set(id, key);
  }

  /** Counts jobs whose reported outcome differs from the stored final state. */
  private countWrong(): number {
    let wrong = 0;
    for (let n = 0; n < this.jobs; n++) {
      const outcome = this.outcomes.get(`job-${n}`);
      if (outcome === undefined) continue;
      const recorded = this.record.stateOf(outcome.id);
      if (matchesRecord(n, outcome.kind, recorded)) continue;
      wrong++;
      this.log(`job-${n} ${outcome.id}: reported outcome ${outcome.kind}, stored final state ${recorded}`);
    }
    return wrong;
  }

  /** Counts tasks that never ran to completion although their job was reported as done. */
  private countIncompleteDone(): number {
    let wrong = 0;
    for (const { key, id, kind } of this.outcomes.values()) {
      if (kind !== 'done') continue;
      const tasks = tasksOf(Number(key.slice('job-'.length)));
      for (let i = 0; i < tasks; i++) {
        if (this.runsOf.get(`${id}/${i}`)?.some((run) => run.why === 'done')) continue;
        wrong++;
        this.log(`${id}/${i}: the job was reported as done, but this task never ran to completion`);
      }
    }
    return wrong;
  }

  private countConcurrentRuns(): number {
    let concurrent = 0;
    const endOf = (run: TaskRun): number => run.to ?? Number.POSITIVE_INFINITY;
    for (const [task, runs] of this.runsOf) {
      runs.sort((a, b) => a.from - b.from);
      for (let i = 1; i < runs.length; i++) {
        if (runs[i]!.from >= endOf(runs[i - 1]!)) continue;
        concurrent++;
        this.log(`runs of ${task} overlap: ${JSON.stringify(runs)}`);
      }
    }
    return concurrent;
  }
}

function matchesRecord(n: number, kind: string, recorded: string | undefined): boolean {
  if (hasUnknownTeam(n)) return recorded === undefined && kind !== 'done';
  return recorded === (kind === 'refused' ? undefined : kind);
}
