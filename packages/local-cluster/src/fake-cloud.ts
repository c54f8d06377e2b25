// A stand-in of the cloud: idempotent rentals by request name, capacity, boots, lists that lag.
import type { CloudReply, CloudRequest, ListedMachine, MachineType } from '../../../src/core/base/model.ts';
import type { MachineId, TypeName, ZoneName } from '../../../src/types/index.ts';
import type { SimulationClock } from './clock.ts';

/** A machine as the cloud knows it. */
export interface CloudMachine {
  readonly type: TypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  /** Its line in a list of machines. */
  listed(now: number): ListedMachine;
  /** It is up. */
  boot(): void;
  /** It is no more. */
  die(): void;
}

/** Where the cloud's machines are. */
export interface CloudEnvironment extends SimulationClock {
  /** Machines that are rented, by id. */
  readonly workers: Map<string, CloudMachine>;
  /** Makes a machine, which is not up yet, and adds it to `workers`. */
  machine(id: MachineId, type: TypeName, zone: ZoneName, spot: boolean): CloudMachine;
}

type RentRequest = Extract<CloudRequest, { kind: 'rent' }>;

interface MachineList {
  readonly at: number;
  readonly machines: ListedMachine[];
}

const ID_DIGITS = 6;

/** The cloud. Public fields that are not read-only set its properties and turn faults on. */
export class FakeCloud {
  /** During an outage every request is refused. */
  down = false;
  /** Machines that may be rented in all; see `room`. */
  capacity = 20;
  /** Seconds until a machine is up; see `bootMs`. */
  bootS = 5;
  /** Set to rent without answering. */
  loseNextAnswer = false;
  /** Machines that were rented, by the name of the request. */
  readonly hires = new Map<string, MachineId[]>();
  /** Machines that were returned. */
  readonly released: string[] = [];
  /** Machines that were ever rented: names are never used again. */
  made = 0;
  /** Machines that may be rented of a type, zone and kind, in place of `capacity`. */
  room: ((type: TypeName, zone: ZoneName, spot: boolean) => number) | null = null;
  /** Milliseconds until a machine is up; negative: never. */
  bootMs = (_type: TypeName): number => this.bootS * 1000;
  /** How old a list is, in milliseconds. */
  lagMs = 0;
  private readonly lists: MachineList[] = [];
  /** Machine types that are offered. */
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

  /** `environment`: where its machines are. */
  constructor(private readonly environment: CloudEnvironment) {}

  /** Executes a request. */
  serve(op: CloudRequest): CloudReply {
    if (this.down) return { kind: 'refused', busy: false };
    switch (op.kind) {
      case 'types':
        return { kind: 'types', types: structuredClone(this.types) };
      case 'rent':
        return this.rent(op);
      case 'release':
        for (const id of op.machines) this.release(id);
        return { kind: 'released' };
      case 'list':
        return { kind: 'listed', more: false, machines: this.list() };
    }
  }

  /** The same request again gets the same machines. */
  private rent(request: RentRequest): CloudReply {
    const machines = this.hires.get(request.request) ?? this.createMachines(request);
    this.hires.set(request.request, machines);
    if (this.loseNextAnswer) {
      this.loseNextAnswer = false;
      return { kind: 'no-answer' };
    }
    return machines.length === 0 ? { kind: 'no-capacity' } : { kind: 'rented', machines };
  }

  private createMachines({ type, zone, spot, count }: RentRequest): MachineId[] {
    const available = this.availableMachines(type, zone, spot);
    const ids: MachineId[] = [];
    for (let i = 0; i < Math.min(count, available); i++) ids.push(this.createMachine(type, zone, spot));
    return ids;
  }

  private availableMachines(type: TypeName, zone: ZoneName, spot: boolean): number {
    const { workers } = this.environment;
    if (this.room === null) return this.capacity - workers.size;
    const rented = [...workers.values()].filter(
      (machine) => machine.type === type && machine.zone === zone && machine.spot === spot,
    );
    return this.room(type, zone, spot) - rented.length;
  }

  private createMachine(type: TypeName, zone: ZoneName, spot: boolean): MachineId {
    const id = `i-${String(++this.made).padStart(ID_DIGITS, '0')}` as MachineId;
    const machine = this.environment.machine(id, type, zone, spot);
    const bootMs = this.bootMs(type);
    if (bootMs >= 0) this.environment.after(bootMs, () => machine.boot());
    return id;
  }

  private release(id: MachineId): void {
    const { workers } = this.environment;
    this.released.push(id);
    workers.get(id)?.die();
    workers.delete(id);
  }

  private list(): ListedMachine[] {
    const { now, workers } = this.environment;
    const machines = [...workers.values()].map((machine) => machine.listed(now));
    if (this.lagMs === 0) return machines;
    this.lists.push({ at: now, machines });
    // The newest list that is old enough; before there is one, nothing is listed yet.
    const newestAt = now - this.lagMs;
    while (this.lists.length > 1 && this.lists[1]!.at <= newestAt) this.lists.shift();
    const lagging = this.lists[0]!;
    return lagging.at <= newestAt ? lagging.machines : [];
  }
}
