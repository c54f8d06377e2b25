// The machines of a leader's term: which there are, what runs on them, and until when it may.
import type { FencingToken, Instant, MachineId, Revision, ZoneName } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Command, Heartbeat, MachineType, Settings } from '../base/model.ts';
import type { JobTable } from '../jobs/job-table.ts';
import type { Quota } from '../teams/quota.ts';
import type { CapacityIndex } from './capacity-index.ts';
import { HeartbeatProcessor } from './heartbeat-processor.ts';
import { LeaseMonitor } from './lease-monitor.ts';
import { Machine } from './machine.ts';
import { type CycleRequester, MachineAssignments } from './machine-assignments.ts';
import { MachineCommands } from './machine-commands.ts';
import type { MachineRegistry } from './machine-registry.ts';
import type { MachineStateUpdater } from './machine-state-updater.ts';
import type { QueuedTask } from './machine-tasks.ts';
import { type TaskListener, TaskReconciler } from './task-reconciler.ts';
import { Tombstones } from './tombstones.ts';

/** Is notified of what happens to tasks and machines. */
export interface MachineTableListener extends TaskListener, CycleRequester {}

/** What {@link MachineTable} depends on. */
export interface MachineTableDependencies {
  io: ControllerIo;
  settings: Settings;
  jobs: JobTable;
  registry: MachineRegistry;
  quota: Quota;
  capacityIndex: CapacityIndex;
  listener: MachineTableListener;
  term: Revision;
}

/** All machines of a term, and the only way to change what is known of one. */
export class MachineTable implements MachineStateUpdater {
  readonly byId = new Map<MachineId, Machine>();
  /** Machines that were removed for good; lists of the cloud may still show them. */
  readonly tombstones: Tombstones;
  /** The term's token; commands under an older one are refused by the agents. */
  readonly fencingToken: FencingToken;
  private readonly io: ControllerIo;
  private readonly registry: MachineRegistry;
  private readonly quota: Quota;
  private readonly capacityIndex: CapacityIndex;
  private readonly listener: MachineTableListener;
  private readonly assignments: MachineAssignments;
  private readonly commands: MachineCommands;
  private readonly heartbeats: HeartbeatProcessor;
  private readonly leases: LeaseMonitor;

  constructor(dependencies: MachineTableDependencies) {
    const { io, settings, jobs, registry, quota, capacityIndex, listener } = dependencies;
    this.io = io;
    this.registry = registry;
    this.quota = quota;
    this.capacityIndex = capacityIndex;
    this.listener = listener;
    this.tombstones = new Tombstones(io);
    this.fencingToken = dependencies.term as number as FencingToken;
    const assignments = new MachineAssignments({ io, quota, capacityIndex, listener });
    this.assignments = assignments;
    this.commands = new MachineCommands(io, settings, jobs, assignments);
    const { fencingToken } = this;
    const reconciler = new TaskReconciler({ io, jobs, capacityIndex, assignments, updater: this, listener });
    this.heartbeats = new HeartbeatProcessor({
      io,
      fencingToken,
      assignments,
      reconciler,
      updater: this,
      listener,
    });
    this.leases = new LeaseMonitor({ io, settings, assignments, registry, updater: this, listener });
    registry.onRegistered = (machine) => this.onRegistered(machine);
  }

  /** Adds a machine of the cloud or of the registry under its id. */
  addMachine(
    id: MachineId,
    type: MachineType,
    zone: ZoneName,
    spot: boolean,
    leaseExpiresAt: Instant,
  ): Machine {
    const machine = new Machine({ id, type, zone, spot, requestedAt: this.io.now, leaseExpiresAt });
    this.byId.set(id, machine);
    return machine;
  }

  /** The machine has been released, is listed as failed, or its lease has expired: nothing of it is left. */
  remove(machine: Machine, reason: string): void {
    if (!machine.isEmpty)
      this.io.log('info', 'tasks lost with their machine', {
        machine: machine.id,
        reason,
        tasks: machine.assignments.size,
      });
    this.removeAllTasks(machine);
    this.byId.delete(machine.id);
    this.tombstones.add(machine.id);
    this.registry.unregister(machine);
    this.capacityIndex.removeAllImages(machine);
    machine.drainReason ??= reason;
    this.updateIndexes(machine);
  }

  /** Brings the sums and the index up to date with the machine; called after every change to it. */
  updateIndexes(machine: Machine): void {
    const isUncertain =
      !machine.isReconciled && machine.registryPage !== null && this.byId.get(machine.id) === machine;
    if (isUncertain !== machine.countsAsUncertain) {
      machine.countsAsUncertain = isUncertain;
      this.quota.addUncertain(machine.type, isUncertain ? 1 : -1);
    }
    this.capacityIndex.update(machine);
  }

  /** Records a machine so that the next leader knows that tasks may be on it. */
  register(machine: Machine): void {
    this.registry.register(machine);
  }

  private onRegistered(machine: Machine): void {
    if (this.byId.get(machine.id) !== machine) this.registry.unregister(machine);
    this.updateIndexes(machine);
    this.listener.requestCycle();
  }

  /** The machine is on its way back to the cloud. */
  beginRelease(machine: Machine): void {
    machine.isReleasing = true;
    this.dequeueAll(machine);
    this.updateIndexes(machine);
  }

  /**
   * No new work for the machine; what runs there goes on. A machine that is cordoned keeps its first reason.
   */
  cordon(machine: Machine, reason: string): void {
    if (machine.drainReason !== null) return;
    machine.drainReason = reason;
    this.dequeueAll(machine);
    this.updateIndexes(machine);
    this.io.log('info', 'machine cordoned', { machine: machine.id, reason });
    this.listener.requestCycle();
  }

  /**
   * Processes a heartbeat, or one that is the reply to a probe; returns the commands that answer it, or null
   * if it is older than what is known.
   */
  onHeartbeat(machine: Machine, heartbeat: Heartbeat, isProbeReply = false): Command[] | null {
    return this.heartbeats.process(machine, heartbeat, isProbeReply) ? this.commandsFor(machine) : null;
  }

  /** Commands that follow from what is known of the machine; each may be sent repeatedly. */
  commandsFor(machine: Machine): Command[] {
    return this.commands.commandsFor(machine);
  }

  /** Starts queued tasks, head first, as far as the machine's last heartbeat shows free capacity. */
  startQueued(machine: Machine, mayStart: (queued: QueuedTask) => boolean): Command[] {
    return this.commands.startQueued(machine, mayStart);
  }

  /** When nothing runs on a machine that is answered now for certain, unless it is answered again. */
  get leaseExpiryFromNow(): Instant {
    return this.leases.leaseExpiryFromNow;
  }

  /**
   * The agent is answered with this node's fencing token: its lease runs from this heartbeat at the latest.
   */
  renewLease(machine: Machine): void {
    machine.leaseExpiresAt = this.leaseExpiryFromNow;
  }

  /**
   * Once the lease of a silent machine has expired, what was on it is free to start elsewhere. Only while no
   * other leader can exist (`isSoleLeader`): one that took over meanwhile gets the machine's heartbeats and
   * renews the lease, and its tasks go on.
   */
  tick(isSoleLeader: boolean, mayCommand: boolean): void {
    this.leases.tick(this.byId.values(), isSoleLeader, mayCommand);
    this.tombstones.expire();
  }

  /**
   * Binds a task to the machine's queue: more urgent tasks go ahead; among equals first come, first served.
   */
  enqueue(machine: Machine, queued: QueuedTask): void {
    this.assignments.enqueue(machine, queued);
  }

  /** The task waits for a place again; nothing happens if it is not in the queue. */
  dequeue(machine: Machine, queued: QueuedTask): void {
    this.assignments.dequeue(machine, queued);
  }

  /** All tasks in the machine's queue wait for a place again. */
  dequeueAll(machine: Machine): void {
    this.assignments.dequeueAll(machine);
  }

  /** No task is on the machine any more, for certain. */
  removeAllTasks(machine: Machine): void {
    this.assignments.removeAll(machine);
  }
}
