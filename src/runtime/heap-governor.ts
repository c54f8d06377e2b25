// Keeps the process within the memory limit of the settings file (`limits.ram_mb`). V8's heap limit can only
// be set on the command line, before that file is read; the growth of the heap between two garbage
// collections can be set at any time. `run` therefore sets a heap limit that no node reaches, and this module
// sets the growth: large while memory is free, which takes the least processor time, and small when memory is
// short.
import v8 from 'node:v8';

/** Memory use of the process. */
export interface MemoryUse {
  /** Resident memory. */
  rssMb: number;
  /** Total size of the heap, which is part of the resident memory. */
  heapMb: number;
  /** Memory limit of the process. */
  limitMb: number;
}

/**
 * Bounds of the growth in percent of the live heap. Below the minimum, garbage collection takes more
 * processor time than any node has.
 */
const MIN_GROWTH_PERCENT = 15;
const MAX_GROWTH_PERCENT = 60;
const GROWTH_STEP_PERCENT = 5;
/** Fraction of the memory limit that the process may fill, garbage included. */
const USABLE_FRACTION = 0.8;
const MEASURE_INTERVAL_MS = 1000;

/** The growth of the heap before the next garbage collection, in percent of the live heap. */
export function growthPercent({ rssMb, heapMb, limitMb }: MemoryUse): number {
  const freeMb = limitMb * USABLE_FRACTION - rssMb;
  const percent = MIN_GROWTH_PERCENT + (100 * freeMb) / Math.max(1, heapMb);
  const bounded = Math.min(MAX_GROWTH_PERCENT, Math.max(MIN_GROWTH_PERCENT, percent));
  return Math.round(bounded / GROWTH_STEP_PERCENT) * GROWTH_STEP_PERCENT;
}

type MeasureMemory = () => Omit<MemoryUse, 'limitMb'>;

/** Measures the memory use of the process once a second and sets the growth of its heap. */
export class HeapGovernor {
  private growth = 0;
  private nextMeasureMs = 0;
  private usedFraction = 0;

  /** `limitMb`: null for no limit; memory is not measured then. */
  constructor(
    private readonly limitMb: number | null,
    private readonly measure: MeasureMemory = measureProcess,
    private readonly setGrowth: (percent: number) => void = setHeapGrowth,
  ) {}

  /** The fraction of the limit that is in use, 0 without a limit; `nowMs` is on the monotonic clock. */
  measureUsedFraction(nowMs: number): number {
    if (this.limitMb === null || nowMs < this.nextMeasureMs) return this.usedFraction;
    this.nextMeasureMs = nowMs + MEASURE_INTERVAL_MS;
    const use = { ...this.measure(), limitMb: this.limitMb };
    const growth = growthPercent(use);
    if (growth !== this.growth) this.setGrowth(growth);
    this.growth = growth;
    this.usedFraction = use.rssMb / this.limitMb;
    return this.usedFraction;
  }
}

function measureProcess(): Omit<MemoryUse, 'limitMb'> {
  return {
    rssMb: process.memoryUsage.rss() / 1e6,
    heapMb: v8.getHeapStatistics().total_heap_size / 1e6,
  };
}

const setHeapGrowth = (percent: number): void => v8.setFlagsFromString(`--heap-growing-percent=${percent}`);
