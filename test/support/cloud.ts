// The cloud's protocol in memory: two machine types, boots of 5 s, lists without lag.
import type { CloudOp, CloudReply, MachineType } from '../../src/core/model.ts';
import type { MachineId, TypeName, ZoneName } from '../../src/types/index.ts';
import type { World } from './world.ts';

export class FakeCloud {
  down = false;
  capacity = 20;
  bootS = 5;
  /** Set to rent without answering. */
  loseNextAnswer = false;
  readonly hires = new Map<string, MachineId[]>();
  readonly released: string[] = [];
  private made = 0;
  readonly types: MachineType[] = [
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

  constructor(private readonly world: World) {}

  serve(op: CloudOp): CloudReply {
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
          this.world.workers.get(id)?.die();
          this.world.workers.delete(id);
        }
        return { kind: 'released' };
      case 'list':
        return {
          kind: 'listed',
          more: false,
          machines: [...this.world.workers.values()].map((w) => w.listed()),
        };
    }
  }

  private rent(type: TypeName, zone: ZoneName, spot: boolean, count: number): MachineId[] {
    const out: MachineId[] = [];
    for (let i = 0; i < count && this.world.workers.size < this.capacity; i++) {
      const id = `i-${String(++this.made).padStart(6, '0')}` as MachineId;
      const w = this.world.machine(id, type, zone, spot);
      if (this.bootS >= 0) this.world.after(this.bootS * 1000, () => w.boot());
      out.push(id);
    }
    return out;
  }
}
