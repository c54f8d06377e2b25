// What is known of jobs on the local cluster's machines, and of the starts of their tasks.
import type { ExitReason } from '../../../src/core/base/model.ts';
import type { TaskId } from '../../../src/types/index.ts';

/** What users tell the machines of a job; stored and sent in this form. */
export interface JobDescription {
  kind: 'array' | 'gang' | 'service';
  tasks: number;
  image: string;
  imageGb: number;
  /** How long a task runs if there is no command, in seconds. */
  runS: number;
  /** Program and arguments; null: nothing but time passes. */
  command: string[] | null;
}

/** A start of a task, and how it ended; what the checks of experiments read. */
export interface Run {
  task: TaskId;
  attempt: number;
  machine: string;
  /** When it began, in milliseconds. */
  from: number;
  /** When it ended; null before. */
  to: number | null;
  /** How it ended; null before. */
  why: ExitReason | 'killed' | null;
}
