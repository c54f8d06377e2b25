// Keeps the process within the memory that the settings file grants it (`limits.ram_mb`). V8's heap limit can only be set
// before the process starts, when the file has not been read yet; how far the heap may grow before garbage is collected
// can be set at any time. So `run` sets a heap limit that no node reaches, and this module sets the growth: much while
// memory is free, which costs the least processor time, and little when it is short.
import v8 from 'node:v8';

/** Memory of the process. */
export interface MemoryUse {
  /** Resident memory. */
  rssMb: number;
  /** The part of it that is the heap. */
  heapMb: number;
  /** What the process may use. */
  limitMb: number;
}

/** Bounds of the growth in percent of the live heap. Below the least, collecting takes more processor than any node has. */
const MIN_GROWTH_PERCENT = 15;
const MAX_GROWTH_PERCENT = 60;
const GROWTH_STEP_PERCENT = 5;
/** The part of the limit that garbage may fill. */
const USABLE_PART = 0.8;
const MEASURE_INTERVAL_MS = 1000;

/** How far the heap may grow before garbage is collected, in percent of what is alive in it. */
export function growthPercent({ rssMb, heapMb, limitMb }: MemoryUse): number {
  const freeMb = limitMb * USABLE_PART - rssMb;
  const percent = MIN_GROWTH_PERCENT + (100 * freeMb) / Math.max(1, heapMb);
  const bounded = Math.min(MAX_GROWTH_PERCENT, Math.max(MIN_GROWTH_PERCENT, percent));
  return Math.round(bounded / GROWTH_STEP_PERCENT) * GROWTH_STEP_PERCENT;
}

type MeasureMemory = () => Omit<MemoryUse, 'limitMb'>;

/** Measures the process's memory once a second and sets the growth of its heap. */
export class HeapGovernor {
  private growth = 0;
  private nextMeasureMs = 0;
  private usedPart = 0;

  /** `limitMb`: null without a limit; nothing is measured then. */
  constructor(
    private readonly limitMb: number | null,
    private readonly measure: MeasureMemory = measureProcess,
    private readonly setGrowth: (percent: number) => void = setHeapGrowth,
  ) {}

  /** The part of the limit that is in use, 0 without a limit; `nowMs` is on the steady clock. */
  used(nowMs: number): number {
    if (this.limitMb === null || nowMs < this.nextMeasureMs) return this.usedPart;
    this.nextMeasureMs = nowMs + MEASURE_INTERVAL_MS;
    const use = { ...this.measure(), limitMb: this.limitMb };
    const growth = growthPercent(use);
    if (growth !== this.growth) this.setGrowth(growth);
    this.growth = growth;
    this.usedPart = use.rssMb / this.limitMb;
    return this.usedPart;
  }
}

function measureProcess(): Omit<MemoryUse, 'limitMb'> {
  return {
    rssMb: process.memoryUsage.rss() / 1e6,
    heapMb: v8.getHeapStatistics().total_heap_size / 1e6,
  };
}

const setHeapGrowth = (percent: number): void => v8.setFlagsFromString(`--heap-growing-percent=${percent}`);
