// The table of machines in a leader's term: their state, their tasks and their leases.
import {
  type FencingToken,
  fencingTokenOf,
  type Instant,
  type MachineId,
  type Revision,
  type ZoneName,
} from '../../types/index.ts';
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

/** Is notified of changes to tasks and machines. */
export interface MachineTableListener extends TaskListener, CycleRequester {}

/** Dependencies of {@link MachineTable}. */
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

/** All machines of a term. The state of a machine is to be changed through this class only. */
export class MachineTable implements MachineStateUpdater {
  readonly byId = new Map<MachineId, Machine>();
  /** Machines that were removed permanently; the cloud may still list them. */
  readonly tombstones: Tombstones;
  /** Fencing token of the term; agents reject commands with an older one. */
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
    this.fencingToken = fencingTokenOf(dependencies.term);
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

  /** Adds a machine known from the cloud or the registry. */
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

  /** Removes a machine that was released, has failed or has lost its lease, together with its tasks. */
  remove(machine: Machine, reason: string): void {
    if (!machine.isEmpty)
      this.io.log('info', 'tasks lost: machine removed', {
        machine: machine.id,
        reason,
        tasks: machine.assignments.size,
      });
    this.removeAllTasks(machine);
    this.byId.delete(machine.id);
    this.tombstones.add(machine.id);
    this.registry.unregister(machine);
    this.capacityIndex.removeAllImages(machine);
    machine.cordonReason ??= reason;
    this.updateIndexes(machine);
  }

  /** Updates the sums and the capacity index for the machine; must be called after every change to it. */
  updateIndexes(machine: Machine): void {
    const isUncertain =
      !machine.isReconciled && machine.registryRecord !== null && this.byId.get(machine.id) === machine;
    if (isUncertain !== machine.countsAsUncertain) {
      machine.countsAsUncertain = isUncertain;
      this.quota.addUncertain(machine.type, isUncertain ? 1 : -1);
    }
    this.capacityIndex.update(machine);
  }

  /** Records the machine in the store, so that the next leader knows that tasks may be on it. */
  register(machine: Machine): void {
    this.registry.register(machine);
  }

  private onRegistered(machine: Machine): void {
    if (this.byId.get(machine.id) !== machine) this.registry.unregister(machine);
    this.updateIndexes(machine);
    this.listener.requestCycle();
  }

  /** Marks the machine as being released to the cloud, and removes all tasks from its queue. */
  beginRelease(machine: Machine): void {
    machine.isReleasing = true;
    this.dequeueAll(machine);
    this.updateIndexes(machine);
  }

  /** Excludes the machine from new work; its running tasks continue. The first reason is kept. */
  cordon(machine: Machine, reason: string): void {
    if (machine.cordonReason !== null) return;
    machine.cordonReason = reason;
    this.dequeueAll(machine);
    this.updateIndexes(machine);
    this.io.log('info', 'machine cordoned', { machine: machine.id, reason });
    this.listener.requestCycle();
  }

  /**
   * Processes a heartbeat, or a probe reply if `isProbeReply`; returns the commands for the response, or null
   * if the heartbeat is stale.
   */
  onHeartbeat(machine: Machine, heartbeat: Heartbeat, isProbeReply = false): Command[] | null {
    return this.heartbeats.process(machine, heartbeat, isProbeReply) ? this.commandsFor(machine) : null;
  }

  /** Forget and stop commands that the machine's state requires; each may be sent repeatedly. */
  commandsFor(machine: Machine): Command[] {
    return this.commands.commandsFor(machine);
  }

  /** Starts queued tasks in order until the next one does not fit on the machine or may not start. */
  startQueued(machine: Machine, mayStart: (queued: QueuedTask) => boolean): Command[] {
    return this.commands.startQueued(machine, mayStart);
  }

  /** Expiry of a lease that is renewed now: no task runs on the machine after it without another renewal. */
  get leaseExpiryFromNow(): Instant {
    return this.leases.leaseExpiryFromNow;
  }

  /**
   * Renews the machine's lease; to be called when a heartbeat is answered with this leader's fencing token.
   * The agent's own lease began no later than now, as it counts from the heartbeat.
   */
  renewLease(machine: Machine): void {
    machine.leaseExpiresAt = this.leaseExpiryFromNow;
  }

  /**
   * Checks heartbeats and leases. Once the lease of a machine has expired, its tasks can start elsewhere, but
   * only while no other leader can exist (`isSoleLeader`): a leader that has taken over would receive the
   * machine's heartbeats and renew its lease, so that the tasks continue to run. `mayCommand`: whether this
   * leader may command machines at present.
   */
  tick(isSoleLeader: boolean, mayCommand: boolean): void {
    this.leases.tick(this.byId.values(), isSoleLeader, mayCommand);
    this.tombstones.expire();
  }

  /** Adds a task to the machine's queue, which is ordered by descending priority, then time of arrival. */
  enqueue(machine: Machine, queued: QueuedTask): void {
    this.assignments.enqueue(machine, queued);
  }

  /** Returns a queued task to waiting for placement; no-op if it is not in the machine's queue. */
  dequeue(machine: Machine, queued: QueuedTask): void {
    this.assignments.dequeue(machine, queued);
  }

  /** Returns all tasks in the machine's queue to waiting for placement. */
  dequeueAll(machine: Machine): void {
    this.assignments.dequeueAll(machine);
  }

  /** Removes all tasks, queued ones included, once it is certain that none is on the machine any more. */
  removeAllTasks(machine: Machine): void {
    this.assignments.removeAll(machine);
  }
}
