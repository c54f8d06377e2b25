// A stand-in for the cloud: idempotent rentals by request name, limited capacity, boot times and stale
// machine lists.
import type { CloudReply, CloudRequest, ListedMachine, MachineType } from '../../../src/core/base/model.ts';
import type { MachineId, MachineTypeName, ZoneName } from '../../../src/types/index.ts';
import type { SimulationClock } from './clock.ts';

/** A rented machine. */
export interface CloudMachine {
  readonly type: MachineTypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  /** Its entry in the cloud's list of machines. */
  listed(now: number): ListedMachine;
  /** Called when the machine has booted. */
  boot(): void;
  /** Called when the machine is terminated. */
  terminate(): void;
}

/** The environment of the cloud: a clock, and the machines. */
export interface CloudEnvironment extends SimulationClock {
  /** Currently rented machines, by id. */
  readonly workers: Map<string, CloudMachine>;
  /** Creates a machine that has not booted, and adds it to `workers`. */
  createMachine(id: MachineId, type: MachineTypeName, zone: ZoneName, spot: boolean): CloudMachine;
}

type RentRequest = Extract<CloudRequest, { kind: 'rent' }>;

/** The list of machines at a time, kept to answer requests with a stale list. */
interface MachineList {
  /** Milliseconds. */
  readonly takenAt: number;
  readonly machines: ListedMachine[];
}

const MACHINE_NUMBER_DIGITS = 6;

/** A simulated cloud. Its writable public fields configure it and inject faults. */
export class FakeCloud {
  /** Whether the cloud is in an outage: every request is refused. */
  down = false;
  /** Maximum number of machines rented at a time, unless limits by type, zone and spot are set. */
  capacity = 20;
  /** Boot time of a machine in seconds; the default of `bootMs`. */
  bootS = 5;
  /** Set to execute the next rental without answering it. */
  loseNextAnswer = false;
  /** The rented machines of each request, by request name. */
  readonly rentalsByRequest = new Map<string, MachineId[]>();
  /** Machines that were released. */
  readonly released: string[] = [];
  /** Number of machines ever created, used in their ids: ids are never reused. */
  machinesCreated = 0;
  /** Limits by type, zone and spot: maximum number of such machines rented at a time; null for none. */
  capacityOf: ((type: MachineTypeName, zone: ZoneName, spot: boolean) => number) | null = null;
  /** Boot time of a machine in milliseconds; negative if it never boots. */
  bootMs = (_type: MachineTypeName): number => this.bootS * 1000;
  /** Age of the machine lists that are returned, in milliseconds. */
  listLagMs = 0;
  private readonly lists: MachineList[] = [];
  /** Machine types on offer. */
  types: MachineType[] = [
    {
      name: 'box' as MachineTypeName,
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
      name: 'gpu' as MachineTypeName,
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

  constructor(private readonly environment: CloudEnvironment) {}

  /** Executes a request, and returns the reply. */
  serve(request: CloudRequest): CloudReply {
    if (this.down) return { kind: 'refused', busy: false };
    switch (request.kind) {
      case 'types':
        return { kind: 'types', types: structuredClone(this.types) };
      case 'rent':
        return this.rent(request);
      case 'release':
        for (const id of request.machines) this.release(id);
        return { kind: 'released' };
      case 'list':
        return { kind: 'listed', more: false, machines: this.list() };
    }
  }

  /** A repeated request gets the machines of the first one. */
  private rent(request: RentRequest): CloudReply {
    const machines = this.rentalsByRequest.get(request.request) ?? this.createMachines(request);
    this.rentalsByRequest.set(request.request, machines);
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

  private availableMachines(type: MachineTypeName, zone: ZoneName, spot: boolean): number {
    const { workers } = this.environment;
    if (this.capacityOf === null) return this.capacity - workers.size;
    const rented = [...workers.values()].filter(
      (machine) => machine.type === type && machine.zone === zone && machine.spot === spot,
    );
    return this.capacityOf(type, zone, spot) - rented.length;
  }

  private createMachine(type: MachineTypeName, zone: ZoneName, spot: boolean): MachineId {
    const id = `i-${String(++this.machinesCreated).padStart(MACHINE_NUMBER_DIGITS, '0')}` as MachineId;
    const machine = this.environment.createMachine(id, type, zone, spot);
    const bootMs = this.bootMs(type);
    if (bootMs >= 0) this.environment.after(bootMs, () => machine.boot());
    return id;
  }

  private release(id: MachineId): void {
    const { workers } = this.environment;
    this.released.push(id);
    workers.get(id)?.terminate();
    workers.delete(id);
  }

  private list(): ListedMachine[] {
    const { now, workers } = this.environment;
    const machines = [...workers.values()].map((machine) => machine.listed(now));
    if (this.listLagMs === 0) return machines;
    this.lists.push({ takenAt: now, machines });
    // Returns the newest list that is at least `listLagMs` old, or an empty one before there is such a list.
    const newestAt = now - this.listLagMs;
    while (this.lists.length > 1 && this.lists[1]!.takenAt <= newestAt) this.lists.shift();
    const lagging = this.lists[0]!;
    return lagging.takenAt <= newestAt ? lagging.machines : [];
  }
}
