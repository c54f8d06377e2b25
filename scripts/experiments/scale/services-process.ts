// The process that simulates the key-value store and the cloud of the scale experiment. The machines that the
// cloud rents out are simulated in the host processes.
import {
  type CloudEnvironment,
  type CloudMachine,
  type Listening,
  listen,
  OutsideServices,
} from '../../../packages/local-cluster/src/index.ts';
import type { LocalClusterOptions } from '../../../packages/local-cluster/src/options.ts';
import type { ListedMachine } from '../../../src/core/base/model.ts';
import { seededRandom } from '../../../src/runtime/random.ts';
import type { MachineId, MachineTypeName, ZoneName } from '../../../src/types/index.ts';
import { endWithParent, type FromServices, sendToParent, type ToServices } from './messages.ts';

/** A machine whose worker is simulated in a host process. */
class RemoteMachine implements CloudMachine {
  addr = '';
  private isUp = false;
  private readonly createdAt: number;

  constructor(
    private readonly id: MachineId,
    readonly type: MachineTypeName,
    readonly zone: ZoneName,
    readonly spot: boolean,
    now: number,
  ) {
    this.createdAt = now;
  }

  listed(now: number): ListedMachine {
    const { id, addr, type, zone, spot } = this;
    const status = this.isUp ? 'running' : 'booting';
    return { id, addr, type, zone, spot, status, ageS: Math.max(1, (now - this.createdAt) / 1000) };
  }

  boot(): void {
    this.isUp = true;
    sendToParent<FromServices>({ kind: 'boot', id: this.id });
  }

  terminate(): void {
    sendToParent<FromServices>({ kind: 'released', id: this.id });
  }
}

/** Serves the key-value store and the cloud. */
class Services implements CloudEnvironment {
  readonly workers = new Map<string, RemoteMachine>();
  private readonly outsideServices: OutsideServices;

  constructor(options: LocalClusterOptions) {
    this.outsideServices = new OutsideServices(this, options, seededRandom(options.lab.seed), (answer) =>
      answer(),
    );
  }

  get now(): number {
    return performance.timeOrigin + performance.now();
  }

  after(ms: number, run: () => void): void {
    setTimeout(run, ms);
  }

  createMachine(id: MachineId, type: MachineTypeName, zone: ZoneName, spot: boolean): RemoteMachine {
    const machine = new RemoteMachine(id, type, zone, spot, this.now);
    this.workers.set(id, machine);
    sendToParent<FromServices>({ kind: 'rented', machine: { id, type, zone, spot } });
    return machine;
  }

  /** Starts to serve, and sends the addresses to the parent process. */
  async serve(): Promise<void> {
    const state: Listening = await listen(0, this.outsideServices.serveStore);
    const cloud: Listening = await listen(0, this.outsideServices.serveCloud);
    sendToParent<FromServices>({ kind: 'ready', state: state.addr, cloud: cloud.addr });
  }

  /** Handles a message of the parent process. */
  onMessage(message: Exclude<ToServices, { kind: 'begin' }>): void {
    switch (message.kind) {
      case 'listening': {
        const machine = this.workers.get(message.id);
        if (machine !== undefined) machine.addr = message.addr;
        return;
      }
      case 'lost':
        for (const id of message.ids) this.workers.delete(id);
        return;
      case 'outage':
        return this.outsideServices.store.outage(message.seconds);
      case 'count':
        return sendToParent<FromServices>({ kind: 'counts', counts: { ...this.outsideServices.counts } });
    }
  }
}

endWithParent();
let services: Services | null = null;
process.on('message', (message: ToServices) => {
  if (message.kind !== 'begin') return services?.onMessage(message);
  services = new Services(message.options);
  services.serve();
});
