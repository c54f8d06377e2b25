// Whether a play brought about the users' first meeting, by the service's log (LOG_LEVEL=debug): cancellations confirmed by one
// controller while tasks of those jobs ran on machines that another still answered, beyond its hold; and the latest
// that such a machine's lease may have lasted after the confirmation. Pure, so that it is tested without the bench.

export interface Refused {
  /** Cancelled jobs, times the machines on which they met the other leader. */
  met: number;
  /** Seconds from the confirmation to the end of the last lease renewed beyond the hold, at the most; null if none met. */
  latestGoneS: number | null;
}

const LINE = /^\s*([\d.]+) (\S+) (\{.*\})\s*$/;

/** `leaseS`: of the site's workers. */
export function refused(log: string, leaseS: number): Refused {
  const cancelled = new Map<string, { at: number; by: string }>();
  const seen = new Set<string>();
  let latest: number | null = null;
  for (const line of log.split('\n')) {
    const marked = line.includes('"msg":"job cancelled"');
    if (!marked && !line.includes('"msg":"answered beyond the hold"')) continue;
    const m = LINE.exec(line);
    if (m === null) continue;
    const at = Number(m[1]);
    const by = m[2]!;
    const fields = JSON.parse(m[3]!) as { job?: string; machine?: string; jobs?: string[] };
    if (marked) {
      if (!cancelled.has(fields.job!)) cancelled.set(fields.job!, { at, by });
      continue;
    }
    for (const job of fields.jobs ?? []) {
      const c = cancelled.get(job);
      if (c === undefined || c.by === by) continue;
      seen.add(`${job} ${fields.machine}`);
      latest = Math.max(latest ?? 0, at + leaseS - c.at);
    }
  }
  return { met: seen.size, latestGoneS: latest };
}
