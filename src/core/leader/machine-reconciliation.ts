// Second step of a failover: the new leader learns from each recorded machine which tasks it runs.
import { type Instant, LONG_AGO, type MachineId } from '../../types/index.ts';
import { largerOf, type Uint64 } from '../../types/uint64.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Settings, WorkerReply } from '../base/model.ts';
import type { JobTable } from '../jobs/job-table.ts';
import { MAX_HEARTBEAT_INTERVALS } from '../machines/lease-monitor.ts';
import type { Machine } from '../machines/machine.ts';
import type { MachineTable } from '../machines/machine-table.ts';

/** Agents number their epochs from this one. */
const FIRST_AGENT_EPOCH = 1;
const PROBE_INTERVAL_MS = 2000;
/** A low limit is enough: most machines send a heartbeat by themselves within one interval. */
const MAX_CONCURRENT_PROBES = 16;
/**
 * Up to this fraction of the fleet counts as few silent machines, which are released earlier: the waiting
 * work is worth more than the tasks that they run.
 */
const FEW_MACHINES_FRACTION = 0.01;
/**
 * An agent whose controller has crashed waits 4 s for a response, and 1 s more before it tries the next one.
 */
const AGENT_RETRY_MS = 5500;
/**
 * A larger number of silent machines gets several heartbeat intervals, and at least the minimum time: their
 * silence may have another cause than their loss.
 */
const MANY_MACHINES_INTERVALS = 3;
const MANY_MACHINES_MIN_MS = 8000;
const MANY_MACHINES_MARGIN_MS = 4000;

/** Dependencies of {@link MachineReconciliation}. */
export interface MachineReconciliationDependencies {
  io: ControllerIo;
  settings: Settings;
  jobs: JobTable;
  machines: MachineTable;
}

/** Probes recorded machines that have sent no heartbeat yet, and releases those that stay silent. */
export class MachineReconciliation {
  /** Start of the time that machines have to send a heartbeat; excludes the time for reading the records. */
  private startedAt: Instant = LONG_AGO;
  private readonly probedAt = new Map<MachineId, Instant>();
  private openProbes = 0;
  private readonly io: ControllerIo;
  private readonly settings: Settings;
  private readonly jobs: JobTable;
  private readonly machines: MachineTable;

  constructor(dependencies: MachineReconciliationDependencies) {
    this.io = dependencies.io;
    this.settings = dependencies.settings;
    this.jobs = dependencies.jobs;
    this.machines = dependencies.machines;
  }

  /** Starts the time limit for heartbeats; called when the records have been read. */
  begin(): void {
    this.startedAt = this.io.now;
  }

  /**
   * Probes the machines that have sent no heartbeat under this term, and fences those that stay silent by
   * releasing them to the cloud. Returns true once no machine is left to reconcile. `holdsLease`: no other
   * leader can exist that may be receiving their heartbeats.
   */
  tick(holdsLease: boolean): boolean {
    const silentMachines = this.silentMachines();
    if (silentMachines.length === 0) return true;
    const mayRelease = holdsLease && this.machinesBlockWork();
    for (const machine of silentMachines) {
      this.probe(machine);
      if (mayRelease && !machine.isReleasing && this.isSilentTooLong(silentMachines.length))
        this.release(machine);
    }
    return false;
  }

  private silentMachines(): Machine[] {
    const machines = [...this.machines.byId.values()];
    return machines.filter((machine) => machine.registryRecord !== null && !machine.isReconciled);
  }

  private machinesBlockWork(): boolean {
    for (const job of this.jobs.openJobs.values()) if (job.unlocatedTasks > 0 && !job.isBlocked) return true;
    return false;
  }

  private isSilentTooLong(silentCount: number): boolean {
    return this.io.now - this.startedAt > this.silenceTimeoutMs(silentCount);
  }

  private silenceTimeoutMs(silentCount: number): number {
    const heartbeatMs = this.settings.workers.heartbeatS * 1000;
    const isFew = silentCount <= Math.max(1, this.machines.byId.size * FEW_MACHINES_FRACTION);
    if (isFew) return heartbeatMs * MAX_HEARTBEAT_INTERVALS + AGENT_RETRY_MS;
    return Math.max(MANY_MACHINES_INTERVALS * heartbeatMs, MANY_MACHINES_MIN_MS) + MANY_MACHINES_MARGIN_MS;
  }

  private release(machine: Machine): void {
    this.machines.beginRelease(machine);
    this.io.log('info', 'silent machine released to fence its tasks', { machine: machine.id });
  }

  private probe(machine: Machine): void {
    const lastProbedAt = this.probedAt.get(machine.id) ?? LONG_AGO;
    if (machine.addr === null || this.openProbes >= MAX_CONCURRENT_PROBES) return;
    if (this.io.now - lastProbedAt < PROBE_INTERVAL_MS) return;
    this.openProbes++;
    this.probedAt.set(machine.id, this.io.now);
    const agentEpoch = largerOf<Uint64>(FIRST_AGENT_EPOCH, machine.agentEpoch);
    this.io.probe(machine.addr, this.machines.fencingToken, agentEpoch, (reply) => {
      this.openProbes--;
      this.onProbeReply(machine, reply);
    });
  }

  private onProbeReply(machine: Machine, reply: WorkerReply): void {
    if (reply.kind !== 'heartbeat' || this.machines.byId.get(machine.id) !== machine) return;
    // Once a machine is reconciled, only its own heartbeats show that a task is not on it: a start command
    // sent in response to one of them may still be in transit when the machine replies to the probe.
    if (machine.isReconciled) return;
    // The address may have been reassigned to another machine.
    if (reply.heartbeat.machine !== machine.id) return;
    const expectedEpoch = machine.agentEpoch;
    this.machines.onHeartbeat(machine, reply.heartbeat, true);
    // The expected agent epoch was wrong: probe again at once with the one from the reply.
    if (!reply.executed && reply.heartbeat.agentEpoch !== expectedEpoch) this.probedAt.delete(machine.id);
  }
}
