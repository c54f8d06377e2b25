// Processes heartbeats at the leader: applies them to the machine table and responds with commands, or queues
// them until the records have been read.
import { addMs, type Instant, NEVER } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { ForwardedHeartbeat, Heartbeat } from '../base/model.ts';
import { PendingHeartbeats } from '../heartbeats/pending-heartbeats.ts';
import { applyTaskListDelta } from '../heartbeats/task-list-delta.ts';
import type { Machine } from '../machines/machine.ts';
import type { MachineTable } from '../machines/machine-table.ts';
import type { EarlyLeaseRenewal } from './early-lease-renewal.ts';
import type { HeldResponses } from './held-responses.ts';
import type { MachineAdoption } from './machine-adoption.ts';
import type { RecoveryState } from './recovery-state.ts';
import type { ForwardedHeartbeatResponder, HeartbeatResponder } from './responders.ts';

type DeltaHeartbeat = Extract<ForwardedHeartbeat, { kind: 'delta' }>;

/** How long a heartbeat waits until the records have been read; agents give up after 4 s. */
const PENDING_TIMEOUT_MS = 3300;
/**
 * Extra time for the response to a heartbeat that has waited for the records, after its wait deadline.
 */
const RESPONSE_AFTER_WAIT_MS = 500;
/**
 * Number of pending heartbeats that are processed per tick, and after each other input: processing those of a
 * whole fleet at once would delay the timer.
 */
const PENDING_PER_TICK = 30;
const PENDING_PER_STEP = 2;

/** Dependencies of {@link HeartbeatHandler}. */
export interface HeartbeatHandlerDependencies {
  io: ControllerIo;
  machines: MachineTable;
  recovery: RecoveryState;
  heldResponses: HeldResponses;
  earlyLeaseRenewal: EarlyLeaseRenewal;
  machineAdoption: MachineAdoption;
}

/** Processes heartbeats under the fencing token of one term; callers check that it may command machines. */
export class HeartbeatHandler {
  private readonly machines: MachineTable;
  private readonly recovery: RecoveryState;
  private readonly heldResponses: HeldResponses;
  private readonly earlyLeaseRenewal: EarlyLeaseRenewal;
  private readonly machineAdoption: MachineAdoption;
  /** Heartbeats that arrived before the records were read. */
  private readonly pendingHeartbeats: PendingHeartbeats;

  constructor(dependencies: HeartbeatHandlerDependencies) {
    this.machines = dependencies.machines;
    this.recovery = dependencies.recovery;
    this.heldResponses = dependencies.heldResponses;
    this.earlyLeaseRenewal = dependencies.earlyLeaseRenewal;
    this.machineAdoption = dependencies.machineAdoption;
    this.pendingHeartbeats = new PendingHeartbeats(dependencies.io, PENDING_TIMEOUT_MS);
  }

  /**
   * Processes a heartbeat. The response to an idle machine is held for a short time, so that work that
   * arrives meanwhile starts without waiting for the next heartbeat. `respondBy`: deadline for the response,
   * if the heartbeat has waited before.
   */
  onHeartbeat(heartbeat: Heartbeat, respond: HeartbeatResponder, respondBy: Instant = NEVER): void {
    if (!this.recovery.isLoaded) return this.onEarlyHeartbeat(heartbeat, respond, respondBy);
    const machine = this.machines.byId.get(heartbeat.machine) ?? this.machineAdoption.adopt(heartbeat);
    if (machine === null) return respond({ kind: 'redirect', node: null });
    const commands = this.machines.onHeartbeat(machine, heartbeat);
    if (commands === null) return this.onStaleHeartbeat(machine, heartbeat, respond);
    // Only a newer heartbeat shows that the agent no longer waits for the held response. Released for a late
    // copy of an old heartbeat, the response would redirect an agent that still waits for it.
    this.heldResponses.release(machine);
    if (machine.isReconciled) this.machines.register(machine);
    this.heldResponses.add(machine, commands, respond, respondBy);
  }

  /**
   * A delta is applied only to the heartbeat that was processed last; otherwise a full heartbeat is
   * requested.
   */
  onForwardedHeartbeat(forwarded: ForwardedHeartbeat, respond: ForwardedHeartbeatResponder): void {
    if (forwarded.kind === 'full') return this.onHeartbeat(forwarded.heartbeat, respond);
    if (!this.recovery.isLoaded) return this.onEarlyDelta(forwarded, respond);
    const heartbeat = this.restoreHeartbeat(forwarded);
    if (heartbeat === null) respond({ kind: 'full-heartbeat-required' });
    else this.onHeartbeat(heartbeat, respond);
  }

  /** `mayCommand`: if false, agents are redirected, as any response with the fencing token renews a lease. */
  tick(mayCommand: boolean): void {
    if (mayCommand) this.processPending(PENDING_PER_TICK);
    else this.close();
  }

  /** Called after any input, once the records have been read. */
  afterInput(): void {
    this.processPending(PENDING_PER_STEP);
  }

  /** The term has ended: redirects the agents that wait for a response. */
  close(): void {
    for (const pending of this.pendingHeartbeats.take()) pending.respond({ kind: 'redirect', node: null });
  }

  /**
   * Before the records are read, a response may only give the machine this term's fencing token. A heartbeat
   * that already carries this token waits for the records: if it were answered without being processed, the
   * next heartbeat of the machine would arrive only one heartbeat interval later.
   */
  private onEarlyHeartbeat(heartbeat: Heartbeat, respond: HeartbeatResponder, respondBy: Instant): void {
    const { fencingToken } = this.machines;
    const { machine, fencingToken: seenToken } = heartbeat;
    if (seenToken !== fencingToken && this.earlyLeaseRenewal.tryRenew(machine, seenToken))
      respond({ kind: 'commands', fencingToken, commands: [] });
    else this.pendingHeartbeats.add(heartbeat, respond, respondBy);
  }

  private onEarlyDelta(delta: DeltaHeartbeat, respond: ForwardedHeartbeatResponder): void {
    const { fencingToken } = this.machines;
    const { machine, fencingToken: seenToken } = delta;
    if (seenToken !== fencingToken && this.earlyLeaseRenewal.tryRenew(machine, seenToken))
      respond({ kind: 'commands', fencingToken, commands: [] });
    else respond({ kind: 'full-heartbeat-required' });
  }

  /**
   * Handles a heartbeat that is not newer than the last processed one: its task list is ignored, and in most
   * cases its agent no longer waits for the response.
   */
  private onStaleHeartbeat(machine: Machine, heartbeat: Heartbeat, respond: HeartbeatResponder): void {
    if (!machine.mayRespondTo(heartbeat)) return respond({ kind: 'redirect', node: null });
    const { fencingToken } = this.machines;
    this.machines.renewLease(machine);
    // The agent accepts only one response to the heartbeat, possibly this one, so stop commands are repeated.
    respond({ kind: 'commands', fencingToken, commands: this.machines.commandsFor(machine) });
  }

  /** The full heartbeat that the delta encodes; null if its base is not the last processed heartbeat. */
  private restoreHeartbeat(delta: DeltaHeartbeat): Heartbeat | null {
    const machine = this.machines.byId.get(delta.machine);
    if (machine === undefined || machine.addr === null || machine.lastTaskList === null) return null;
    if (machine.agentEpoch !== delta.agentEpoch || machine.seq !== delta.baseSeq) return null;
    const tasks = applyTaskListDelta(machine.lastTaskList, delta);
    if (tasks === null) return null;
    return {
      machine: delta.machine,
      addr: machine.addr,
      type: machine.type.name,
      zone: machine.zone,
      spot: machine.spot,
      agentEpoch: delta.agentEpoch,
      seq: delta.seq,
      fencingToken: delta.fencingToken,
      preemptionNoticeS: delta.preemptionNoticeS,
      tasks,
    };
  }

  /** Processes up to `limit` pending heartbeats once the records are read; answers those that are overdue. */
  private processPending(limit: number): void {
    if (this.recovery.isLoaded) {
      this.earlyLeaseRenewal.end();
      for (const { heartbeat, respond, until } of this.pendingHeartbeats.take(limit))
        this.onHeartbeat(heartbeat, respond, addMs(until, RESPONSE_AFTER_WAIT_MS));
    }
    const { fencingToken } = this.machines;
    for (const { heartbeat, respond } of this.pendingHeartbeats.takeOverdue())
      if (this.earlyLeaseRenewal.tryRenew(heartbeat.machine, heartbeat.fencingToken))
        respond({ kind: 'commands', fencingToken, commands: [] });
      else respond({ kind: 'redirect', node: null });
  }
}
