// A small world in memory: key-value store, cloud, machines, users and controllers on one simulated clock,
// joined by a network that can delay, hold, drop and cut. It checks rules of placement while it runs.

import type { CloudEnvironment } from '../../packages/local-cluster/src/fake-cloud.ts';
import { FakeCloud } from '../../packages/local-cluster/src/fake-cloud.ts';
import { FakeStore } from '../../packages/local-cluster/src/fake-store.ts';
import type { RunningTask, WorkerEnvironment } from '../../packages/local-cluster/src/fake-worker.ts';
import { FakeWorker } from '../../packages/local-cluster/src/fake-worker.ts';
import type { Input } from '../../src/core/base/io.ts';
import type {
  ExitReason,
  Heartbeat,
  HeartbeatResponse,
  JobSpec,
  PeerMessage,
  Settings,
  StoreRequest,
  UserRequest,
  UserResponse,
} from '../../src/core/base/model.ts';
import { CONFIGURED_LEADER_KEY, LEADER_KEY } from '../../src/core/storage/keys.ts';
import type { JobId, MachineId, TaskId, TypeName, ZoneName } from '../../src/types/index.ts';
import { EventQueue } from './event-queue.ts';
import { PlacementCheck } from './placement-check.ts';
import type { RuleChecker } from './rule-checker.ts';
import {
  type ControllerEnvironment,
  type EffectListener,
  SimulatedControllers,
} from './simulated-controllers.ts';
import { type HeartbeatEnvironment, SimulatedHeartbeats } from './simulated-heartbeats.ts';
import { type CutMode, SimulatedNetwork } from './simulated-network.ts';
import { DEFAULT_NODE_NAMES, settings } from './simulated-settings.ts';
import { SimulatedTasks, type TaskEnvironment } from './simulated-tasks.ts';
import {
  type PendingAnswer,
  SimulatedUsers,
  type SubmittedJob,
  type UserEnvironment,
} from './simulated-users.ts';

export type { EffectListener } from './simulated-controllers.ts';
export { job, settings } from './simulated-settings.ts';

type Environment = CloudEnvironment &
  WorkerEnvironment &
  ControllerEnvironment &
  HeartbeatEnvironment &
  TaskEnvironment &
  UserEnvironment;

/** How often `until` looks at its condition, in a simulated second. */
const LOOKS_PER_S = 5;

const isLeaderKey = (key: string): boolean => key === LEADER_KEY || key === CONFIGURED_LEADER_KEY;

/** A cluster in memory: tests drive its clock, submit jobs, and have it meet faults. */
export class SimulatedWorld implements Environment {
  /** The simulated time, in milliseconds. */
  now = 0;

  readonly state = new FakeStore(this);
  readonly cloud = new FakeCloud(this);
  readonly workers = new Map<string, FakeWorker>();
  readonly nodeNames: readonly string[];
  /** Jobs that users have submitted. */
  readonly jobs = new Map<string, SubmittedJob>();
  /** A line for each rule that a start of a task has broken. */
  readonly broken: string[] = [];
  /** What controllers have logged. */
  readonly logs: string[] = [];

  // Timing of machines and tasks.

  leaseMs = 10_000;
  /** How often machines send heartbeats when nothing changes. */
  reportMs = 1000;
  /** How long tasks run, in seconds. */
  runS = 5;
  /** How long the tasks of a job run, if not `runS`. */
  readonly runOf = new Map<string, number>();
  readonly endsAt = new Map<string, number>();
  /** Whether machines begin at all nodes in turn, rather than at the first. */
  spread = true;

  // Listeners.

  /** Is told of what happens, to check it against the users' rules; see rule-checker.ts. */
  rules: RuleChecker | null = null;
  /** Is told of every task that ends by itself. */
  onEnd: ((task: TaskId) => void) | null = null;
  /** Is told of every response to a user. */
  onTold: ((response: UserResponse) => void) | null = null;

  // Faults.

  /** Machines that reach no controller, while direct commands reach them. */
  readonly mute = new Set<string>();
  keepReport: (() => boolean) | null = null;
  /** Milliseconds from the beginning of a term until heartbeats that were kept arrive. */
  keptMs = 150;
  copyMs: (() => number | null) | null = null;
  stateSlowMs = 0;
  tapPeer: ((message: PeerMessage) => boolean) | null = null;
  readonly slowTicks = new Map<string, number>();
  readonly memory = new Map<string, number>();
  readonly oldForm = new Set<string>();

  readonly network = new SimulatedNetwork(this);
  /** Machines whose heartbeats arrive, while responses and direct commands to them are lost. */
  readonly deaf = this.network.unreachable;
  /** Machines to which everything is held up for so long. */
  readonly heldUpMs = this.network.extraLatencyMs;
  readonly controllers: SimulatedControllers;
  readonly nodes: SimulatedControllers['nodes'];
  private readonly events = new EventQueue();
  private readonly users = new SimulatedUsers(this);
  private readonly heartbeats: SimulatedHeartbeats;
  private readonly tasks: SimulatedTasks;
  private readonly placementCheck = new PlacementCheck(this);

  /** Starts the controllers `names`, with settings that differ from the usual ones by `over`. */
  constructor(
    over: Partial<Settings> = {},
    names: readonly string[] = DEFAULT_NODE_NAMES,
    onEffect: EffectListener | null = null,
  ) {
    this.nodeNames = names.length > DEFAULT_NODE_NAMES.length ? names : DEFAULT_NODE_NAMES;
    this.controllers = new SimulatedControllers(this, over, onEffect);
    this.nodes = this.controllers.nodes;
    this.heartbeats = new SimulatedHeartbeats(this);
    this.tasks = new SimulatedTasks(this, settings('node-0', over).workers);
    this.state.onChange = (change) => {
      if ('key' in change && isLeaderKey(change.key) && change.kept !== null)
        this.after(this.keptMs, () => this.heartbeats.deliverKept());
    };
    for (const name of names) this.start(name);
  }

  // ---- time

  /** Has something happen at a simulated time. */
  at(ms: number, run: () => void): void {
    this.events.add(ms, run);
  }

  /** Has something happen so many milliseconds from now. */
  after(ms: number, run: () => void): void {
    this.at(this.now + ms, run);
  }

  /** Lets simulated time pass. */
  run(seconds: number): void {
    const end = this.now + seconds * 1000;
    for (let event = this.events.next(end); event !== null; event = this.events.next(end)) {
      this.now = Math.max(this.now, event.at);
      event.run();
    }
    this.now = end;
  }

  /** Lets time pass until the condition holds, or for so many seconds; returns whether it holds. */
  until(condition: () => boolean, seconds = 120): boolean {
    for (let i = 0; i < seconds * LOOKS_PER_S && !condition(); i++) this.run(1 / LOOKS_PER_S);
    return condition();
  }

  get eventCount(): number {
    return this.events.n;
  }

  // ---- network

  /** Cuts the link between two ends: nodes, machines, `state` and `cloud`. */
  cut(a: string, b: string, mode: CutMode): void {
    this.network.cut(a, b, mode);
  }

  /** Mends the link between two ends. */
  heal(a: string, b: string): void {
    this.network.heal(a, b);
  }

  /** Whether the link between two ends is cut. */
  isCut(a: string, b: string): boolean {
    return this.network.isCut(a, b);
  }

  // ---- controllers

  /** Starts a controller. */
  start(name: string): void {
    this.controllers.start(name);
  }

  /** Ends a controller at once. */
  crash(name: string): void {
    this.controllers.crash(name);
  }

  /** It does nothing from now on, and its links stay up; what comes waits for it. */
  freeze(name: string): void {
    this.controllers.freeze(name);
  }

  /** It goes on, with all that came while it was frozen. */
  thaw(name: string): void {
    this.controllers.thaw(name);
  }

  /** Who leads by the key-value store, under the key of shards with configuration documents or without. */
  get ownerOnRecord(): { node: string; term: number } | null {
    for (const key of [CONFIGURED_LEADER_KEY, LEADER_KEY]) {
      const entry = this.state.keys.get(key);
      const node = (entry?.value as { node?: string } | undefined)?.node;
      if (entry !== undefined && node !== undefined) return { node, term: entry.revision };
    }
    return null;
  }

  /** The controller that acts as the leader. */
  get owner(): string | undefined {
    return this.controllers.leader;
  }

  /** Gives a controller an input. */
  input(name: string, input: Input): void {
    this.controllers.input(name, input);
  }

  /** Gives a controller a request, and `onResponse` what it responds with. */
  request(
    name: string,
    makeInput: (requestId: number) => Input,
    onResponse: (response: never) => void,
  ): void {
    this.controllers.request(name, makeInput, onResponse);
  }

  /** Whether the key-value store says that the job is done. */
  doneOnRecord(id: string): boolean {
    return (this.state.keys.get(`f/${id}`)?.value as { s?: string } | undefined)?.s === 'done';
  }

  /** How many requests of a kind the key-value store has served. */
  stateOps(kind: StoreRequest['kind']): number {
    return this.state.served.filter((request) => request.kind === kind).length;
  }

  // ---- users

  /** Sends a request to a node, once. */
  ask(name: string, request: UserRequest): PendingAnswer {
    return this.users.ask(name, request);
  }

  /** Asks until it is answered with something else than to come back later. */
  insist(request: UserRequest, node = 'node-0', attempts = 30): UserResponse | null {
    return this.users.insist(request, node, attempts);
  }

  /** Submits a job, until it is answered. */
  submit(spec: JobSpec, node = 'node-0'): UserResponse | null {
    return this.insist({ op: 'submit', spec }, node);
  }

  /** Asks for the status of a job, until it is answered. */
  status(id: string, node = 'node-0'): UserResponse | null {
    return this.insist({ op: 'status', id: id as JobId }, node);
  }

  /** Whether a node says that the job is done. */
  isDone(id: string, node = 'node-0'): boolean {
    const response = this.status(id, node);
    return response?.kind === 'ended' && response.status === 'done';
  }

  // ---- machines

  /** A machine that the cloud rents out. */
  machine(id: string, type: TypeName, zone: ZoneName, spot: boolean): FakeWorker {
    const firstNode = this.spread ? this.workers.size % this.nodeNames.length : 0;
    const worker = new FakeWorker({
      environment: this,
      id: id as MachineId,
      type,
      zone,
      spot,
      target: firstNode,
    });
    this.workers.set(id, worker);
    return worker;
  }

  sendReport(
    worker: FakeWorker,
    node: string,
    heartbeat: Heartbeat,
    timeoutMs: number,
    onReply: (response: HeartbeatResponse | null) => void,
  ): void {
    this.heartbeats.send(worker, node, heartbeat, timeoutMs, onReply);
  }

  /** A copy of a heartbeat reaches a node; nobody waits for the response. */
  deliver(node: string, heartbeat: Heartbeat): void {
    this.heartbeats.deliver(node, heartbeat);
  }

  /** Copies of heartbeats that arrived after a newer one of the machine. */
  get oldCopies(): number {
    return this.heartbeats.outdatedCopies;
  }

  /** Kept heartbeats that were older than the machine's last, as they arrived. */
  get keptDelivered(): number {
    return this.heartbeats.outdatedKept;
  }

  launch(
    _worker: FakeWorker,
    task: TaskId,
    attempt: number,
    onExit: (reason: ExitReason) => void,
    onState: (state: 'waiting' | 'running') => void,
  ): RunningTask {
    return this.tasks.launch(task, attempt, onExit, onState);
  }

  gone(): void {}

  placed(worker: FakeWorker, task: TaskId): void {
    this.rules?.placing(this.now, task, worker);
    this.placementCheck.check(worker, task);
  }

  /** Machines that hold a task of the job, in any state but exited. */
  holders(id: string): string[] {
    return [...this.workers.values()]
      .filter((worker) => worker.live().some((running) => running.job === id))
      .map((worker) => worker.id);
  }
}
