// Puts tasks into the queues of machines, each under an attempt number that is never used twice for a task.
import type { Attempt } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Job } from '../jobs/job.ts';
import type { Machine } from '../machines/machine.ts';
import type { MachineTable } from '../machines/machine-table.ts';
import type { AttemptNumbers } from './attempt-numbers.ts';
import type { Reservations } from './reservations.ts';

/** Queues tasks on machines. */
export class TaskQueuing {
  constructor(
    private readonly io: ControllerIo,
    private readonly machines: MachineTable,
    private readonly reservations: Reservations,
    private readonly attempts: AttemptNumbers,
  ) {}

  /** Returns a new attempt number; attempt numbers increase with the term and within it. */
  nextAttempt(): Attempt {
    return this.attempts.take();
  }

  /** Puts a waiting task into the machine's queue, and ends the machine's reservation if there is one. */
  enqueue(machine: Machine, job: Job, index: number, attempt: Attempt): void {
    this.reservations.release(machine);
    this.machines.enqueue(machine, { job, index, attempt, queuedAt: this.io.now });
  }
}
