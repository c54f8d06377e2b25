// In-memory controllers of a simulated world: start and crash them, connect them to each other, and deliver
// ticks and requests.
import type { SimulationClock } from '../../packages/local-cluster/src/clock.ts';
import type { Effect, Input } from '../../src/core/base/io.ts';
import type { HeartbeatResponse, UserResponse } from '../../src/core/base/model.ts';
import type { Controller } from '../../src/core/controller.ts';
import type { Instant, NodeId, WallTime } from '../../src/types/index.ts';

/** Wall-clock time at the start of a simulated world, in milliseconds. */
export const WALL_CLOCK_START_MS = 1e9;
/** Interval between the ticks of a controller. */
export const TICK_MS = 100;

/** The effect type with kind `K`. */
export type EffectOf<K extends Effect['kind']> = Extract<Effect, { kind: K }>;

type Response = UserResponse | HeartbeatResponse;

/**
 * The controllers of one world, by name. Subclasses define how a controller is created and how its effects
 * are carried out.
 */
export abstract class InMemoryControllers {
  readonly nodes = new Map<string, Controller>();
  /** Starts and crashes of each node so far; replies and timers of an earlier incarnation are discarded. */
  private readonly incarnations = new Map<string, number>();
  private readonly pendingResponses = new Map<number, (response: Response) => void>();
  private nextRequestId = 1;

  constructor(private readonly clock: SimulationClock) {}

  /** Creates the controller for a node that is being started. */
  protected abstract create(name: string, incarnation: number): Controller;

  /** Carries out an effect other than a response. */
  protected abstract carryOut(name: string, incarnation: number, effect: Effect): void;

  /** Called with every effect, including responses, before it is carried out. */
  protected observe(_name: string, _effect: Effect): void {}

  protected tickInput(_name: string): Input {
    return { kind: 'tick' };
  }

  protected tickIntervalMs(_name: string): number {
    return TICK_MS;
  }

  /** Starts a controller and connects it to all running controllers. */
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

  /** Ends a controller without a shutdown. */
  crash(name: string): void {
    this.nodes.delete(name);
    this.beginIncarnation(name);
    for (const other of this.nodes.keys()) this.input(other, { kind: 'peer-down', node: name as NodeId });
  }

  /** Passes an input to a controller and carries out the resulting effects. */
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

  /** Passes a request to a controller; `onResponse` is called with the response, if there is one. */
  request(
    name: string,
    makeInput: (requestId: number) => Input,
    onResponse: (response: never) => void,
  ): void {
    const requestId = this.nextRequestId++;
    this.pendingResponses.set(requestId, onResponse as (response: Response) => void);
    this.input(name, makeInput(requestId));
  }

  /** Whether the node is still running in that incarnation. */
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
