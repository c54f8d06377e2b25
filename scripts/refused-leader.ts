// Whether a scenario brought about what it is for, by the service's log (LOG_LEVEL=debug): cancellations
// confirmed by one controller while tasks of those jobs ran on machines that another still answered, after
// its lease had ended; and the latest that such a machine's lease may have lasted after the confirmation.
// Pure, so that it is tested without the bench.

/** Cancellations that coincided with a leader that the key-value store refused. */
export interface RefusedLeader {
  /** Cancelled jobs, times the machines on which they met the other leader. */
  met: number;
  /** Seconds from the confirmation to the end of the last worker lease that was renewed; null if none met. */
  latestGoneS: number | null;
}

interface Cancellation {
  atS: number;
  node: string;
}

/** What is read of a log line: its time in seconds, its node, and its fields. */
interface LogLine {
  atS: number;
  node: string;
  fields: { msg?: string; job?: string; machine?: string; jobs?: string[] };
}

const LINE = /^\s*([\d.]+) (\S+) (\{.*\})\s*$/;
const CANCELLED = '"msg":"job cancelled"';
/** The text, and that of versions before 0.10. */
const ANSWERED_AFTER_LEASE = [
  '"msg":"answered after the leader lease expired"',
  '"msg":"answered beyond the hold"',
];

function parseLine(line: string): LogLine | null {
  const match = LINE.exec(line);
  if (match === null) return null;
  return { atS: Number(match[1]), node: match[2]!, fields: JSON.parse(match[3]!) };
}

/** What a log tells, line by line. */
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

/** Reads the log of a scenario; `leaseS`: of the site's workers. */
export function readRefusedLeader(log: string, leaseS: number): RefusedLeader {
  const reader = new RefusedLeaderLog(leaseS);
  for (const text of log.split('\n')) reader.read(text);
  return reader.result();
}
