// Runs the controllers of the fleet experiment on the simulated clock. Calls to the key-value store, the
// cloud, workers and other controllers have fixed latencies.
import type { SimulationClock } from '../../packages/local-cluster/src/clock.ts';
import type { FakeCloud } from '../../packages/local-cluster/src/fake-cloud.ts';
import type { FakeStore } from '../../packages/local-cluster/src/fake-store.ts';
import type { FakeWorker } from '../../packages/local-cluster/src/fake-worker.ts';
import type { Effect, Input } from '../../src/core/base/io.ts';
import type { Settings, StoreReply, WorkerReply } from '../../src/core/base/model.ts';
import type { Controller } from '../../src/core/controller.ts';
import type { NodeId } from '../../src/types/index.ts';
import { type EffectOf, InMemoryControllers } from '../../test/support/in-memory-controllers.ts';
import { HEARTBEAT_INTERVAL_MS, LEASE_MS, OBJECTIVES, teamName, ZONES } from './fleet-days.ts';
import type { Library, Setup } from './fleet-types.ts';

/** Names of the controllers. */
export const NODES = ['node-0', 'node-1', 'node-2'];
const STORE_REQUEST_MS = 2;
const STORE_REPLY_MS = 4;
const CLOUD_MS = 40;
const WORKER_MS = 2;
const PEER_MS = 1;

/** Passes an input to a controller after a delay, unless its process has ended by then. */
type InputLater = (delayMs: number, makeInput: () => Input) => void;

/** The simulated surroundings of the controllers. */
export interface ControllerEnvironment extends SimulationClock {
  readonly state: FakeStore;
  readonly cloud: FakeCloud;
  readonly workers: ReadonlyMap<string, FakeWorker>;
  /** Whether the machine can be reached over the network. */
  isReachable(worker: FakeWorker): boolean;
}

/** Starts and stops the controllers, and carries out their effects. */
export class FleetControllers extends InMemoryControllers {
  constructor(
    private readonly environment: ControllerEnvironment,
    private readonly library: Library,
    private readonly setup: Setup,
  ) {
    super(environment);
  }

  /** Names of the controllers that are running. */
  get running(): string[] {
    return [...this.nodes.keys()];
  }

  /** Name of the controller that holds the leader lease; null if none does. */
  get leader(): string | null {
    for (const [name, controller] of this.nodes) if (controller.election.holdsLease) return name;
    return null;
  }

  protected create(name: string, incarnation: number): Controller {
    return new this.library.Controller(
      fleetSettings(name, this.setup),
      this.setup.options,
      this.library.seededRandom(this.setup.seed * 31 + name.length + incarnation),
    );
  }

  protected carryOut(name: string, incarnation: number, effect: Effect): void {
    const inputLater: InputLater = (delayMs, makeInput) =>
      this.environment.after(delayMs, () => {
        if (this.isRunning(name, incarnation)) this.input(name, makeInput());
      });
    switch (effect.kind) {
      case 'store':
        return this.callStore(name, effect, inputLater);
      case 'cloud':
        return this.callCloud(effect, inputLater);
      case 'probe':
        return this.callWorker(effect, inputLater);
      case 'peer':
        return this.environment.after(PEER_MS, () =>
          this.input(effect.node, { kind: 'peer', node: name as NodeId, message: effect.message }),
        );
    }
  }

  private callStore(
    name: string,
    { request, tag, timeoutMs }: EffectOf<'store'>,
    inputLater: InputLater,
  ): void {
    const { environment } = this;
    let isPending = true;
    const respond = (reply: StoreReply): void => {
      if (isPending) inputLater(STORE_REPLY_MS, () => ({ kind: 'store', tag, reply }));
      isPending = false;
    };
    if (environment.state.down) environment.after(timeoutMs, () => respond({ kind: 'no-answer' }));
    environment.after(STORE_REQUEST_MS, () => environment.state.serve(name, request, respond));
  }

  private callCloud({ request, tag }: EffectOf<'cloud'>, inputLater: InputLater): void {
    this.environment.after(CLOUD_MS, () => {
      const reply = this.environment.cloud.serve(request);
      inputLater(CLOUD_MS, () => ({ kind: 'cloud', tag, reply }));
    });
  }

  private callWorker(effect: EffectOf<'probe'>, inputLater: InputLater): void {
    const { addr, tag, timeoutMs, fencingToken, agentEpoch } = effect;
    const worker = this.environment.workers.get(addr.slice(addr.indexOf(':') + 1));
    if (worker === undefined || !this.environment.isReachable(worker))
      return inputLater(timeoutMs, () => ({ kind: 'worker', tag, reply: { kind: 'no-answer' } }));
    this.environment.after(WORKER_MS, () =>
      worker.handleCommands(fencingToken, agentEpoch, [], (reply: WorkerReply) =>
        inputLater(WORKER_MS, () => ({ kind: 'worker', tag, reply })),
      ),
    );
  }
}

/** Settings of a controller of a fleet of this size. */
function fleetSettings(node: string, { machines, teams }: Setup): Settings {
  const zone = ZONES[1]!;
  const writesPerS = 40 + machines / 20;
  return {
    node: node as NodeId,
    zone,
    listen: '10.0.0.1:80',
    peerListen: '10.0.0.1:81',
    peers: NODES.filter((name) => name !== node).map((name) => ({
      node: name as NodeId,
      zone,
      addr: '10.0.0.2:81',
    })),
    cloudAddr: '10.0.0.9:1',
    storeAddr: '10.0.0.8:1',
    zones: ZONES,
    teams: Array.from({ length: teams }, (_, i) => ({
      name: teamName(i),
      cpus: 0,
      cpusMax: 0,
      // Every third team has a guarantee of accelerators; there are no other guarantees.
      gpus: i % 3 === 0 ? Math.round(machines / (4 * teams)) : 0,
      gpusMax: 0,
    })),
    objectives: OBJECTIVES,
    workers: {
      heartbeatS: HEARTBEAT_INTERVAL_MS / 1000,
      leaseS: LEASE_MS / 1000,
      gangWaitS: 35,
      gangPeerS: 6,
      cancelS: 49,
    },
    store: { requestsPerS: 100 + machines / 5, writesPerS, maxValueKb: 8, maxTransactionOps: 24 },
    currentWritesPerS: writesPerS,
    cloud: { requestsPerS: 8, listLagS: 2 },
    sockets: 10_000,
    ramMb: null,
  };
}
