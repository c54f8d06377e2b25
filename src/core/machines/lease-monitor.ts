// Computes the leases of machines, and handles machines whose heartbeat is overdue or whose lease has
// expired.
import { addMs, elapsedMs, type Instant, LONG_AGO, NEVER } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Settings } from '../base/model.ts';
import type { Machine } from './machine.ts';
import type { CycleRequester, MachineAssignments } from './machine-assignments.ts';
import type { MachineRegistry } from './machine-registry.ts';
import { CordonReason, type MachineStateUpdater } from './machine-state-updater.ts';

/** Maximum drift between the monotonic clocks of a node and an agent, as a fraction of elapsed time. */
const MAX_CLOCK_DRIFT = 0.001;
const LEASE_MARGIN_MS = 500;
/** Maximum time between two heartbeats of an agent, in heartbeat intervals. */
export const MAX_HEARTBEAT_INTERVALS = 1.25;
/** Maximum time in transit of a heartbeat and its response. */
export const HEARTBEAT_TRANSIT_MS = 1500;
/**
 * Agents that get no response try all nodes in turn; they have reconnected after this many heartbeat
 * intervals plus `RECONNECT_MARGIN_MS`.
 */
const RECONNECT_HEARTBEAT_INTERVALS = 3;
const RECONNECT_MARGIN_MS = 10_000;

/** Dependencies of {@link LeaseMonitor}. */
export interface LeaseMonitorDependencies {
  io: ControllerIo;
  settings: Settings;
  assignments: MachineAssignments;
  registry: MachineRegistry;
  updater: MachineStateUpdater;
  listener: CycleRequester;
}

/** Detects overdue heartbeats and expired leases. */
export class LeaseMonitor {
  private readonly io: ControllerIo;
  private readonly assignments: MachineAssignments;
  private readonly registry: MachineRegistry;
  private readonly updater: MachineStateUpdater;
  private readonly listener: CycleRequester;
  private readonly leaseMs: number;
  private readonly overdueAfterMs: number;
  /** All existing machines have sent a heartbeat this long after commands were allowed again. */
  private readonly reconnectTimeoutMs: number;
  /** Whether this leader may not command machines at present. */
  private areCommandsSuspended = false;
  /** When the last suspension of commands ended. */
  private commandsResumedAt: Instant = LONG_AGO;

  constructor(dependencies: LeaseMonitorDependencies) {
    const { heartbeatS, leaseS } = dependencies.settings.workers;
    this.io = dependencies.io;
    this.assignments = dependencies.assignments;
    this.registry = dependencies.registry;
    this.updater = dependencies.updater;
    this.listener = dependencies.listener;
    this.leaseMs = leaseS * 1000 * (1 + MAX_CLOCK_DRIFT) + LEASE_MARGIN_MS;
    this.overdueAfterMs = heartbeatS * 1000 * MAX_HEARTBEAT_INTERVALS + HEARTBEAT_TRANSIT_MS;
    this.reconnectTimeoutMs = RECONNECT_HEARTBEAT_INTERVALS * heartbeatS * 1000 + RECONNECT_MARGIN_MS;
  }

  /** Expiry of a lease that is renewed now: no task runs on the machine after it without another renewal. */
  get leaseExpiryFromNow(): Instant {
    return addMs(this.io.now, this.leaseMs);
  }

  /**
   * Checks the heartbeats and leases of the machines. `isSoleLeader`: whether no other leader can exist;
   * `mayCommand`: whether this leader may command machines at present.
   */
  tick(machines: Iterable<Machine>, isSoleLeader: boolean, mayCommand: boolean): void {
    this.updateCommandSuspension(mayCommand);
    for (const machine of machines) {
      const sinceHeartbeatMs = this.io.now - machine.lastHeartbeat;
      if (machine.isUp && !machine.isOverdue && sinceHeartbeatMs > this.overdueAfterMs)
        this.markOverdue(machine);
      if (machine.reconnectDeadline !== null && this.io.now > machine.reconnectDeadline)
        this.cordonAsSilent(machine);
      if (isSoleLeader && this.io.now >= machine.leaseExpiresAt) this.expireLease(machine);
    }
  }

  private updateCommandSuspension(mayCommand: boolean): void {
    if (!mayCommand) this.areCommandsSuspended = true;
    else if (this.areCommandsSuspended) {
      this.areCommandsSuspended = false;
      this.commandsResumedAt = this.io.now;
    }
  }

  /** Unassigns the tasks of the machine, so that they can start elsewhere. */
  private expireLease(machine: Machine): void {
    if (machine.assignments.size > 0)
      this.io.log('info', 'tasks lost: lease expired', {
        machine: machine.id,
        tasks: machine.assignments.size,
      });
    machine.leaseExpiresAt = NEVER;
    machine.expiredEpoch = machine.agentEpoch;
    this.assignments.removeAll(machine);
    // No task can be on the machine any more, so the next leader need not wait for it. If it reconnects, it
    // is registered again.
    this.registry.unregister(machine);
    if (elapsedMs(this.io.now, this.commandsResumedAt) < this.reconnectTimeoutMs)
      this.awaitReconnect(machine);
    else this.cordonAsSilent(machine);
  }

  /**
   * Waits for the machine to reconnect instead of cordoning it. While the store was unavailable, this leader
   * answered no heartbeats, so the leases of machines that still exist have expired; they reconnect without
   * tasks in a new agent epoch. If they were cordoned as silent, the whole fleet would be released, rented
   * and booted again.
   */
  private awaitReconnect(machine: Machine): void {
    machine.isReconciled = false;
    machine.isOverdue = false;
    machine.lastHeartbeat = this.io.now;
    machine.reconnectDeadline = addMs(this.commandsResumedAt, this.reconnectTimeoutMs);
    this.updater.updateIndexes(machine);
  }

  /** Cordons a machine whose agent has sent no heartbeat in time. */
  private cordonAsSilent(machine: Machine): void {
    machine.reconnectDeadline = null;
    machine.isReconciled = true;
    this.updater.updateIndexes(machine);
    this.updater.cordon(machine, CordonReason.silent);
  }

  /**
   * Returns the queued tasks of the machine to the scheduler: they could start only in response to its next
   * heartbeat, which may never arrive.
   */
  private markOverdue(machine: Machine): void {
    machine.isOverdue = true;
    if (machine.queue.length > 0) this.listener.requestCycle();
    this.assignments.dequeueAll(machine);
    this.updater.updateIndexes(machine);
  }
}
