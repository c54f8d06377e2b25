// How many workers speak to which controller. They choose at random and move on when a node ends, so after a few ends
// most of them are at one node, which then lacks processor and sockets. A node with many more than its part sends some
// to the one with fewest, a few a second. The owner's part is small: it reads the reports of all workers anyway, and a
// connection and its HTTP cost it several times as much as a report that another node passes on.
import { addMs, elapsedMs, type Instant, LONG_AGO, type MachineId, type NodeId } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';

/** Workers count for as long as two reports should not both be missing. */
const PERIODS = 2;
const SWEEP_MS = 1000;
/** What another node told is believed for this long: it tells every second, and a silent one may be frozen. */
const TOLD_MS = 2500;
/** More than this beyond the mean, and this many, is too many. */
const SLACK = 1.25;
const SLACK_MIN = 24;
/** Part of a node's workers sent away in a second: each makes a new connection there. */
const PART_A_S = 0.04;
/** A new owner has as many as any other node, and needs its processor at once. */
const OWNER_PART_A_S = 0.12;
/** A worker at the owner counts as so many. */
const OWNER_WEIGHT = 4;
/** A worker that is back did not get through; it is left alone for this long. */
const LEAVE_MS = 120_000;

export class ConnectionBalancer {
  private readonly seen = new Map<MachineId, Instant>();
  /** What other nodes told: their workers, weighed. */
  private readonly sizes = new Map<NodeId, { weight: number; until: Instant }>();
  private owner = false;
  private readonly sentAway = new Map<MachineId, Instant>();
  private nextSweep: Instant = LONG_AGO;
  /** How many more may be sent away before the next sweep, and where to. */
  private left = 0;
  private to: NodeId | null = null;

  constructor(
    private readonly io: ControllerIo,
    private readonly reportS: number,
  ) {}

  /** Workers that speak to this node. */
  get workers(): number {
    return this.seen.size;
  }

  setLeader(owner: boolean): void {
    this.owner = owner;
  }

  /** What this node carries, as it is told to the others. */
  get weight(): number {
    return this.workers * (this.owner ? OWNER_WEIGHT : 1);
  }

  recordPeerWeight(node: NodeId, weight: number): void {
    this.sizes.set(node, { weight, until: addMs(this.io.now, TOLD_MS) });
  }

  /** Takes note of a report to this node; where its worker should go instead, or null if it may stay. */
  onHeartbeat(machine: MachineId): NodeId | null {
    const { now } = this.io;
    this.seen.set(machine, now);
    if (this.left <= 0 || this.to === null || this.sentAway.has(machine)) return null;
    this.left--;
    this.seen.delete(machine);
    this.sentAway.set(machine, now);
    return this.to;
  }

  /** `reachable`: nodes that take workers and that this one is linked to. */
  tick(reachable: (node: NodeId) => boolean): void {
    const { now } = this.io;
    if (now < this.nextSweep) return;
    this.nextSweep = addMs(now, SWEEP_MS);
    const old = PERIODS * this.reportS * 1000;
    for (const [m, at] of this.seen) if (elapsedMs(now, at) > old) this.seen.delete(m);
    for (const [m, at] of this.sentAway) if (elapsedMs(now, at) > LEAVE_MS) this.sentAway.delete(m);
    this.plan(reachable);
  }

  private plan(reachable: (node: NodeId) => boolean): void {
    this.left = 0;
    this.to = null;
    const mine = this.weight;
    let sum = mine;
    let nodes = 1;
    let least = Number.POSITIVE_INFINITY;
    for (const [node, s] of this.sizes) {
      if (this.io.now >= s.until || !reachable(node)) continue;
      sum += s.weight;
      nodes++;
      if (s.weight >= least) continue;
      least = s.weight;
      this.to = node;
    }
    const mean = sum / nodes;
    if (this.to === null || mine <= Math.max(mean * SLACK, mean + SLACK_MIN)) return;
    const each = this.owner ? OWNER_WEIGHT : 1;
    const part = this.workers * (this.owner ? OWNER_PART_A_S : PART_A_S);
    this.left = Math.ceil(Math.min((mine - mean) / each, mean - least, part));
  }
}
