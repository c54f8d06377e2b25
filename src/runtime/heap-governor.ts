// Memory as the platform's file gives it (`limits.ram_mb`). The limit of V8's heap can only be set before the start, where
// the file has not been read; how far the heap may outgrow what is alive before garbage is collected can be set at any
// time. So the limit in `run` is one that no node reaches, and this decides: much garbage where there is room for it, which
// costs least processor, and little where there is not.
import v8 from 'node:v8';

/** All in MB: what the process holds in memory, of it the heap, and what it may hold. */
export interface MemoryUse {
  rssMb: number;
  heapMb: number;
  limitMb: number;
}

/** In percent of what is alive. Below the least, collecting takes more processor than any node has. */
const LEAST = 15;
const MOST = 60;
/** Part of the limit that garbage may fill up. */
const FILL = 0.8;
const LOOK_MS = 1000;

export function growthPercent({ rssMb, heapMb, limitMb }: MemoryUse): number {
  const spare = limitMb * FILL - rssMb;
  const percent = LEAST + (100 * spare) / Math.max(1, heapMb);
  return Math.round(Math.min(MOST, Math.max(LEAST, percent)) / 5) * 5;
}

export class HeapGovernor {
  private growth = 0;
  private nextLook = 0;
  private part = 0;

  constructor(
    private readonly limitMb: number | null,
    private readonly use = readUse,
    private readonly set = (percent: number): void =>
      v8.setFlagsFromString(`--heap-growing-percent=${percent}`),
  ) {}

  /** The part of the memory that is in use; 0 if the platform names no limit. */
  used(nowMs: number): number {
    if (this.limitMb === null || nowMs < this.nextLook) return this.part;
    this.nextLook = nowMs + LOOK_MS;
    const use = { ...this.use(), limitMb: this.limitMb };
    const growth = growthPercent(use);
    if (growth !== this.growth) this.set(growth);
    this.growth = growth;
    this.part = use.rssMb / this.limitMb;
    return this.part;
  }
}

function readUse(): Omit<MemoryUse, 'limitMb'> {
  return {
    rssMb: process.memoryUsage.rss() / 1e6,
    heapMb: v8.getHeapStatistics().total_heap_size / 1e6,
  };
}
