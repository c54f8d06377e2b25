// Simulated image caches of the machines: images are fetched once, and evicted least recently used first when
// a cache is full.
import type { SimulationClock } from './clock.ts';

/** The properties of a machine that its image cache depends on. */
export interface ImageCacheMachine {
  id: string;
  fetchGbPerS: number;
  cacheGb: number;
}

/** A container image. */
export interface Image {
  name: string;
  sizeGb: number;
}

interface MachineCache {
  /** Sizes in GB by name, least recently used first. */
  readonly sizes: Map<string, number>;
  totalGb: number;
}

/** The caches of all machines. */
export class ImageCaches {
  private readonly caches = new Map<string, MachineCache>();

  /** `speed`: factor by which fetches are faster than nominal. */
  constructor(
    private readonly clock: SimulationClock,
    private readonly speed: number,
  ) {}

  /**
   * Calls `onReady` when the machine has the image: at once if it is cached or empty, else `onFetching` at
   * once and `onReady` after the fetch time.
   */
  fetch(machine: ImageCacheMachine, image: Image, onFetching: () => void, onReady: () => void): void {
    const cache = this.cacheOf(machine.id);
    const isCached = cache.sizes.has(image.name);
    if (isCached || image.sizeGb === 0) {
      // Deleting and adding it again makes it the most recently used.
      if (isCached) cache.sizes.delete(image.name);
      cache.sizes.set(image.name, image.sizeGb);
      return onReady();
    }
    onFetching();
    const fetchMs = ((image.sizeGb / machine.fetchGbPerS) * 1000) / this.speed;
    this.clock.after(fetchMs, () => {
      addImage(cache, image, machine.cacheGb);
      onReady();
    });
  }

  private cacheOf(machineId: string): MachineCache {
    const cache = this.caches.get(machineId) ?? { sizes: new Map<string, number>(), totalGb: 0 };
    this.caches.set(machineId, cache);
    return cache;
  }
}

/** Adds an image, and evicts others, least recently used first, while the cache is over its capacity. */
function addImage(cache: MachineCache, image: Image, capacityGb: number): void {
  cache.sizes.set(image.name, image.sizeGb);
  cache.totalGb += image.sizeGb;
  for (const [name, gb] of cache.sizes) {
    if (cache.totalGb <= capacityGb || name === image.name) break;
    cache.sizes.delete(name);
    cache.totalGb -= gb;
  }
}
