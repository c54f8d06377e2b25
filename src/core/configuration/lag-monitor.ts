// Which of the other controllers lag behind the applied configuration: logged once they have lagged for a
// while, and when they have caught up.
import { elapsedMs, type Instant, type Millis, type NodeId, type Revision } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { PeerConfigRevision } from '../membership/peer-registry.ts';

/** A node that applies a revision within this time is not logged. */
const GRACE_MS = 2000;

interface Lag {
  from: Revision;
  since: Instant;
  isLogged: boolean;
}

/** The lags of the other controllers, as the leader sees them. */
export class LagMonitor {
  private readonly lags = new Map<NodeId, Lag>();

  constructor(private readonly io: ControllerIo) {}

  /** Compares what a node applies with the revision that this one applies. */
  check(peer: PeerConfigRevision, applied: Revision): void {
    const { node, revision } = peer;
    const lag = this.lags.get(node);
    if (revision !== null && revision >= applied) {
      if (lag?.isLogged) this.logCaughtUp(node, lag, revision);
      this.lags.delete(node);
      return;
    }
    if (lag === undefined) {
      this.lags.set(node, { from: revision ?? (0 as Revision), since: this.io.now, isLogged: false });
      return;
    }
    if (lag.isLogged || this.lagMs(lag) < GRACE_MS) return;
    lag.isLogged = true;
    const reason = peer.linked ? 'it has not applied the revision yet' : 'its link is down';
    this.io.log('info', 'configuration lags', { node, from: lag.from, to: applied, reason });
  }

  /** For operators: how long each node that lags has done so, in seconds. */
  describe(): Record<string, number> {
    const lagging: Record<string, number> = {};
    for (const [node, lag] of this.lags) lagging[node] = Math.round(this.lagMs(lag) / 100) / 10;
    return lagging;
  }

  private logCaughtUp(node: NodeId, lag: Lag, revision: Revision): void {
    const afterMs = Math.round(this.lagMs(lag));
    this.io.log('info', 'configuration caught up', { node, from: lag.from, to: revision, afterMs });
  }

  private lagMs(lag: Lag): Millis {
    return elapsedMs(this.io.now, lag.since);
  }
}
