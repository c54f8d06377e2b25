// Renews the store lease to which the leader key is attached, and tracks until when it protects the leader.
import { addMs, type Instant, LONG_AGO, type StoreLeaseId } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { StoreReply } from '../base/model.ts';
import { StorePriority } from '../base/store-request-budget.ts';

/**
 * Duration of the lease. An agent waits 4 s for the response to a heartbeat that the leader does not answer.
 * The next leader should be elected within that time; otherwise the agent tries other nodes, which may be
 * down, for 5 s each.
 */
export const LEADER_LEASE_MS = 3000;
const RENEW_INTERVAL_MS = 750;
/**
 * A late reply to a renewal still extends the lease, counted from when the renewal was sent, and the next
 * renewal is sent before it arrives. With a shorter timeout no renewal would count while the store takes
 * longer to reply, and there would be no leader although the store keeps the lease.
 */
const RENEW_TIMEOUT_MS = 2700;
const RENEW_RETRY_MS = 200;
/**
 * Fraction of the lease that is deducted for clock drift. Monotonic clocks drift apart by at most 0.05%;
 * twice that leaves a margin for the sender.
 */
const CLOCK_DRIFT_FRACTION = 0.001;

/** Is notified when the store reports that the lease has expired. */
export interface LeaderLeaseListener {
  onLeaseExpired(): void;
}

/** The lease of this controller's present term; there is none between its terms. */
export class LeaderLease {
  /** Time on this node's monotonic clock until which no other controller can be elected. */
  expiresAt: Instant = LONG_AGO;
  /** Send time of the latest lease request that the store is known to have served. */
  confirmedAt: Instant = LONG_AGO;
  private lease: StoreLeaseId | null = null;
  private renewAt: Instant = LONG_AGO;
  /** Incremented when a term begins or ends: the reply to a renewal of an earlier term is ignored. */
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
   * Begins a term under this lease. `sentAt` is the send time of the request that granted or last confirmed
   * it.
   */
  begin(lease: StoreLeaseId, sentAt: Instant): void {
    this.generation++;
    this.lease = lease;
    this.confirm(sentAt);
    this.renewAt = LONG_AGO;
  }

  /** Ends the term. The lease is not revoked: it expires by itself. */
  end(): void {
    this.generation++;
    this.lease = null;
    this.expiresAt = LONG_AGO;
  }

  /** Sends the next renewal if it is due. */
  tick(): void {
    const { io, lease } = this;
    if (lease === null || io.now < this.renewAt) return;
    const sentAt = io.now;
    this.renewAt = addMs(sentAt, RENEW_INTERVAL_MS);
    const { generation } = this;
    io.sendStoreRequest(
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
    this.expiresAt = addMs(this.confirmedAt, LEADER_LEASE_MS * (1 - CLOCK_DRIFT_FRACTION));
  }
}
