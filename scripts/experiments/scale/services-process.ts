// The process that plays the state service and the cloud of the scale drill. Machines that it rents live in other processes.
import {
  type CloudMachine,
  type CloudPlace,
  type Listening,
  listen,
  OutsideServices,
} from '../../../packages/local-cluster/src/index.ts';
import type { LocalClusterOptions } from '../../../packages/local-cluster/src/options.ts';
import type { ListedMachine } from '../../../src/core/base/model.ts';
import { seededRandom } from '../../../src/runtime/random.ts';
import type { MachineId, TypeName, ZoneName } from '../../../src/types/index.ts';
import { endWithParent, type FromServices, type ToServices, tell } from './messages.ts';

/** A machine whose worker lives in a hollow host. */
class RemoteMachine implements CloudMachine {
  addr = '';
  private up = false;
  private readonly since: number;

  constructor(
    private readonly id: MachineId,
    readonly type: TypeName,
    readonly zone: ZoneName,
    readonly spot: boolean,
    now: number,
  ) {
    this.since = now;
  }

  listed(now: number): ListedMachine {
    const { id, addr, type, zone, spot } = this;
    const status = this.up ? 'running' : 'booting';
    return { id, addr, type, zone, spot, status, ageS: Math.max(1, (now - this.since) / 1000) };
  }

  boot(): void {
    this.up = true;
    tell<FromServices>({ kind: 'boot', id: this.id });
  }

  die(): void {
    tell<FromServices>({ kind: 'released', id: this.id });
  }
}

class Services implements CloudPlace {
  readonly workers = new Map<string, RemoteMachine>();
  private readonly outside: OutsideServices;

  constructor(options: LocalClusterOptions) {
    this.outside = new OutsideServices(this, options, seededRandom(options.lab.seed), (answer) => answer());
  }

  get now(): number {
    return performance.timeOrigin + performance.now();
  }

  after(ms: number, run: () => void): void {
    setTimeout(run, ms);
  }

  machine(id: MachineId, type: TypeName, zone: ZoneName, spot: boolean): RemoteMachine {
    const m = new RemoteMachine(id, type, zone, spot, this.now);
    this.workers.set(id, m);
    tell<FromServices>({ kind: 'rented', machine: { id, type, zone, spot } });
    return m;
  }

  async begin(): Promise<void> {
    const state: Listening = await listen(0, this.outside.serveState);
    const cloud: Listening = await listen(0, this.outside.serveCloud);
    tell<FromServices>({ kind: 'ready', state: state.addr, cloud: cloud.addr });
  }

  take(m: Exclude<ToServices, { kind: 'begin' }>): void {
    switch (m.kind) {
      case 'listening': {
        const machine = this.workers.get(m.id);
        if (machine !== undefined) machine.addr = m.addr;
        return;
      }
      case 'lost':
        for (const id of m.ids) this.workers.delete(id);
        return;
      case 'outage':
        return this.outside.state.outage(m.seconds);
      case 'count':
        return tell<FromServices>({ kind: 'counts', counts: { ...this.outside.counts } });
    }
  }
}

endWithParent();
let services: Services | null = null;
process.on('message', (m: ToServices) => {
  if (m.kind !== 'begin') return services?.take(m);
  services = new Services(m.options);
  services.begin();
});
