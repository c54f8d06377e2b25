// Tracks the controllers that lag behind the configuration that this one applies, and logs when a controller
// has lagged for some time and when it has caught up.
import {
  elapsedMs,
  type Instant,
  type Millis,
  NO_REVISION,
  type NodeId,
  type Revision,
} from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { PeerConfigRevision } from '../membership/peer-registry.ts';

/** A lag shorter than this is not logged. */
const LOG_DELAY_MS = 2000;

interface Lag {
  from: Revision;
  since: Instant;
  isLogged: boolean;
}

/** The lags of the other controllers, as seen by the leader. */
export class LagMonitor {
  private readonly lags = new Map<NodeId, Lag>();

  constructor(private readonly io: ControllerIo) {}

  /** Compares the revision that a peer applies with the one that this controller applies. */
  check(peer: PeerConfigRevision, applied: Revision): void {
    const { node, revision } = peer;
    const lag = this.lags.get(node);
    if (revision !== null && revision >= applied) {
      if (lag?.isLogged) this.logCaughtUp(node, lag, revision);
      this.lags.delete(node);
      return;
    }
    if (lag === undefined) {
      this.lags.set(node, { from: revision ?? NO_REVISION, since: this.io.now, isLogged: false });
      return;
    }
    if (lag.isLogged || this.lagMs(lag) < LOG_DELAY_MS) return;
    lag.isLogged = true;
    const reason = peer.linked ? 'it has not applied the revision yet' : 'its link is down';
    this.io.log('info', 'node lags behind the configuration', { node, from: lag.from, to: applied, reason });
  }

  /** The status output for operators: for each lagging node, the duration of its lag in seconds. */
  describe(): Record<string, number> {
    const lagging: Record<string, number> = {};
    for (const [node, lag] of this.lags) lagging[node] = Math.round(this.lagMs(lag) / 100) / 10;
    return lagging;
  }

  private logCaughtUp(node: NodeId, lag: Lag, revision: Revision): void {
    const afterMs = Math.round(this.lagMs(lag));
    this.io.log('info', 'node caught up with the configuration', {
      node,
      from: lag.from,
      to: revision,
      afterMs,
    });
  }

  private lagMs(lag: Lag): Millis {
    return elapsedMs(this.io.now, lag.since);
  }
}
