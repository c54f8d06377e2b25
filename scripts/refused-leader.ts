// Reads from the service's log (LOG_LEVEL=debug) whether a scenario produced the intended overlap: one
// controller confirmed a cancellation while another, whose leader lease had ended, still answered heartbeats
// of machines that ran tasks of the job. Also computes how long after the confirmation the lease of such a
// machine may have lasted. Free of I/O, so that it can be tested without the bench.

/**
 * Cancellations that were confirmed while a leader refused by the key-value store still answered machines.
 */
export interface RefusedLeader {
  /** Number of distinct pairs of a cancelled job and a machine that the former leader still answered. */
  met: number;
  /**
   * Seconds from the confirmation to the end of the last worker lease so renewed; null if there were no such
   * pairs.
   */
  latestGoneS: number | null;
}

interface Cancellation {
  atS: number;
  node: string;
}

/** A parsed log line: its time in seconds, its node, and the fields that are used. */
interface LogLine {
  atS: number;
  node: string;
  fields: { msg?: string; job?: string; machine?: string; jobs?: string[] };
}

const LOG_LINE = /^\s*([\d.]+) (\S+) (\{.*\})\s*$/;
const CANCELLED = '"msg":"job cancelled"';
/** The message, and its form in versions before 0.10. */
const ANSWERED_AFTER_LEASE = [
  '"msg":"answered after the leader lease expired"',
  '"msg":"answered beyond the hold"',
];

function parseLine(line: string): LogLine | null {
  const match = LOG_LINE.exec(line);
  if (match === null) return null;
  return { atS: Number(match[1]), node: match[2]!, fields: JSON.parse(match[3]!) };
}

/** Collects the result from a log, line by line. */
class RefusedLeaderLog {
  private readonly cancelled = new Map<string, Cancellation>();
  private readonly met = new Set<string>();
  private latestGoneS: number | null = null;

  constructor(private readonly leaseS: number) {}

  read(text: string): void {
    const isCancellation = text.includes(CANCELLED);
    if (!isCancellation && !ANSWERED_AFTER_LEASE.some((marker) => text.includes(marker))) return;
    const line = parseLine(text);
    if (line === null) return;
    if (isCancellation) this.onCancelled(line);
    else this.onAnswered(line);
  }

  result(): RefusedLeader {
    return { met: this.met.size, latestGoneS: this.latestGoneS };
  }

  private onCancelled({ atS, node, fields }: LogLine): void {
    const job = fields.job!;
    if (!this.cancelled.has(job)) this.cancelled.set(job, { atS, node });
  }

  private onAnswered({ atS, node, fields }: LogLine): void {
    for (const job of fields.jobs ?? []) {
      const cancellation = this.cancelled.get(job);
      if (cancellation === undefined || cancellation.node === node) continue;
      this.met.add(`${job} ${fields.machine}`);
      this.latestGoneS = Math.max(this.latestGoneS ?? 0, atS + this.leaseS - cancellation.atS);
    }
  }
}

/** Reads the log of a scenario; `leaseS`: lease of the site's workers in seconds. */
export function readRefusedLeader(log: string, leaseS: number): RefusedLeader {
  const reader = new RefusedLeaderLog(leaseS);
  for (const text of log.split('\n')) reader.read(text);
  return reader.result();
}
