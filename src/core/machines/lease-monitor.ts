// Leases of machines: how long one lasts, and what happens to machines that are late or whose lease has
// expired.
import { addMs, elapsedMs, type Instant, LONG_AGO, NEVER } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Settings } from '../base/model.ts';
import type { Machine } from './machine.ts';
import type { CycleRequester, MachineAssignments } from './machine-assignments.ts';
import type { MachineRegistry } from './machine-registry.ts';
import { CordonReason, type MachineStateUpdater } from './machine-state-updater.ts';

/** How far apart the steady clocks of a node and of an agent may drift, as a part of the time that passes. */
const CLOCK_DRIFT = 0.001;
const LEASE_MARGIN_MS = 500;
/** Heartbeats are up to this many heartbeat intervals apart. */
export const MAX_HEARTBEAT_INTERVALS = 1.25;
/** A heartbeat and its response may be on their way for this long. */
export const HEARTBEAT_TRANSIT_MS = 1500;
/** Agents without a response try all nodes in turn; they are back within these intervals and this time. */
const RETURN_HEARTBEATS = 3;
const RETURN_MARGIN_MS = 10_000;

/** What {@link LeaseMonitor} depends on. */
export interface LeaseMonitorDependencies {
  io: ControllerIo;
  settings: Settings;
  assignments: MachineAssignments;
  registry: MachineRegistry;
  updater: MachineStateUpdater;
  listener: CycleRequester;
}

/** Watches for machines whose heartbeat is late and for leases that expire. */
export class LeaseMonitor {
  private readonly io: ControllerIo;
  private readonly assignments: MachineAssignments;
  private readonly registry: MachineRegistry;
  private readonly updater: MachineStateUpdater;
  private readonly listener: CycleRequester;
  private readonly leaseMs: number;
  private readonly overdueAfterMs: number;
  /** How long after commands are allowed again all machines that exist have sent a heartbeat. */
  private readonly returnWithinMs: number;
  /** No machine may be commanded at present; and when that was last over. */
  private commandsSuspended = false;
  private commandsResumedAt: Instant = LONG_AGO;

  constructor(dependencies: LeaseMonitorDependencies) {
    const { heartbeatS, leaseS } = dependencies.settings.workers;
    this.io = dependencies.io;
    this.assignments = dependencies.assignments;
    this.registry = dependencies.registry;
    this.updater = dependencies.updater;
    this.listener = dependencies.listener;
    this.leaseMs = leaseS * 1000 * (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS;
    this.overdueAfterMs = heartbeatS * 1000 * MAX_HEARTBEAT_INTERVALS + HEARTBEAT_TRANSIT_MS;
    this.returnWithinMs = RETURN_HEARTBEATS * heartbeatS * 1000 + RETURN_MARGIN_MS;
  }

  /** When nothing runs on a machine that is answered now for certain, unless it is answered again. */
  get leaseExpiryFromNow(): Instant {
    return addMs(this.io.now, this.leaseMs);
  }

  /**
   * `isSoleLeader`: no other leader can exist; `mayCommand`: whether machines may be commanded at present.
   */
  tick(machines: Iterable<Machine>, isSoleLeader: boolean, mayCommand: boolean): void {
    this.noteCommandsAllowed(mayCommand);
    for (const machine of machines) {
      const silentMs = this.io.now - machine.lastHeartbeat;
      if (machine.isUp && !machine.isOverdue && silentMs > this.overdueAfterMs) this.markOverdue(machine);
      if (machine.expectedBackBy !== null && this.io.now > machine.expectedBackBy) this.giveUp(machine);
      if (isSoleLeader && this.io.now >= machine.leaseExpiresAt) this.expireLease(machine);
    }
  }

  private noteCommandsAllowed(mayCommand: boolean): void {
    if (!mayCommand) this.commandsSuspended = true;
    else if (this.commandsSuspended) {
      this.commandsSuspended = false;
      this.commandsResumedAt = this.io.now;
    }
  }

  /** What was on the machine is free to start elsewhere. */
  private expireLease(machine: Machine): void {
    if (machine.assignments.size > 0)
      this.io.log('info', 'tasks lost: lease expired', {
        machine: machine.id,
        tasks: machine.assignments.size,
      });
    machine.leaseExpiresAt = NEVER;
    machine.expiredEpoch = machine.agentEpoch;
    this.assignments.removeAll(machine);
    // Empty for certain: the next leader need not wait for it, and it is recorded anew if it comes back.
    this.registry.unregister(machine);
    if (elapsedMs(this.io.now, this.commandsResumedAt) < this.returnWithinMs) this.awaitReturn(machine);
    else this.giveUp(machine);
  }

  /**
   * It was this leader that answered no heartbeat, for as long as the store was unavailable; its machines
   * exist, with nothing on them, and come back in a new agent epoch. Released for silence, the whole fleet
   * would have to be rented and booted anew.
   */
  private awaitReturn(machine: Machine): void {
    machine.isReconciled = false;
    machine.isOverdue = false;
    machine.lastHeartbeat = this.io.now;
    machine.expectedBackBy = addMs(this.commandsResumedAt, this.returnWithinMs);
    this.updater.updateIndexes(machine);
  }

  private giveUp(machine: Machine): void {
    machine.expectedBackBy = null;
    machine.isReconciled = true;
    this.updater.updateIndexes(machine);
    this.updater.cordon(machine, CordonReason.silent);
  }

  /**
   * Its queued tasks could start only with its next heartbeat, which may never come: they go where they can
   * start now.
   */
  private markOverdue(machine: Machine): void {
    machine.isOverdue = true;
    if (machine.queue.length > 0) this.listener.requestCycle();
    this.assignments.dequeueAll(machine);
    this.updater.updateIndexes(machine);
  }
}
