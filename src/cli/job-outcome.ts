// Outcomes of jobs as commands print them, and the exit codes that stand for them.
import type { Outcome } from '../../packages/client/src/index.ts';
import { print } from './output.ts';

/** Exit codes, documented in docs/client.md; of several jobs the highest counts. */
export const EXIT = { done: 0, trouble: 1, usage: 2, cancelled: 3, refused: 4, gaveUp: 5 } as const;

/** A job as it is printed. */
export interface PrintedJob {
  /** Its name in its file, or null if it was given by its id. */
  name: string | null;
  id: string;
  /** Null if the job was accepted and its end is not waited for. */
  outcome: Outcome | null;
}

/** The exit code for a job; null stands for an accepted one. */
export function exitCodeOf(outcome: Outcome | null): number {
  switch (outcome?.kind) {
    case undefined:
    case 'done':
      return EXIT.done;
    case 'cancelled':
      return EXIT.cancelled;
    case 'refused':
      return EXIT.refused;
    case 'gave-up':
      return EXIT.gaveUp;
  }
}

/** Prints a job in one line, as text or JSON. */
export function printJob({ name, id, outcome }: PrintedJob, json: boolean): void {
  if (json) {
    const named = name === null ? {} : { name };
    print(JSON.stringify({ ...named, id, ...(outcome ?? { kind: 'accepted' }) }));
    return;
  }
  const suffix = name === null ? '' : `  ${name}`;
  print(`${id}${suffix}  ${describeOutcome(outcome)}`);
}

function describeOutcome(outcome: Outcome | null): string {
  if (outcome === null) return 'accepted';
  switch (outcome.kind) {
    case 'refused': {
      const status = outcome.status === null ? '' : ` (${outcome.status})`;
      return `refused${status}: ${outcome.reason}`;
    }
    case 'gave-up':
      return `given up: ${outcome.reason}; ${outcome.resume}`;
    default:
      return outcome.kind;
  }
}
