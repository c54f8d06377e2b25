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
const ANSWERED_AFTER_LEASE = '"msg":"answered beyond the hold"';

function parseLine(line: string): LogLine | null {
  const match = LINE.exec(line);
  if (match === null) return null;
  return { atS: Number(match[1]), node: match[2]!, fields: JSON.parse(match[3]!) };
}

/** Reads the log of a scenario; `leaseS`: of the site's workers. */
export function readRefusedLeader(log: string, leaseS: number): RefusedLeader {
  const cancelled = new Map<string, Cancellation>();
  const met = new Set<string>();
  let latestGoneS: number | null = null;
  for (const text of log.split('\n')) {
    const isCancellation = text.includes(CANCELLED);
    if (!isCancellation && !text.includes(ANSWERED_AFTER_LEASE)) continue;
    const line = parseLine(text);
    if (line === null) continue;
    const { atS, node, fields } = line;
    if (isCancellation) {
      if (!cancelled.has(fields.job!)) cancelled.set(fields.job!, { atS, node });
      continue;
    }
    for (const job of fields.jobs ?? []) {
      const cancellation = cancelled.get(job);
      if (cancellation === undefined || cancellation.node === node) continue;
      met.add(`${job} ${fields.machine}`);
      latestGoneS = Math.max(latestGoneS ?? 0, atS + leaseS - cancellation.atS);
    }
  }
  return { met: met.size, latestGoneS };
}
