// The cloud's protocol: rentals by request name, capacity, boots, lists that lag.
import type { CloudReply, CloudRequest, ListedMachine, MachineType } from '../../../src/core/base/model.ts';
import type { MachineId, TypeName, ZoneName } from '../../../src/types/index.ts';
import type { SimulationClock } from './clock.ts';

/** A machine as the cloud knows it. */
export interface CloudMachine {
  readonly type: TypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  listed(now: number): ListedMachine;
  boot(): void;
  die(): void;
}

export interface CloudEnvironment extends SimulationClock {
  /** Machines that are rented, by id. */
  readonly workers: Map<string, CloudMachine>;
  machine(id: MachineId, type: TypeName, zone: ZoneName, spot: boolean): CloudMachine;
}

export class FakeCloud {
  down = false;
  capacity = 20;
  bootS = 5;
  /** Set to rent without answering. */
  loseNextAnswer = false;
  readonly hires = new Map<string, MachineId[]>();
  readonly released: string[] = [];
  /** Machines that were ever rented: names are never used again. */
  made = 0;
  /** Machines that may be rented of a type, zone and kind, in place of `capacity`. */
  room: ((type: TypeName, zone: ZoneName, spot: boolean) => number) | null = null;
  /** Milliseconds until a machine is up; negative: never. */
  bootMs = (_type: TypeName): number => this.bootS * 1000;
  /** How old a list is. */
  lagMs = 0;
  private readonly lists: { at: number; machines: ListedMachine[] }[] = [];
  types: MachineType[] = [
    {
      name: 'box' as TypeName,
      cpus: 8,
      gpus: 0,
      memoryGb: 32,
      cacheGb: 50,
      fetchGbPerS: 1,
      price: 1,
      spotPrice: 0.3,
      bootS: 5,
      zones: ['north', 'south'] as ZoneName[],
    },
    {
      name: 'gpu' as TypeName,
      cpus: 8,
      gpus: 2,
      memoryGb: 64,
      cacheGb: 50,
      fetchGbPerS: 1,
      price: 4,
      spotPrice: 1.5,
      bootS: 5,
      zones: ['north'] as ZoneName[],
    },
  ];

  constructor(private readonly place: CloudEnvironment) {}

  serve(op: CloudRequest): CloudReply {
    if (this.down) return { kind: 'refused', busy: false };
    switch (op.kind) {
      case 'types':
        return { kind: 'types', types: structuredClone(this.types) };
      case 'rent': {
        const before = this.hires.get(op.request);
        const ids = before ?? this.rent(op.type, op.zone, op.spot, op.count);
        this.hires.set(op.request, ids);
        if (this.loseNextAnswer) {
          this.loseNextAnswer = false;
          return { kind: 'no-answer' };
        }
        return ids.length === 0 ? { kind: 'no-capacity' } : { kind: 'rented', machines: ids };
      }
      case 'release':
        for (const id of op.machines) {
          this.released.push(id);
          this.place.workers.get(id)?.die();
          this.place.workers.delete(id);
        }
        return { kind: 'released' };
      case 'list':
        return { kind: 'listed', more: false, machines: this.list() };
    }
  }

  private list(): ListedMachine[] {
    const { now } = this.place;
    const machines = [...this.place.workers.values()].map((w) => w.listed(now));
    if (this.lagMs === 0) return machines;
    this.lists.push({ at: now, machines });
    // The newest list that is old enough; before there is one, nothing is listed yet.
    while (this.lists.length > 1 && this.lists[1]!.at <= now - this.lagMs) this.lists.shift();
    const old = this.lists[0]!;
    return old.at <= now - this.lagMs ? old.machines : [];
  }

  private rent(type: TypeName, zone: ZoneName, spot: boolean, count: number): MachineId[] {
    const out: MachineId[] = [];
    const room =
      this.room === null
        ? this.capacity - this.place.workers.size
        : this.room(type, zone, spot) -
          [...this.place.workers.values()].filter(
            (w) => w.type === type && w.zone === zone && w.spot === spot,
          ).length;
    for (let i = 0; i < Math.min(count, room); i++) {
      const id = `i-${String(++this.made).padStart(6, '0')}` as MachineId;
      const w = this.place.machine(id, type, zone, spot);
      const bootMs = this.bootMs(type);
      if (bootMs >= 0) this.place.after(bootMs, () => w.boot());
      out.push(id);
    }
    return out;
  }
}
