// Workers that cannot reach the owner: the node they come back to passes their reports on over the peer
// link. An answer under the owner's token is accepted from any node, and dropped after 4 s like any other.
import { addMs, elapsedMs, type Instant, LONG_AGO, type MachineId } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Heartbeat, HeartbeatResponse } from '../base/model.ts';
import type { LeaderRecord } from '../membership/leader-election.ts';

/** A worker back this soon after it was sent to the owner did not get through. */
const BACK_WITHIN_MS = 12_000;
/** After this long a relayed worker is sent to the owner once more: the way may be open again. */
const TRY_AGAIN_MS = 30_000;
const PATIENCE_MS = 3500;

interface Open {
  answer: (a: HeartbeatResponse) => void;
  deadline: Instant;
}

export class HeartbeatRelay {
  private readonly sentOn = new Map<MachineId, Instant>();
  /** Since when each machine's reports are passed on. */
  private readonly relaying = new Map<MachineId, Instant>();
  private readonly open = new Map<number, Open>();
  private readonly io: ControllerIo;

  constructor(io: ControllerIo) {
    this.io = io;
  }

  /** A report at a node that is not the owner: the worker is sent there, or its report is passed on. */
  relay(
    r: Heartbeat,
    owner: LeaderRecord | null,
    linked: boolean,
    answer: (a: HeartbeatResponse) => void,
  ): void {
    if (owner === null || !linked || !this.lostOwner(r, owner)) {
      this.sentOn.set(r.machine, this.io.now);
      return answer({ kind: 'redirect', node: owner?.node ?? null });
    }
    const id = this.io.nextRequestId();
    this.open.set(id, { answer, deadline: addMs(this.io.now, PATIENCE_MS) });
    this.io.emit({
      kind: 'peer',
      node: owner.node,
      message: { kind: 'relayed-heartbeat', id, heartbeat: r },
    });
  }

  /** The worker has the owner's token, so it left the owner for want of answers; or it was just sent there in vain. */
  private lostOwner(r: Heartbeat, owner: LeaderRecord): boolean {
    const { now } = this.io;
    const began = this.relaying.get(r.machine);
    if (began !== undefined && elapsedMs(now, began) > TRY_AGAIN_MS) {
      this.relaying.delete(r.machine);
      return false;
    }
    const back = elapsedMs(now, this.sentOn.get(r.machine) ?? LONG_AGO) < BACK_WITHIN_MS;
    if (!back && (r.fencingToken as number) !== owner.revision) return false;
    if (began === undefined) this.relaying.set(r.machine, now);
    return true;
  }

  onResponse(id: number, answer: HeartbeatResponse | null): void {
    const o = this.open.get(id);
    this.open.delete(id);
    o?.answer(answer ?? { kind: 'redirect', node: null });
  }

  tick(): void {
    for (const [id, o] of this.open) if (this.io.now >= o.deadline) this.onResponse(id, null);
    for (const [m, at] of this.sentOn) if (elapsedMs(this.io.now, at) > BACK_WITHIN_MS) this.sentOn.delete(m);
    for (const [m, at] of this.relaying)
      if (elapsedMs(this.io.now, at) > 2 * TRY_AGAIN_MS) this.relaying.delete(m);
  }
}
