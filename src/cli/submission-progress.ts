// Shows the progress of a submission of several jobs: a progress bar on a terminal, otherwise a line for each
// job.
import { SingleBar } from 'cli-progress';
import type { Outcome } from '../../packages/client/src/index.ts';
import { exitCodeOf, type PrintedJob, printJob } from './job-outcome.ts';

/**
 * Shows jobs as they end. With a progress bar, the jobs whose outcome is not `done` are listed at the end.
 */
export class SubmissionProgress {
  private readonly bar: SingleBar | null;
  private readonly notDone: PrintedJob[] = [];
  /** The highest exit code so far. */
  exitCode = 0;

  constructor(
    total: number,
    private readonly json: boolean,
  ) {
    const showsBar = !json && process.stderr.isTTY;
    this.bar = showsBar ? new SingleBar({ format: '{bar} {value}/{total} jobs', hideCursor: true }) : null;
    this.bar?.start(total, 0);
  }

  /**
   * Reports a job that has ended, or (`outcome` null) was accepted if the command does not wait for its end.
   */
  add(name: string, id: string, outcome: Outcome | null): void {
    const job = { name, id, outcome };
    if (outcome !== null && outcome.kind !== 'done') this.notDone.push(job);
    this.exitCode = Math.max(this.exitCode, exitCodeOf(outcome));
    if (this.bar === null) printJob(job, this.json);
    else this.bar.increment();
  }

  /** Stops the progress bar. */
  stop(): void {
    this.bar?.stop();
  }

  /** Lists the jobs whose outcome is not `done`, which the progress bar does not show. */
  printNotDone(): void {
    if (this.bar === null) return;
    for (const job of this.notDone) printJob(job, false);
  }
}
