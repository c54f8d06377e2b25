// The controllers of a simulated world: they start, crash and freeze, get their inputs, and have their
// effects carried out.
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
  WorkerReply,
} from '../../src/core/base/model.ts';
import { Controller } from '../../src/core/controller.ts';
import { seededRandom } from '../../src/runtime/random.ts';
import type { NodeId } from '../../src/types/index.ts';
import { type EffectOf, InMemoryControllers, TICK_MS } from './in-memory-controllers.ts';
import type { SimulatedNetwork } from './simulated-network.ts';
import { settings } from './simulated-settings.ts';

/** Gets everything that a controller sends, before it is delivered. */
export type EffectListener = (nowMs: number, node: string, effect: Effect) => void;

/** What a simulated world offers its controllers, and the faults that it has them meet. */
export interface ControllerEnvironment extends SimulationClock {
  readonly network: SimulatedNetwork;
  readonly state: FakeStore;
  readonly cloud: FakeCloud;
  readonly workers: ReadonlyMap<string, FakeWorker>;
  readonly nodeNames: readonly string[];
  readonly logs: string[];
  /** How many events the world has had so far, from which random generators get their seeds. */
  readonly eventCount: number;
  /** How long the key-value store takes beyond the network. */
  readonly stateSlowMs: number;
  /** Looks at what controllers send each other; false loses the message. */
  readonly tapPeer: ((message: PeerMessage) => boolean) | null;
  /** Nodes whose timers fire late, by so many milliseconds. */
  readonly slowTicks: ReadonlyMap<string, number>;
  /** The part of their memory that nodes use. */
  readonly memory: ReadonlyMap<string, number>;
  /** Nodes that greet others as versions before jobs with dependencies do. */
  readonly oldForm: ReadonlySet<string>;
}

const QUEUE_THRESHOLD = 2;
const HEARTBEAT_INTERVAL_S = 1;

type Hello = Extract<PeerMessage, { kind: 'hello' }>;

/** The greeting of a version that has none of the later features. */
const withoutLaterFeatures = (hello: Hello): Hello => ({
  ...hello,
  supportsDependencies: false,
  supportsForwarding: false,
  supportsConfigDocuments: false,
});

/** The controllers of one simulated world, by name. */
export class SimulatedControllers extends InMemoryControllers {
  /** Inputs that wait for frozen controllers. */
  private readonly frozen = new Map<string, Input[]>();

  constructor(
    private readonly environment: ControllerEnvironment,
    private readonly overrides: Partial<Settings>,
    private readonly onEffect: EffectListener | null,
  ) {
    super(environment);
  }

  override crash(name: string): void {
    this.frozen.delete(name);
    super.crash(name);
  }

  /** It does nothing from now on, and its links stay up; what comes waits for it. */
  freeze(name: string): void {
    if (!this.frozen.has(name)) this.frozen.set(name, []);
  }

  /** It goes on, with all that came while it was frozen. */
  thaw(name: string): void {
    const waiting = this.frozen.get(name) ?? [];
    this.frozen.delete(name);
    for (const input of waiting) this.input(name, input);
  }

  /** The controller that acts as the leader, if one does that is not frozen. */
  get leader(): string | undefined {
    for (const [name, controller] of this.nodes)
      if (!this.frozen.has(name) && controller.election.holdsLease) return name;
    return undefined;
  }

  override input(name: string, input: Input): void {
    const waiting = this.nodes.has(name) ? this.frozen.get(name) : undefined;
    if (waiting === undefined) super.input(name, input);
    else if (input.kind !== 'tick') waiting.push(input);
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
    return TICK_MS + (this.environment.slowTicks.get(name) ?? 0);
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
        environment.after(environment.stateSlowMs, () =>
          environment.state.serve(name, effect.request, respond),
        ),
      (reply) => onInput({ kind: 'store', tag: effect.tag, reply: reply ?? { kind: 'no-answer' } }),
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
    const { network, workers } = this.environment;
    const worker = [...workers.values()].find((candidate) => candidate.addr === effect.addr);
    network.call<WorkerReply>(
      name,
      worker?.id ?? '?',
      effect.timeoutMs,
      (respond) => worker?.orders(effect.fencingToken, effect.agentEpoch, [], respond),
      (reply) => onInput({ kind: 'worker', tag: effect.tag, reply: reply ?? { kind: 'no-answer' } }),
    );
  }

  private sendToPeer(name: string, { node, message }: EffectOf<'peer'>): void {
    const { network, tapPeer, oldForm } = this.environment;
    if (tapPeer?.(message) === false) return;
    network.send(name, node, () => {
      const isOldGreeting = message.kind === 'hello' && oldForm.has(name);
      // What is sent shares no memory with the sender.
      const sent = isOldGreeting ? withoutLaterFeatures(message) : structuredClone(message);
      this.input(node, { kind: 'peer', node: name as NodeId, message: sent });
    });
  }

  private log(name: string, { message, fields }: EffectOf<'log'>): void {
    const { logs, now } = this.environment;
    logs.push(`${(now / 1000).toFixed(2)} ${name} ${message} ${JSON.stringify(fields)}`);
  }
}
