// Puts tasks on the queues of machines, each under an attempt that is never used twice for a task.
import type { Attempt, Revision } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Job } from '../jobs/job.ts';
import type { Machine } from '../machines/machine.ts';
import type { MachineTable } from '../machines/machine-table.ts';
import type { Reservations } from './reservations.ts';

/** Attempts that one term has; terms are revisions, and the product of both stays below 2^53. */
const ATTEMPTS_PER_TERM = 2 ** 24;

/** Queues tasks on machines. */
export class TaskQueuing {
  private attempts = 0;

  constructor(
    private readonly io: ControllerIo,
    private readonly machines: MachineTable,
    private readonly reservations: Reservations,
    private readonly term: Revision,
  ) {}

  /** A new attempt: attempts rise with the term and within it. */
  nextAttempt(): Attempt {
    this.attempts++;
    return (this.term * ATTEMPTS_PER_TERM + this.attempts) as Attempt;
  }

  /** Puts a waiting task on the machine's queue; a reservation of the machine ends with it. */
  enqueue(machine: Machine, job: Job, index: number, attempt: Attempt): void {
    this.reservations.release(machine);
    this.machines.enqueue(machine, { job, index, attempt, since: this.io.now });
  }
}
