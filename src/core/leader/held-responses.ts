// Answers to reports that are held for a moment: work that comes or is placed meanwhile starts at once, instead of waiting for
// the machine's next report.
import { addMs, type Instant, type MachineId } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Command, HeartbeatResponse } from '../base/model.ts';
import type { Machine } from '../machines/machine.ts';
import type { MachineTable } from '../machines/machine-table.ts';

/** A busy machine's report waits this long at most for the next pass, if it has room for work that waits. */
const WAIT_FOR_PASS_MS = 300;
/** Longest time for which a report of a machine with nothing to tell is held; workers wait for 4 s. */
const HOLD_MAX_MS = 2800;

interface Held {
  m: Machine;
  commands: Command[];
  answer: (a: HeartbeatResponse) => void;
  until: Instant;
  /** No pass has run since the report. */
  fresh: boolean;
  /** What is on the machine does not end by itself. */
  lasting: boolean;
}

/** What {@link HeldResponses} depends on. */
export interface HeldResponsesDependencies {
  io: ControllerIo;
  machines: MachineTable;
  heartbeatS: number;
  isCyclePending: () => boolean;
  mayStart: () => boolean;
  holdsLease: () => boolean;
}

export class HeldResponses {
  private readonly held = new Map<MachineId, Held>();
  private readonly holdMs: number;
  private readonly io: ControllerIo;
  private readonly machines: MachineTable;
  private readonly isCyclePending: () => boolean;
  private readonly mayStart: () => boolean;
  private readonly holdsLease: () => boolean;

  /** `passPending`: whether a pass is due that may bind work; `current`: no other owner can exist. */
  constructor(dependencies: HeldResponsesDependencies) {
    this.io = dependencies.io;
    this.machines = dependencies.machines;
    this.isCyclePending = dependencies.isCyclePending;
    this.mayStart = dependencies.mayStart;
    this.holdsLease = dependencies.holdsLease;
    const { heartbeatS } = dependencies;
    // Workers give up after 4 s; and a change on the machine is told only once the last report is answered.
    this.holdMs = Math.min(HOLD_MAX_MS, heartbeatS * 1000);
  }

  has(m: Machine): boolean {
    return this.held.has(m.id);
  }

  /** The report is answered at once if there is something to tell, else within a moment, and before `by`. */
  add(m: Machine, commands: Command[], answer: Held['answer'], by: Instant): void {
    const until = Math.min(addMs(this.io.now, this.holdMs), by) as Instant;
    const h: Held = { m, commands, answer, until, fresh: true, lasting: isLasting(m) };
    this.held.set(m.id, h);
    this.look(h);
  }

  /** Answers those that have something to tell, or whose time is up. */
  respondDue(): void {
    for (const h of this.held.values()) this.look(h);
  }

  /** A pass has run: what it has bound to machines whose answers are held starts. */
  onCycle(): void {
    for (const h of this.held.values()) {
      h.fresh = false;
      this.look(h);
    }
  }

  /** A newer report shows that the worker no longer waits for the answer to the last one. */
  release(m: Machine): void {
    const h = this.held.get(m.id);
    if (h === undefined) return;
    this.held.delete(m.id);
    h.answer({ kind: 'redirect', node: null });
  }

  /** The term is over: workers are sent on. */
  close(): void {
    for (const h of this.held.values()) h.answer({ kind: 'redirect', node: null });
    this.held.clear();
  }

  private look(h: Held): void {
    const { m } = h;
    h.commands.push(...this.machines.startQueued(m, this.mayStart));
    if (this.io.now < h.until && (this.awaitsPass(h) || this.awaitsWork(h))) return;
    this.held.delete(m.id);
    this.machines.renewLease(m);
    if (!this.holdsLease()) this.tellBeyond(m);
    h.answer({ kind: 'commands', fencingToken: this.machines.fencingToken, commands: h.commands });
  }

  /** For plays of a refused leader: who follows it while another may own the share (scripts/refused.ts). */
  private tellBeyond(m: Machine): void {
    const jobs = new Set([...m.assignments.values()].map((e) => e.job.id));
    this.io.log('debug', 'answered beyond the hold', { machine: m.id, jobs: [...jobs] });
  }

  /** Work waits that the next pass, which is due at once, may bind to this machine. */
  private awaitsPass(h: Held): boolean {
    const waited = this.holdMs - (h.until - this.io.now);
    const hasRoom = h.m.indexPosition !== null && h.m.freeCpus > 0;
    return h.fresh && this.isCyclePending() && hasRoom && waited < WAIT_FOR_PASS_MS;
  }

  /**
   * The machine has nothing to tell before long, and room for work that may come: idle, or with services only, which do not
   * end by themselves. With anything else on it the answer goes at once, as the end of a task would be told late.
   */
  private awaitsWork({ m, commands, lasting }: Held): boolean {
    if (commands.length > 0 || !m.isReconciled || m.drainReason !== null) return false;
    if (m.isEmpty) return true;
    const room = m.freeCpus > 0 && (m.type.gpus === 0 || m.freeGpus > 0);
    return lasting && room && m.indexPosition !== null && m.queue.length === 0;
  }
}

const isLasting = (m: Machine): boolean => {
  for (const e of m.assignments.values())
    if (e.job.spec.kind !== 'service' || e.state !== 'running' || e.stopping !== null) return false;
  return true;
};
