// Which images the machines have: fetched once, and kept while the cache has space, least recently used first
// out.
import type { SimulationClock } from './clock.ts';

/** The machine that fetches. */
export interface ImageCacheMachine {
  id: string;
  fetchGbPerS: number;
  cacheGb: number;
}

/** An image and its size. */
export interface Image {
  name: string;
  gb: number;
}

interface MachineCache {
  /** Sizes in GB by name, least recently used first. */
  readonly sizes: Map<string, number>;
  totalGb: number;
}

/** The caches of all machines. */
export class ImageCaches {
  private readonly caches = new Map<string, MachineCache>();

  /** `speed`: fetches are so many times as fast. */
  constructor(
    private readonly clock: SimulationClock,
    private readonly speed: number,
  ) {}

  /**
   * Calls `onReady` when the machine has the image: at once, or after `onFetching` and the time of the fetch.
   */
  fetch(machine: ImageCacheMachine, image: Image, onFetching: () => void, onReady: () => void): void {
    const cache = this.cacheOf(machine.id);
    const isCached = cache.sizes.has(image.name);
    if (isCached || image.gb === 0) {
      // Added again it is the most recently used.
      if (isCached) cache.sizes.delete(image.name);
      cache.sizes.set(image.name, image.gb);
      return onReady();
    }
    onFetching();
    const fetchMs = ((image.gb / machine.fetchGbPerS) * 1000) / this.speed;
    this.clock.after(fetchMs, () => {
      add(cache, image, machine.cacheGb);
      onReady();
    });
  }

  private cacheOf(machineId: string): MachineCache {
    const cache = this.caches.get(machineId) ?? { sizes: new Map<string, number>(), totalGb: 0 };
    this.caches.set(machineId, cache);
    return cache;
  }
}

function add(cache: MachineCache, image: Image, capacityGb: number): void {
  cache.sizes.set(image.name, image.gb);
  cache.totalGb += image.gb;
  for (const [name, gb] of cache.sizes) {
    if (cache.totalGb <= capacityGb || name === image.name) break;
    cache.sizes.delete(name);
    cache.totalGb -= gb;
  }
}
