// The lease of the store to which the leader key is attached: its renewal, and until when it protects the
// leader.
import { addMs, type Instant, LONG_AGO, type StoreLeaseId } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { StoreReply } from '../base/model.ts';
import { StorePriority } from '../base/store-request-budget.ts';

/**
 * Duration of the lease. An agent whose heartbeat a leader leaves unanswered waits for 4 s; the next leader
 * should be elected by then, or the agent tries other nodes, which may be dead, at 5 s each.
 */
export const LEADER_LEASE_MS = 3000;
const RENEW_INTERVAL_MS = 750;
/**
 * A renewal that is answered late still counts from when it was sent, and the next is sent meanwhile. With a
 * shorter timeout none would ever count while the store takes longer, and there would be no leader although
 * the lease lives on.
 */
const RENEW_TIMEOUT_MS = 2700;
const RENEW_RETRY_MS = 200;
/** Steady clocks drift apart by at most 0.05%; twice that, and a little for the sender. */
const CLOCK_DRIFT = 0.001;

/** Learns that the store has ended the lease. */
export interface LeaderLeaseListener {
  onLeaseExpired(): void;
}

/** The lease of this controller while it leads; without one between its terms. */
export class LeaderLease {
  /** Until when, on this node's steady clock, no other controller can be elected. */
  expiresAt: Instant = LONG_AGO;
  /** When the last request that the store is known to have served was sent. */
  confirmedAt: Instant = LONG_AGO;
  private lease: StoreLeaseId | null = null;
  private renewAt: Instant = LONG_AGO;
  /** Counts beginnings and ends: the reply to a renewal of an earlier term is ignored. */
  private generation = 0;

  constructor(
    private readonly io: ControllerIo,
    private readonly listener: LeaderLeaseListener,
  ) {}

  /** The lease of the present term; null between terms. */
  get id(): StoreLeaseId | null {
    return this.lease;
  }

  /**
   * A term begins under this lease; `sentAt`: when the request was sent that granted it or confirmed it last.
   */
  begin(lease: StoreLeaseId, sentAt: Instant): void {
    this.generation++;
    this.lease = lease;
    this.confirm(sentAt);
    this.renewAt = LONG_AGO;
  }

  /** The term is over. The lease is not revoked: it expires by itself. */
  end(): void {
    this.generation++;
    this.lease = null;
    this.expiresAt = LONG_AGO;
  }

  /** Sends the next renewal once it is due. */
  tick(): void {
    const { io, lease } = this;
    if (lease === null || io.now < this.renewAt) return;
    const sentAt = io.now;
    this.renewAt = addMs(sentAt, RENEW_INTERVAL_MS);
    const { generation } = this;
    io.store(
      { kind: 'renew-lease', lease },
      StorePriority.lease,
      (reply) => {
        if (generation === this.generation) this.onRenewed(reply, sentAt);
      },
      RENEW_TIMEOUT_MS,
    );
  }

  private onRenewed(reply: StoreReply, sentAt: Instant): void {
    if (reply.kind === 'ok') {
      this.confirm(sentAt);
      return;
    }
    if (reply.kind === 'missing') {
      this.listener.onLeaseExpired();
      return;
    }
    const retryAt = addMs(this.io.now, RENEW_RETRY_MS);
    this.renewAt = Math.min(this.renewAt, retryAt) as Instant;
  }

  private confirm(sentAt: Instant): void {
    this.confirmedAt = Math.max(this.confirmedAt, sentAt) as Instant;
    this.expiresAt = addMs(this.confirmedAt, LEADER_LEASE_MS * (1 - CLOCK_DRIFT));
  }
}
