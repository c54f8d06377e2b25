// Prints outcomes of jobs and maps them to exit codes.
import type { Outcome } from '../../packages/client/src/index.ts';
import { print } from './output.ts';

/** Exit codes, documented in docs/client.md; for several jobs the highest of their codes is used. */
export const EXIT = { done: 0, failed: 1, usage: 2, cancelled: 3, refused: 4, gaveUp: 5 } as const;

/** A job to be printed. */
export interface PrintedJob {
  /** The name of the job in its file; null if the command was given its id. */
  name: string | null;
  id: string;
  /** Null if the job was accepted and the command does not wait until it has ended. */
  outcome: Outcome | null;
}

/** The exit code for an outcome; null means that the job was accepted. */
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
