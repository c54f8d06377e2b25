// Determines the commands in heartbeat responses: forget exited tasks (completed ones once their results are
// stored), stop tasks that must not run, and start queued tasks.
import { taskId } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Command, Settings } from '../base/model.ts';
import { type TaskAssignment, TaskPhase } from '../jobs/job.ts';
import type { JobTable } from '../jobs/job-table.ts';
import { hasUnusedCapacity } from './capacity-checks.ts';
import { commandsForResponse } from './command-list.ts';
import { HEARTBEAT_TRANSIT_MS, MAX_HEARTBEAT_INTERVALS } from './lease-monitor.ts';
import type { Machine } from './machine.ts';
import type { MachineAssignments } from './machine-assignments.ts';
import type { ExitedTask, QueuedTask } from './machine-tasks.ts';

/** Added to the checkpoint duration of a task in the grace period of its stop command. */
const CHECKPOINT_MARGIN_S = 1;

/** Determines the commands to a machine. */
export class MachineCommands {
  constructor(
    private readonly io: ControllerIo,
    private readonly settings: Settings,
    private readonly jobs: JobTable,
    private readonly assignments: MachineAssignments,
  ) {}

  /**
   * Forget and stop commands that the machine's state requires, as many as fit into one response; each may be
   * sent repeatedly.
   */
  commandsFor(machine: Machine): Command[] {
    const commands: Command[] = [];
    for (const exited of machine.exitedTasks.values()) {
      if (this.maySendForget(exited))
        commands.push({ op: 'forget', task: exited.task, attempt: exited.attempt });
    }
    for (const orphan of machine.orphans)
      commands.push({ op: 'stop', task: orphan.task, attempt: orphan.attempt, graceS: 0 });
    for (const assignment of machine.assignments.values()) this.stopIfNeeded(machine, assignment, commands);
    return commandsForResponse(commands);
  }

  /** Starts queued tasks in order until the next one does not fit on the machine or may not start. */
  startQueued(machine: Machine, mayStart: (queued: QueuedTask) => boolean): Command[] {
    const commands: Command[] = [];
    while (machine.queue.length > 0 && machine.isSchedulable) {
      const queued = machine.queue[0]!;
      if (!hasUnusedCapacity(machine, queued.job) || !mayStart(queued)) break;
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

  /** Until the result of a completed task is stored, its machine holds the only copy. */
  private maySendForget(exited: ExitedTask): boolean {
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
    // A task that is saving its checkpoint is not sent the command again, except for a stop without grace.
    if (assignment.state === 'saving' && graceS > 0) return;
    commands.push({ op: 'stop', task: taskId(job.id, index), attempt, graceS });
  }

  /**
   * Whether the task must be stopped now to save its checkpoint before the preemption, as the response to the
   * next heartbeat may arrive too late.
   */
  private mustCheckpointNow(machine: Machine, assignment: TaskAssignment): boolean {
    const { checkpointIntervalS, checkpointDurationS } = assignment.job.spec;
    if (machine.preemptedAt === null || checkpointIntervalS === 0 || assignment.state !== 'running')
      return false;
    const untilPreemptionS = (machine.preemptedAt - this.io.now) / 1000;
    const nextHeartbeatS = this.settings.workers.heartbeatS * MAX_HEARTBEAT_INTERVALS;
    return untilPreemptionS < checkpointDurationS + nextHeartbeatS + HEARTBEAT_TRANSIT_MS / 1000;
  }
}
