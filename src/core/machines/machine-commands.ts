// The commands in a heartbeat response: forget what is recorded, stop what must not run, start what is
// queued.
import { taskId } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Command, Settings } from '../base/model.ts';
import { type TaskAssignment, TaskPhase } from '../jobs/job.ts';
import type { JobTable } from '../jobs/job-table.ts';
import { hasFreeCapacity } from './capacity-checks.ts';
import { HEARTBEAT_TRANSIT_MS, MAX_HEARTBEAT_INTERVALS } from './lease-monitor.ts';
import type { Machine } from './machine.ts';
import type { MachineAssignments } from './machine-assignments.ts';
import type { ExitedTask, QueuedTask } from './machine-tasks.ts';

/** Added to the time that a task needs for its checkpoint when it is stopped with grace. */
const CHECKPOINT_MARGIN_S = 1;

/** Decides on the commands to a machine. */
export class MachineCommands {
  constructor(
    private readonly io: ControllerIo,
    private readonly settings: Settings,
    private readonly jobs: JobTable,
    private readonly assignments: MachineAssignments,
  ) {}

  /** Commands that follow from what is known of the machine; each may be sent repeatedly. */
  commandsFor(machine: Machine): Command[] {
    const commands: Command[] = [];
    for (const exited of machine.exitedTasks.values()) {
      if (this.mayForget(exited)) commands.push({ op: 'forget', task: exited.task, attempt: exited.attempt });
    }
    for (const orphan of machine.orphans)
      commands.push({ op: 'stop', task: orphan.task, attempt: orphan.attempt, graceS: 0 });
    for (const assignment of machine.assignments.values()) this.stopIfNeeded(machine, assignment, commands);
    return commands;
  }

  /** Starts queued tasks, head first, as far as the machine's last heartbeat shows free capacity. */
  startQueued(machine: Machine, mayStart: (queued: QueuedTask) => boolean): Command[] {
    const commands: Command[] = [];
    while (machine.queue.length > 0 && machine.isSchedulable) {
      const queued = machine.queue[0]!;
      if (!hasFreeCapacity(machine, queued.job) || !mayStart(queued)) break;
      commands.push(this.startQueueHead(machine, queued));
    }
    if (!machine.isEmpty) machine.idleSince = this.io.now;
    return commands;
  }

  private startQueueHead(machine: Machine, { job, index, attempt }: QueuedTask): Command {
    this.assignments.takeQueueHead(machine);
    this.assignments.assign(machine, job, index, attempt, machine.seq);
    const task = taskId(job.id, index);
    this.io.log('debug', 'task started', { task, machine: machine.id, attempt });
    return { op: 'start', task, attempt };
  }

  /** The machine is the only one that knows the result of a task until it is recorded. */
  private mayForget(exited: ExitedTask): boolean {
    if (exited.exitReason !== 'done') return true;
    return this.jobs.isResultRecorded(this.jobs.openJobs.get(exited.job), exited.index);
  }

  private stopIfNeeded(machine: Machine, assignment: TaskAssignment, commands: Command[]): void {
    const { job, index, attempt } = assignment;
    if (job.isCancelling || job.phases[index] === TaskPhase.Done) assignment.stopping = { graceS: 0 };
    else if (assignment.stopping === null && this.mustCheckpointNow(machine, assignment))
      assignment.stopping = { graceS: job.spec.checkpointDurationS + CHECKPOINT_MARGIN_S };
    if (assignment.stopping === null || assignment.state === 'sent') return;
    const { graceS } = assignment.stopping;
    // A task goes on saving undisturbed; only a stop without grace is repeated over it.
    if (assignment.state === 'saving' && graceS > 0) return;
    commands.push({ op: 'stop', task: taskId(job.id, index), attempt, graceS });
  }

  /**
   * Whether this is the last heartbeat whose response can still stop a task in time for its checkpoint before
   * the preemption.
   */
  private mustCheckpointNow(machine: Machine, assignment: TaskAssignment): boolean {
    const { checkpointIntervalS, checkpointDurationS } = assignment.job.spec;
    if (machine.preemptedAt === null || checkpointIntervalS === 0 || assignment.state !== 'running')
      return false;
    const leftS = (machine.preemptedAt - this.io.now) / 1000;
    const nextHeartbeatS = this.settings.workers.heartbeatS * MAX_HEARTBEAT_INTERVALS;
    return leftS < checkpointDurationS + nextHeartbeatS + HEARTBEAT_TRANSIT_MS / 1000;
  }
}
