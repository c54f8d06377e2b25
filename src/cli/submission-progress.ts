// Shows how a submission of several jobs goes on: a line for each job, or a bar on a terminal.
import { SingleBar } from 'cli-progress';
import type { Outcome } from '../../packages/client/src/index.ts';
import { exitCodeOf, type PrintedJob, printJob } from './job-outcome.ts';

/** Shows the jobs as they end; on a terminal those that were not done are listed once the bar is full. */
export class SubmissionProgress {
  private readonly bar: SingleBar | null;
  private readonly notDone: PrintedJob[] = [];
  /** The highest exit code so far. */
  exitCode = 0;

  constructor(
    total: number,
    private readonly json: boolean,
  ) {
    const withBar = !json && process.stderr.isTTY;
    this.bar = withBar ? new SingleBar({ format: '{bar} {value}/{total} jobs', hideCursor: true }) : null;
    this.bar?.start(total, 0);
  }

  /** A job has ended, or was accepted if its end is not waited for (null). */
  add(name: string, id: string, outcome: Outcome | null): void {
    const job = { name, id, outcome };
    if (outcome !== null && outcome.kind !== 'done') this.notDone.push(job);
    this.exitCode = Math.max(this.exitCode, exitCodeOf(outcome));
    if (this.bar === null) printJob(job, this.json);
    else this.bar.increment();
  }

  /** Ends the bar, on success or not. */
  stop(): void {
    this.bar?.stop();
  }

  /** Lists what the bar has not shown. */
  printNotDone(): void {
    if (this.bar === null) return;
    for (const job of this.notDone) printJob(job, false);
  }
}
