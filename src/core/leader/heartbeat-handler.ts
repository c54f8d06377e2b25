// Heartbeats at the leader: read into the machine table and answered with commands, or kept until the records
// are read.
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

/** How long a heartbeat waits for the records to be read; agents give up after 4 s. */
const PENDING_TIMEOUT_MS = 3300;
/** A heartbeat that had to wait for the records is answered this soon after it has been read. */
const RESPONSE_AFTER_WAIT_MS = 500;
/**
 * So many pending heartbeats are read on a tick and, as other inputs come, so many with each: the heartbeats
 * of a whole fleet must not delay the timer.
 */
const PENDING_PER_TICK = 30;
const PENDING_PER_STEP = 2;

/** What {@link HeartbeatHandler} depends on. */
export interface HeartbeatHandlerDependencies {
  io: ControllerIo;
  machines: MachineTable;
  recovery: RecoveryState;
  heldResponses: HeldResponses;
  earlyLeaseRenewal: EarlyLeaseRenewal;
  machineAdoption: MachineAdoption;
}

/** Takes heartbeats in under the token of one term; its callers have checked that it may command machines. */
export class HeartbeatHandler {
  private readonly machines: MachineTable;
  private readonly recovery: RecoveryState;
  private readonly heldResponses: HeldResponses;
  private readonly earlyLeaseRenewal: EarlyLeaseRenewal;
  private readonly machineAdoption: MachineAdoption;
  /** Heartbeats that came before the records were read. */
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
   * The response to an idle machine is held for a moment, so that work arriving meanwhile starts without
   * waiting for the next heartbeat. `respondBy`: when the agent must be answered, if its heartbeat has waited
   * before.
   */
  onHeartbeat(heartbeat: Heartbeat, respond: HeartbeatResponder, respondBy: Instant = NEVER): void {
    if (!this.recovery.isLoaded) return this.onEarlyHeartbeat(heartbeat, respond, respondBy);
    const machine = this.machines.byId.get(heartbeat.machine) ?? this.machineAdoption.adopt(heartbeat);
    if (machine === null) return respond({ kind: 'redirect', node: null });
    const commands = this.machines.onHeartbeat(machine, heartbeat);
    if (commands === null) return this.onOldHeartbeat(machine, heartbeat, respond);
    // Only a newer heartbeat shows it: a late copy sent the agent away from the response that was held for
    // it.
    this.heldResponses.release(machine);
    if (machine.isReconciled) this.machines.register(machine);
    this.heldResponses.add(machine, commands, respond, respondBy);
  }

  /** A delta is read only if the heartbeat that it builds on was the last read; else the whole is required. */
  onForwardedHeartbeat(forwarded: ForwardedHeartbeat, respond: ForwardedHeartbeatResponder): void {
    if (forwarded.kind === 'full') return this.onHeartbeat(forwarded.heartbeat, respond);
    if (!this.recovery.isLoaded) return this.onEarlyDelta(forwarded, respond);
    const heartbeat = this.restoreHeartbeat(forwarded);
    if (heartbeat === null) respond({ kind: 'full-heartbeat-required' });
    else this.onHeartbeat(heartbeat, respond);
  }

  /** `mayCommand`: any response under the token renews a lease, so past that bound none is given. */
  tick(mayCommand: boolean): void {
    if (mayCommand) this.readPending(PENDING_PER_TICK);
    else this.close();
  }

  /** After any input, once the records are read. */
  afterInput(): void {
    this.readPending(PENDING_PER_STEP);
  }

  /** The term is over: agents are redirected. */
  close(): void {
    for (const pending of this.pendingHeartbeats.take()) pending.respond({ kind: 'redirect', node: null });
  }

  /**
   * Raising the token is all that may be done before the records are read. A heartbeat sent after that waits
   * for them: answered unread, the next one to be read would come a whole heartbeat interval later.
   */
  private onEarlyHeartbeat(heartbeat: Heartbeat, respond: HeartbeatResponder, respondBy: Instant): void {
    const { fencingToken } = this.machines;
    const { machine, fencingToken: seenToken } = heartbeat;
    if (seenToken !== fencingToken && this.earlyLeaseRenewal.mayRenew(machine, seenToken))
      respond({ kind: 'commands', fencingToken, commands: [] });
    else this.pendingHeartbeats.add(heartbeat, respond, respondBy);
  }

  private onEarlyDelta(delta: DeltaHeartbeat, respond: ForwardedHeartbeatResponder): void {
    const { fencingToken } = this.machines;
    const { machine, fencingToken: seenToken } = delta;
    if (seenToken !== fencingToken && this.earlyLeaseRenewal.mayRenew(machine, seenToken))
      respond({ kind: 'commands', fencingToken, commands: [] });
    else respond({ kind: 'full-heartbeat-required' });
  }

  /** Not newer than what is known: its task list says nothing, and its agent has mostly given up waiting. */
  private onOldHeartbeat(machine: Machine, heartbeat: Heartbeat, respond: HeartbeatResponder): void {
    if (!machine.mayRespondTo(heartbeat)) return respond({ kind: 'redirect', node: null });
    const { fencingToken } = this.machines;
    this.machines.renewLease(machine);
    // The agent takes one response to it, and this may be the one: stop commands are repeated.
    respond({ kind: 'commands', fencingToken, commands: this.machines.commandsFor(machine) });
  }

  /** The heartbeat that a delta stands for; null if it does not build on the last one that was read. */
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

  /** Reads up to `limit` pending heartbeats once the records are read; answers those that waited too long. */
  private readPending(limit: number): void {
    if (this.recovery.isLoaded) {
      this.earlyLeaseRenewal.end();
      for (const { heartbeat, respond, until } of this.pendingHeartbeats.take(limit))
        this.onHeartbeat(heartbeat, respond, addMs(until, RESPONSE_AFTER_WAIT_MS));
    }
    const { fencingToken } = this.machines;
    for (const { heartbeat, respond } of this.pendingHeartbeats.takeOverdue())
      if (this.earlyLeaseRenewal.mayRenew(heartbeat.machine, heartbeat.fencingToken))
        respond({ kind: 'commands', fencingToken, commands: [] });
      else respond({ kind: 'redirect', node: null });
  }
}
