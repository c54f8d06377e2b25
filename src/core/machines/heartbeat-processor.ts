// Processes the heartbeats of machines: detects new agent epochs, updates the state of the machine and
// reconciles its tasks.
import { addMs, type FencingToken } from '../../types/index.ts';
import type { Uint64 } from '../../types/uint64.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Heartbeat } from '../base/model.ts';
import { diffTaskLists } from '../heartbeats/task-list-delta.ts';
import type { Machine } from './machine.ts';
import type { CycleRequester, MachineAssignments } from './machine-assignments.ts';
import { CordonReason, type MachineStateUpdater } from './machine-state-updater.ts';
import type { TaskReconciler } from './task-reconciler.ts';

/** Dependencies of {@link HeartbeatProcessor}. */
export interface HeartbeatProcessorDependencies {
  io: ControllerIo;
  fencingToken: FencingToken;
  assignments: MachineAssignments;
  reconciler: TaskReconciler;
  updater: MachineStateUpdater;
  listener: CycleRequester;
}

/** Updates the state of machines from their heartbeats. */
export class HeartbeatProcessor {
  private readonly io: ControllerIo;
  private readonly fencingToken: FencingToken;
  private readonly assignments: MachineAssignments;
  private readonly reconciler: TaskReconciler;
  private readonly updater: MachineStateUpdater;
  private readonly listener: CycleRequester;

  constructor(dependencies: HeartbeatProcessorDependencies) {
    this.io = dependencies.io;
    this.fencingToken = dependencies.fencingToken;
    this.assignments = dependencies.assignments;
    this.reconciler = dependencies.reconciler;
    this.updater = dependencies.updater;
    this.listener = dependencies.listener;
  }

  /** Processes a heartbeat; returns false without any change if the heartbeat is stale. */
  process(machine: Machine, heartbeat: Heartbeat, isProbeReply: boolean): boolean {
    if (isStale(machine, heartbeat)) return false;
    if (heartbeat.agentEpoch > machine.agentEpoch) this.beginEpoch(machine, heartbeat.agentEpoch);
    const { lastTaskList } = machine;
    const tasks =
      lastTaskList === null ? heartbeat.tasks : diffTaskLists(lastTaskList, heartbeat.tasks).tasks;
    this.recordHeartbeat(machine, heartbeat);
    this.recordPreemptionNotice(machine, heartbeat.preemptionNoticeS);
    if (!machine.isTaskListSettled || tasks !== lastTaskList)
      this.reconciler.reconcile(machine, tasks, heartbeat.seq);
    if (!machine.isEmpty) machine.idleSince = this.io.now;
    machine.lastTaskList = tasks;
    machine.isLastHeartbeatProbeReply = isProbeReply;
    if (heartbeat.fencingToken === this.fencingToken && !machine.isReconciled) this.onReconciled(machine);
    this.updater.updateIndexes(machine);
    return true;
  }

  /** Removes all tasks: a new epoch begins without any, and its agent executes no earlier command. */
  private beginEpoch(machine: Machine, agentEpoch: Uint64): void {
    if (machine.assignments.size > 0)
      this.io.log('info', 'tasks lost: agent epoch ended', {
        machine: machine.id,
        tasks: machine.assignments.size,
      });
    this.assignments.removeAll(machine);
    machine.agentEpoch = agentEpoch;
    machine.lastTaskList = null;
    machine.orphans = [];
  }

  private recordHeartbeat(machine: Machine, heartbeat: Heartbeat): void {
    machine.seq = heartbeat.seq;
    machine.addr = heartbeat.addr;
    machine.isUp = true;
    machine.lastHeartbeat = this.io.now;
    machine.isOverdue = false;
    machine.reconnectDeadline = null;
  }

  private recordPreemptionNotice(machine: Machine, noticeS: number | null): void {
    if (noticeS === null) return;
    if (machine.preemptedAt === null) {
      this.io.log('info', 'preemption notice received', { machine: machine.id, noticeS });
      this.updater.cordon(machine, CordonReason.preemptionNotice);
    }
    machine.preemptedAt = addMs(this.io.now, noticeS * 1000);
  }

  private onReconciled(machine: Machine): void {
    machine.isReconciled = true;
    this.io.log('debug', 'machine reconciled', { machine: machine.id, tasks: machine.assignments.size });
    this.listener.requestCycle();
  }
}

function isStale(machine: Machine, heartbeat: Heartbeat): boolean {
  const { agentEpoch, seq } = heartbeat;
  if (agentEpoch < machine.agentEpoch) return true;
  if (agentEpoch === machine.agentEpoch && seq <= machine.seq) return true;
  // The lease of the epoch has expired, so all its tasks have been stopped: a heartbeat of it that a network
  // partition has delayed lists tasks that no longer run.
  return agentEpoch <= machine.expiredEpoch;
}
