// Holds responses to heartbeats for a short time: work that arrives or is placed meanwhile starts at once,
// instead of waiting for the machine's next heartbeat.
import { addMs, type Instant, type MachineId } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Command } from '../base/model.ts';
import type { Machine } from '../machines/machine.ts';
import type { MachineTable } from '../machines/machine-table.ts';
import type { HeartbeatResponder } from './responders.ts';
import type { TermAuthority } from './term-authority.ts';

/**
 * Maximum time that the response to a busy machine with free capacity waits for the next scheduling cycle.
 */
const CYCLE_WAIT_MAX_MS = 300;
/** Maximum time that a response without commands is held; agents wait for 4 s. */
const HOLD_MAX_MS = 2800;

interface HeldResponse {
  machine: Machine;
  commands: Command[];
  respond: HeartbeatResponder;
  heldUntil: Instant;
  /** No scheduling cycle has run since the heartbeat. */
  isBeforeCycle: boolean;
  /** The machine runs services only, or nothing: no task on it ends by itself. */
  runsServicesOnly: boolean;
}

/** Reports whether a scheduling cycle is due that may bind work to machines. */
export interface CycleState {
  readonly hasPendingCycle: boolean;
}

/** Dependencies of {@link HeldResponses}. */
export interface HeldResponsesDependencies {
  io: ControllerIo;
  machines: MachineTable;
  /** The heartbeat interval, in seconds. */
  heartbeatS: number;
  scheduler: CycleState;
  authority: TermAuthority;
}

/** Holds the responses to heartbeats of machines that have no commands pending but have free capacity. */
export class HeldResponses {
  private readonly held = new Map<MachineId, HeldResponse>();
  private readonly holdMs: number;
  private readonly io: ControllerIo;
  private readonly machines: MachineTable;
  private readonly scheduler: CycleState;
  private readonly authority: TermAuthority;
  /** Created once, as starts are tried for every held response after every scheduling cycle. */
  private readonly mayStart = (): boolean => this.authority.mayStart();

  constructor(dependencies: HeldResponsesDependencies) {
    this.io = dependencies.io;
    this.machines = dependencies.machines;
    this.scheduler = dependencies.scheduler;
    this.authority = dependencies.authority;
    // Agents give up after 4 s, and report a change on the machine only after the last heartbeat has been
    // answered.
    this.holdMs = Math.min(HOLD_MAX_MS, dependencies.heartbeatS * 1000);
  }

  has(machine: Machine): boolean {
    return this.held.has(machine.id);
  }

  /**
   * Responds to the heartbeat at once if there are commands; otherwise holds the response, at most until
   * `respondBy`.
   */
  add(machine: Machine, commands: Command[], respond: HeartbeatResponder, respondBy: Instant): void {
    const heldUntil = Math.min(addMs(this.io.now, this.holdMs), respondBy) as Instant;
    const runsServicesOnly = hasOnlyRunningServices(machine);
    const response: HeldResponse = {
      machine,
      commands,
      respond,
      heldUntil,
      isBeforeCycle: true,
      runsServicesOnly,
    };
    this.held.set(machine.id, response);
    this.respondIfDue(response);
  }

  /** Sends the responses that have commands, or that may not be held any longer. */
  respondDue(): void {
    for (const response of this.held.values()) this.respondIfDue(response);
  }

  /** A scheduling cycle has run: starts the tasks that it has bound to machines whose responses are held. */
  onCycle(): void {
    for (const response of this.held.values()) {
      response.isBeforeCycle = false;
      this.respondIfDue(response);
    }
  }

  /**
   * Ends the held response with a redirect: a newer heartbeat shows that the agent no longer waits for it.
   */
  release(machine: Machine): void {
    const response = this.held.get(machine.id);
    if (response === undefined) return;
    this.held.delete(machine.id);
    response.respond({ kind: 'redirect', node: null });
  }

  /** The term has ended: redirects the agents whose responses are held. */
  close(): void {
    for (const { respond } of this.held.values()) respond({ kind: 'redirect', node: null });
    this.held.clear();
  }

  private respondIfDue(response: HeldResponse): void {
    const { machine, commands } = response;
    commands.push(...this.machines.startQueued(machine, this.mayStart));
    if (this.io.now < response.heldUntil && this.mayHold(response)) return;
    this.held.delete(machine.id);
    this.machines.renewLease(machine);
    if (!this.authority.holdsLease()) this.logResponseAfterLease(machine);
    response.respond({ kind: 'commands', fencingToken: this.machines.fencingToken, commands });
  }

  /** Logs a machine that still follows a leader without a lease; scripts/refused-leader.ts reads this. */
  private logResponseAfterLease(machine: Machine): void {
    const jobs = new Set([...machine.assignments.values()].map((assignment) => assignment.job.id));
    this.io.log('debug', 'answered after the leader lease expired', { machine: machine.id, jobs: [...jobs] });
  }

  private mayHold(response: HeldResponse): boolean {
    return this.awaitsCycle(response) || this.awaitsWork(response);
  }

  /** Whether the next scheduling cycle, which is due at once, may bind waiting work to this machine. */
  private awaitsCycle({ machine, heldUntil, isBeforeCycle }: HeldResponse): boolean {
    if (!isBeforeCycle || !this.scheduler.hasPendingCycle) return false;
    if (machine.indexPosition === null || machine.freeCpus <= 0 || machine.isTaskListFull) return false;
    const heldMs = this.holdMs - (heldUntil - this.io.now);
    return heldMs < CYCLE_WAIT_MAX_MS;
  }

  /**
   * Whether the machine has no commands pending and has capacity for work that may arrive: it is idle, or
   * runs services only, which do not end by themselves. For a machine with other tasks the response is sent
   * at once, since the end of a task would otherwise be reported late.
   */
  private awaitsWork({ machine, commands, runsServicesOnly }: HeldResponse): boolean {
    if (commands.length > 0 || !machine.isReconciled || machine.cordonReason !== null) return false;
    if (machine.isEmpty) return true;
    if (!runsServicesOnly || machine.indexPosition === null || machine.queue.length > 0) return false;
    const hasFreeGpus = machine.type.gpus === 0 || machine.freeGpus > 0;
    return machine.freeCpus > 0 && hasFreeGpus && !machine.isTaskListFull;
  }
}

function hasOnlyRunningServices(machine: Machine): boolean {
  for (const { job, state, stopping } of machine.assignments.values())
    if (job.spec.kind !== 'service' || state !== 'running' || stopping !== null) return false;
  return true;
}
