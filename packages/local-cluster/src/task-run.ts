// Job descriptions and records of task attempts on the local cluster's machines.
import type { ExitReason } from '../../../src/core/base/model.ts';
import type { TaskId } from '../../../src/types/index.ts';
import type { Uint64 } from '../../../src/types/uint64.ts';

/** The description of a job for the machines that run its tasks; stored and sent in this form. */
export interface JobDescription {
  kind: 'array' | 'gang' | 'service';
  tasks: number;
  image: string;
  imageGb: number;
  /** Simulated run time of a task without a command, in seconds. */
  runS: number;
  /** Program and arguments; null to simulate the run time only. */
  command: string[] | null;
}

/** A record of one task attempt; experiments audit these records. */
export interface Run {
  task: TaskId;
  attempt: Uint64;
  machine: string;
  /** When it began, in milliseconds. */
  from: number;
  /** When it ended, in milliseconds; null while it runs. */
  to: number | null;
  /** Why it ended; null while it runs. */
  why: ExitReason | 'killed' | null;
}
