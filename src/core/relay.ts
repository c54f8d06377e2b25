// Workers that cannot reach the owner: the node they come back to passes their reports on over the peer
// link. An answer under the owner's token is accepted from any node, and dropped after 4 s like any other.
import { type Instant, LONG_AGO, later, type MachineId, type NodeId, since } from '../types/index.ts';
import type { Outbox } from './io.ts';
import type { Report, WorkerAnswer } from './model.ts';

/** A worker back this soon after it was sent to the owner did not get through. */
const BACK_WITHIN_MS = 12_000;
const PATIENCE_MS = 3500;

interface Open {
  answer: (a: WorkerAnswer) => void;
  deadline: Instant;
}

export class Relay {
  private readonly sentOn = new Map<MachineId, Instant>();
  private readonly open = new Map<number, Open>();
  private nextId = 1;
  private readonly io: Outbox;

  constructor(io: Outbox) {
    this.io = io;
  }

  /** A report at a node that is not the owner: the worker is sent there, or its report is passed on. */
  report(r: Report, owner: NodeId | null, linked: boolean, answer: (a: WorkerAnswer) => void): void {
    const last = this.sentOn.get(r.machine) ?? LONG_AGO;
    this.sentOn.set(r.machine, this.io.now);
    if (owner === null || !linked || since(this.io.now, last) > BACK_WITHIN_MS)
      return answer({ kind: 'elsewhere', node: owner });
    const id = this.nextId++;
    this.open.set(id, { answer, deadline: later(this.io.now, PATIENCE_MS) });
    this.io.emit({ kind: 'peer', node: owner, message: { kind: 'relay', id, report: r } });
  }

  relayed(id: number, answer: WorkerAnswer | null): void {
    const o = this.open.get(id);
    this.open.delete(id);
    o?.answer(answer ?? { kind: 'elsewhere', node: null });
  }

  tick(): void {
    for (const [id, o] of this.open) if (this.io.now >= o.deadline) this.relayed(id, null);
    for (const [m, at] of this.sentOn) if (since(this.io.now, at) > BACK_WITHIN_MS) this.sentOn.delete(m);
  }
}
