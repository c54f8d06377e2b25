// Runs the controllers of a simulated world: starts, crashes and freezes them, delivers their inputs and
// carries out their effects.
import type { SimulationClock } from '../../packages/local-cluster/src/clock.ts';
import type { FakeCloud } from '../../packages/local-cluster/src/fake-cloud.ts';
import type { FakeStore } from '../../packages/local-cluster/src/fake-store.ts';
import type { FakeWorker } from '../../packages/local-cluster/src/fake-worker.ts';
import { defaults, schedulerOptions } from '../../src/cli/options.ts';
import type { Effect, Input } from '../../src/core/base/io.ts';
import type {
  CloudReply,
  PeerMessage,
  Settings,
  StoreReply,
  StoreRequest,
  WorkerReply,
} from '../../src/core/base/model.ts';
import { Controller } from '../../src/core/controller.ts';
import { seededRandom } from '../../src/runtime/random.ts';
import { stringifyJson } from '../../src/types/exact-json.ts';
import type { NodeId } from '../../src/types/index.ts';
import { type EffectOf, InMemoryControllers, TICK_MS } from './in-memory-controllers.ts';
import type { SimulatedNetwork } from './simulated-network.ts';
import { settings } from './simulated-settings.ts';
import type { Transport } from './transport.ts';

/** Receives every effect of a controller before it is carried out. */
export type EffectListener = (nowMs: number, node: string, effect: Effect) => void;

/** The parts of a simulated world that controllers use, and the faults that affect them. */
export interface ControllerEnvironment extends SimulationClock {
  readonly network: SimulatedNetwork;
  readonly state: FakeStore;
  readonly cloud: FakeCloud;
  readonly workers: ReadonlyMap<string, FakeWorker>;
  readonly nodeNames: readonly string[];
  readonly logs: string[];
  /** Number of events added to the world's queue so far, used to seed random generators. */
  readonly eventCount: number;
  /** Processing delay of the key-value store, in addition to network latency. */
  readonly storeDelayMs: number;
  /** Inspects each message between controllers; the message is dropped if it returns false. */
  readonly filterPeerMessage: ((message: PeerMessage) => boolean) | null;
  /** Additional milliseconds between the ticks of a node, by node. */
  readonly tickDelaysMs: ReadonlyMap<string, number>;
  /** Fraction of its memory that a node uses, by node. */
  readonly memory: ReadonlyMap<string, number>;
  /** Nodes whose `hello` message is that of a version without support for job dependencies. */
  readonly oldVersionNodes: ReadonlySet<string>;
  readonly transport: Transport;
}

const QUEUE_THRESHOLD = 2;
const HEARTBEAT_INTERVAL_S = 1;

type Hello = Extract<PeerMessage, { kind: 'hello' }>;

/** The `hello` message of a version that supports none of the features announced in it. */
const withoutLaterFeatures = (hello: Hello): Hello => ({
  ...hello,
  supportsDependencies: false,
  supportsForwarding: false,
  supportsConfigDocuments: false,
});

/** The controllers of one simulated world, by name. */
export class SimulatedControllers extends InMemoryControllers {
  /** Queued inputs of each frozen controller. */
  private readonly queuedInputsByFrozenNode = new Map<string, Input[]>();

  constructor(
    private readonly environment: ControllerEnvironment,
    private readonly overrides: Partial<Settings>,
    private readonly onEffect: EffectListener | null,
  ) {
    super(environment);
  }

  override crash(name: string): void {
    this.queuedInputsByFrozenNode.delete(name);
    super.crash(name);
  }

  /** Suspends a controller: its links stay up, and its inputs other than ticks are queued. */
  freeze(name: string): void {
    if (!this.queuedInputsByFrozenNode.has(name)) this.queuedInputsByFrozenNode.set(name, []);
  }

  /** Resumes a controller and delivers the inputs that were queued while it was frozen. */
  thaw(name: string): void {
    const queuedInputs = this.queuedInputsByFrozenNode.get(name) ?? [];
    this.queuedInputsByFrozenNode.delete(name);
    for (const input of queuedInputs) this.input(name, input);
  }

  /** The controller that is not frozen and holds the leader's lease, if there is one. */
  get leader(): string | undefined {
    for (const [name, controller] of this.nodes)
      if (!this.queuedInputsByFrozenNode.has(name) && controller.election.holdsLease) return name;
    return undefined;
  }

  override input(name: string, input: Input): void {
    const queuedInputs = this.nodes.has(name) ? this.queuedInputsByFrozenNode.get(name) : undefined;
    if (queuedInputs === undefined) super.input(name, input);
    else if (input.kind !== 'tick') queuedInputs.push(input);
  }

  protected create(name: string): Controller {
    const { environment } = this;
    return new Controller(
      settings(name, this.overrides, environment.nodeNames),
      { ...schedulerOptions(defaults(), HEARTBEAT_INTERVAL_S), threshold: QUEUE_THRESHOLD },
      seededRandom(name.length + environment.eventCount),
    );
  }

  protected override tickInput(name: string): Input {
    return { kind: 'tick', memory: this.environment.memory.get(name) ?? 0 };
  }

  protected override tickIntervalMs(name: string): number {
    return TICK_MS + (this.environment.tickDelaysMs.get(name) ?? 0);
  }

  protected override observe(name: string, effect: Effect): void {
    this.onEffect?.(this.environment.now, name, effect);
  }

  protected carryOut(name: string, incarnation: number, effect: Effect): void {
    const inputIfRunning = (input: Input): void => {
      if (this.isRunning(name, incarnation)) this.input(name, input);
    };
    switch (effect.kind) {
      case 'store':
        return this.callStore(name, effect, inputIfRunning);
      case 'cloud':
        return this.callCloud(name, effect, inputIfRunning);
      case 'probe':
        return this.callWorker(name, effect, inputIfRunning);
      case 'peer':
        return this.sendToPeer(name, effect);
      case 'log':
        return this.log(name, effect);
    }
  }

  private callStore(name: string, effect: EffectOf<'store'>, onInput: (input: Input) => void): void {
    const { environment } = this;
    environment.network.call<StoreReply>(
      name,
      'state',
      effect.timeoutMs,
      (respond) =>
        environment.after(environment.storeDelayMs, () => this.serveStore(name, effect.request, respond)),
      (reply) => onInput({ kind: 'store', tag: effect.tag, reply: reply ?? { kind: 'no-answer' } }),
    );
  }

  private serveStore(name: string, request: StoreRequest, respond: (reply: StoreReply) => void): void {
    const { state, transport } = this.environment;
    state.serve(name, transport.storeRequest(request), (reply) =>
      respond(transport.storeReply(request, reply, state.revision)),
    );
  }

  private callCloud(name: string, effect: EffectOf<'cloud'>, onInput: (input: Input) => void): void {
    const { network, cloud } = this.environment;
    network.call<CloudReply>(
      name,
      'cloud',
      effect.timeoutMs,
      (respond) => respond(cloud.serve(effect.request)),
      (reply) => onInput({ kind: 'cloud', tag: effect.tag, reply: reply ?? { kind: 'no-answer' } }),
    );
  }

  private callWorker(name: string, effect: EffectOf<'probe'>, onInput: (input: Input) => void): void {
    const { network, workers, transport } = this.environment;
    const { fencingToken, agentEpoch } = transport.probe(effect);
    const worker = [...workers.values()].find((candidate) => candidate.addr === effect.addr);
    network.call<WorkerReply>(
      name,
      worker?.id ?? '?',
      effect.timeoutMs,
      (respond) =>
        worker?.handleCommands(fencingToken, agentEpoch, [], (reply) => respond(transport.probeReply(reply))),
      (reply) => onInput({ kind: 'worker', tag: effect.tag, reply: reply ?? { kind: 'no-answer' } }),
    );
  }

  private sendToPeer(name: string, { node, message }: EffectOf<'peer'>): void {
    const { network, filterPeerMessage, oldVersionNodes, transport } = this.environment;
    if (filterPeerMessage?.(message) === false) return;
    network.send(name, node, () => {
      const isOldHello = message.kind === 'hello' && oldVersionNodes.has(name);
      const sent = isOldHello ? withoutLaterFeatures(message) : message;
      const received = transport.peerMessage(sent);
      this.input(node, { kind: 'peer', node: name as NodeId, message: received });
    });
  }

  private log(name: string, { message, fields }: EffectOf<'log'>): void {
    const { logs, now } = this.environment;
    logs.push(`${(now / 1000).toFixed(2)} ${name} ${message} ${stringifyJson(fields)}`);
  }
}
