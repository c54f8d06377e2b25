// Workers that cannot reach the owner: the node they come back to passes their reports on over the peer
// link. An answer under the owner's token is accepted from any node, and dropped after 4 s like any other.
import { type Instant, LONG_AGO, later, type MachineId, since } from '../../types/index.ts';
import type { Outbox } from '../base/io.ts';
import type { Report, WorkerAnswer } from '../base/model.ts';
import type { OwnerRecord } from '../membership/leadership.ts';

/** A worker back this soon after it was sent to the owner did not get through. */
const BACK_WITHIN_MS = 12_000;
/** After this long a relayed worker is sent to the owner once more: the way may be open again. */
const TRY_AGAIN_MS = 30_000;
const PATIENCE_MS = 3500;

interface Open {
  answer: (a: WorkerAnswer) => void;
  deadline: Instant;
}

export class Relay {
  private readonly sentOn = new Map<MachineId, Instant>();
  /** Since when each machine's reports are passed on. */
  private readonly relaying = new Map<MachineId, Instant>();
  private readonly open = new Map<number, Open>();
  private readonly io: Outbox;

  constructor(io: Outbox) {
    this.io = io;
  }

  /** A report at a node that is not the owner: the worker is sent there, or its report is passed on. */
  report(r: Report, owner: OwnerRecord | null, linked: boolean, answer: (a: WorkerAnswer) => void): void {
    if (owner === null || !linked || !this.lostOwner(r, owner)) {
      this.sentOn.set(r.machine, this.io.now);
      return answer({ kind: 'elsewhere', node: owner?.node ?? null });
    }
    const id = this.io.askId();
    this.open.set(id, { answer, deadline: later(this.io.now, PATIENCE_MS) });
    this.io.emit({ kind: 'peer', node: owner.node, message: { kind: 'relay', id, report: r } });
  }

  /** The worker has the owner's token, so it left the owner for want of answers; or it was just sent there in vain. */
  private lostOwner(r: Report, owner: OwnerRecord): boolean {
    const { now } = this.io;
    const began = this.relaying.get(r.machine);
    if (began !== undefined && since(now, began) > TRY_AGAIN_MS) {
      this.relaying.delete(r.machine);
      return false;
    }
    const back = since(now, this.sentOn.get(r.machine) ?? LONG_AGO) < BACK_WITHIN_MS;
    if (!back && (r.token as number) !== owner.revision) return false;
    if (began === undefined) this.relaying.set(r.machine, now);
    return true;
  }

  relayed(id: number, answer: WorkerAnswer | null): void {
    const o = this.open.get(id);
    this.open.delete(id);
    o?.answer(answer ?? { kind: 'elsewhere', node: null });
  }

  tick(): void {
    for (const [id, o] of this.open) if (this.io.now >= o.deadline) this.relayed(id, null);
    for (const [m, at] of this.sentOn) if (since(this.io.now, at) > BACK_WITHIN_MS) this.sentOn.delete(m);
    for (const [m, at] of this.relaying)
      if (since(this.io.now, at) > 2 * TRY_AGAIN_MS) this.relaying.delete(m);
  }
}
