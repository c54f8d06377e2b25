// Controllers that run in the memory of a simulated world: they start, end, know each other, tick, and are
// asked.
import type { SimulationClock } from '../../packages/local-cluster/src/clock.ts';
import type { Effect, Input } from '../../src/core/base/io.ts';
import type { HeartbeatResponse, UserResponse } from '../../src/core/base/model.ts';
import type { Controller } from '../../src/core/controller.ts';
import type { Instant, NodeId, WallTime } from '../../src/types/index.ts';

/** The wall clock at the beginning of a world, in milliseconds. */
export const WALL_CLOCK_START_MS = 1e9;
/** How often controllers tick. */
export const TICK_MS = 100;

/** The effect of a kind. */
export type EffectOf<K extends Effect['kind']> = Extract<Effect, { kind: K }>;

type Response = UserResponse | HeartbeatResponse;

/**
 * The controllers of one world, by name; what they are created with and how their effects are carried out is
 * the world's.
 */
export abstract class InMemoryControllers {
  readonly nodes = new Map<string, Controller>();
  /** How often each node was started or ended: what belongs to an earlier incarnation is void. */
  private readonly incarnations = new Map<string, number>();
  private readonly pendingResponses = new Map<number, (response: Response) => void>();
  private nextRequestId = 1;

  constructor(private readonly clock: SimulationClock) {}

  /** Creates a controller that is about to start. */
  protected abstract create(name: string, incarnation: number): Controller;

  /** Carries out what a controller sends, other than responses. */
  protected abstract carryOut(name: string, incarnation: number, effect: Effect): void;

  /** Is told of everything that a controller sends, before it is carried out. */
  protected observe(_name: string, _effect: Effect): void {}

  protected tickInput(_name: string): Input {
    return { kind: 'tick' };
  }

  protected tickIntervalMs(_name: string): number {
    return TICK_MS;
  }

  /** Starts a controller, connected to all others that run. */
  start(name: string): void {
    const incarnation = this.beginIncarnation(name);
    this.nodes.set(name, this.create(name, incarnation));
    for (const other of this.nodes.keys()) {
      if (other === name) continue;
      this.input(name, { kind: 'peer-up', node: other as NodeId });
      this.input(other, { kind: 'peer-up', node: name as NodeId });
    }
    const tick = (): void => {
      if (!this.isRunning(name, incarnation)) return;
      this.input(name, this.tickInput(name));
      this.clock.after(this.tickIntervalMs(name), tick);
    };
    tick();
  }

  /** Ends a controller at once. */
  crash(name: string): void {
    this.nodes.delete(name);
    this.beginIncarnation(name);
    for (const other of this.nodes.keys()) this.input(other, { kind: 'peer-down', node: name as NodeId });
  }

  /** Gives a controller an input and carries out what it answers with. */
  input(name: string, input: Input): void {
    const controller = this.nodes.get(name);
    if (controller === undefined) return;
    const incarnation = this.incarnations.get(name)!;
    const { now } = this.clock;
    const effects = controller.step(now as Instant, (WALL_CLOCK_START_MS + now) as WallTime, input);
    for (const effect of effects) {
      this.observe(name, effect);
      if (effect.kind === 'user-response' || effect.kind === 'heartbeat-response')
        this.respond(effect.requestId, effect.response);
      else this.carryOut(name, incarnation, effect);
    }
  }

  /** Gives a controller a request; `onResponse` gets what it responds with, if it does. */
  request(
    name: string,
    makeInput: (requestId: number) => Input,
    onResponse: (response: never) => void,
  ): void {
    const requestId = this.nextRequestId++;
    this.pendingResponses.set(requestId, onResponse as (response: Response) => void);
    this.input(name, makeInput(requestId));
  }

  /** Whether the node has run since that incarnation began. */
  protected isRunning(name: string, incarnation: number): boolean {
    return this.incarnations.get(name) === incarnation && this.nodes.has(name);
  }

  private beginIncarnation(name: string): number {
    const incarnation = (this.incarnations.get(name) ?? 0) + 1;
    this.incarnations.set(name, incarnation);
    return incarnation;
  }

  private respond(requestId: number, response: Response): void {
    const onResponse = this.pendingResponses.get(requestId);
    this.pendingResponses.delete(requestId);
    onResponse?.(response);
  }
}
