// In-memory simulation of a whole cluster: key-value store, cloud, machines, users and controllers share one
// simulated clock and a network that can delay, hold back and drop messages. Every task start is checked
// against the placement rules.

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
import type { JobId, MachineId, MachineTypeName, Revision, TaskId, ZoneName } from '../../src/types/index.ts';
import type { Uint64 } from '../../src/types/uint64.ts';
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
  type PendingResponse,
  SimulatedUsers,
  type SubmittedJob,
  type UserEnvironment,
} from './simulated-users.ts';
import { objectTransport, type Transport } from './transport.ts';

export type { EffectListener } from './simulated-controllers.ts';
export { job, settings } from './simulated-settings.ts';

type Environment = CloudEnvironment &
  WorkerEnvironment &
  ControllerEnvironment &
  HeartbeatEnvironment &
  TaskEnvironment &
  UserEnvironment;

/** How often `until` checks its condition in a simulated second. */
const CHECKS_PER_S = 5;

const isLeaderKey = (key: string): boolean => key === LEADER_KEY || key === CONFIGURED_LEADER_KEY;

/** A simulated cluster; tests advance its clock, submit jobs and inject faults. */
export class SimulatedWorld implements Environment {
  /** The simulated time, in milliseconds. */
  now = 0;

  readonly state = new FakeStore(this);
  readonly cloud = new FakeCloud(this);
  readonly workers = new Map<string, FakeWorker>();
  readonly nodeNames: readonly string[];
  /** Jobs that users have submitted. */
  readonly jobs = new Map<string, SubmittedJob>();
  /** One line for each rule that a task start has violated. */
  readonly violations: string[] = [];
  /** Log lines of all controllers. */
  readonly logs: string[] = [];

  // Timing of machines and tasks.

  leaseMs = 10_000;
  /** Interval between the heartbeats of a machine when its state does not change. */
  reportMs = 1000;
  /** Default run time of tasks, in seconds. */
  runS = 5;
  /** Run time of the tasks of a job in seconds, by job, where it differs from `runS`. */
  readonly runSByJob = new Map<string, number>();
  readonly endsAt = new Map<string, number>();
  /** Whether new machines connect to the nodes in turn, instead of all to the first one. */
  connectsRoundRobin = true;

  // Listeners.

  /** Receives the events of the world to check them against the users' rules; see rule-checker.ts. */
  rules: RuleChecker | null = null;
  /** Called for every task that completes. */
  onTaskDone: ((task: TaskId) => void) | null = null;
  /** Called for every response to a user. */
  onUserResponse: ((response: UserResponse) => void) | null = null;

  // Faults.

  /** Machines whose heartbeats reach no controller, while direct commands still reach them. */
  readonly silencedMachines = new Set<string>();
  shouldKeepHeartbeat: (() => boolean) | null = null;
  /** Delay from the start of a leader's term until kept heartbeats are delivered, in milliseconds. */
  keptHeartbeatDelayMs = 150;
  heartbeatCopyDelayMs: (() => number | null) | null = null;
  storeDelayMs = 0;
  filterPeerMessage: ((message: PeerMessage) => boolean) | null = null;
  readonly tickDelaysMs = new Map<string, number>();
  readonly memory = new Map<string, number>();
  readonly oldVersionNodes = new Set<string>();

  /** How messages pass between controllers, store and machines. */
  transport: Transport = objectTransport;
  readonly network = new SimulatedNetwork(this);
  /** Machines whose heartbeats arrive, while responses and direct commands to them are lost. */
  readonly unreachableMachines = this.network.unreachable;
  /** Additional latency of all messages to a machine, in milliseconds. */
  readonly extraLatencyMs = this.network.extraLatencyMs;
  readonly controllers: SimulatedControllers;
  readonly nodes: SimulatedControllers['nodes'];
  private readonly events = new EventQueue();
  private readonly users = new SimulatedUsers(this);
  private readonly heartbeats: SimulatedHeartbeats;
  private readonly tasks: SimulatedTasks;
  private readonly placementCheck = new PlacementCheck(this);

  /** Starts the controllers `names`; `overrides` replace their default settings. */
  constructor(
    overrides: Partial<Settings> = {},
    names: readonly string[] = DEFAULT_NODE_NAMES,
    onEffect: EffectListener | null = null,
  ) {
    this.nodeNames = names.length > DEFAULT_NODE_NAMES.length ? names : DEFAULT_NODE_NAMES;
    this.controllers = new SimulatedControllers(this, overrides, onEffect);
    this.nodes = this.controllers.nodes;
    this.heartbeats = new SimulatedHeartbeats(this);
    this.tasks = new SimulatedTasks(this, settings('node-0', overrides).workers);
    this.state.onChange = (change) => {
      if ('key' in change && isLeaderKey(change.key) && change.entry !== null)
        this.after(this.keptHeartbeatDelayMs, () => this.heartbeats.deliverKept());
    };
    for (const name of names) this.start(name);
  }

  // ---- time

  /** Schedules an action at a simulated time. */
  at(ms: number, run: () => void): void {
    this.events.add(ms, run);
  }

  /** Schedules an action `ms` milliseconds from now. */
  after(ms: number, run: () => void): void {
    this.at(this.now + ms, run);
  }

  /** Advances simulated time and runs the events that are due. */
  run(seconds: number): void {
    const end = this.now + seconds * 1000;
    for (let event = this.events.next(end); event !== null; event = this.events.next(end)) {
      this.now = Math.max(this.now, event.at);
      event.run();
    }
    this.now = end;
  }

  /** Advances time until the condition holds, at most for `seconds`; returns whether it holds. */
  until(condition: () => boolean, seconds = 120): boolean {
    for (let i = 0; i < seconds * CHECKS_PER_S && !condition(); i++) this.run(1 / CHECKS_PER_S);
    return condition();
  }

  get eventCount(): number {
    return this.events.eventCount;
  }

  // ---- network

  /** Cuts the link between two endpoints: nodes, machines, `state` or `cloud`. */
  cut(endpointA: string, endpointB: string, mode: CutMode): void {
    this.network.cut(endpointA, endpointB, mode);
  }

  /** Restores the link between two endpoints and delivers the messages that were held back on it. */
  heal(endpointA: string, endpointB: string): void {
    this.network.heal(endpointA, endpointB);
  }

  /** Whether the link between two endpoints is cut. */
  isCut(endpointA: string, endpointB: string): boolean {
    return this.network.isCut(endpointA, endpointB);
  }

  // ---- controllers

  /** Starts a controller. */
  start(name: string): void {
    this.controllers.start(name);
  }

  /** Ends a controller without a shutdown. */
  crash(name: string): void {
    this.controllers.crash(name);
  }

  /** Suspends a controller: its links stay up, and its inputs other than ticks are queued. */
  freeze(name: string): void {
    this.controllers.freeze(name);
  }

  /** Resumes a controller and delivers the inputs that were queued while it was frozen. */
  thaw(name: string): void {
    this.controllers.thaw(name);
  }

  /**
   * The leader and its term as recorded in the key-value store, under the leader key for shards with
   * configuration documents or the one for shards without.
   */
  get recordedLeader(): { node: string; term: Revision } | null {
    for (const key of [CONFIGURED_LEADER_KEY, LEADER_KEY]) {
      const entry = this.state.entries.get(key);
      const node = (entry?.value as { node?: string } | undefined)?.node;
      if (entry !== undefined && node !== undefined) return { node, term: entry.revision };
    }
    return null;
  }

  /** The controller that holds the leader's lease, if there is one. */
  get leader(): string | undefined {
    return this.controllers.leader;
  }

  /** Passes an input to a controller. */
  input(name: string, input: Input): void {
    this.controllers.input(name, input);
  }

  /** Passes a request to a controller; `onResponse` is called with the response. */
  request(
    name: string,
    makeInput: (requestId: number) => Input,
    onResponse: (response: never) => void,
  ): void {
    this.controllers.request(name, makeInput, onResponse);
  }

  /** Whether the key-value store records the job as done. */
  isDoneInStore(id: string): boolean {
    return (this.state.entries.get(`f/${id}`)?.value as { s?: string } | undefined)?.s === 'done';
  }

  /** Number of requests of a kind that the key-value store has served. */
  storeRequestCount(kind: StoreRequest['kind']): number {
    return this.state.executedRequests.filter((request) => request.kind === kind).length;
  }

  // ---- users

  /** Sends a request to a node, without retries. */
  sendRequest(name: string, request: UserRequest): PendingResponse {
    return this.users.sendRequest(name, request);
  }

  /** Repeats a request until the response is not `retry`; returns null if all attempts fail. */
  requestUntilAnswered(request: UserRequest, node = 'node-0', attempts = 30): UserResponse | null {
    return this.users.requestUntilAnswered(request, node, attempts);
  }

  /** Submits a job, with retries until there is a response. */
  submit(spec: JobSpec, node = 'node-0'): UserResponse | null {
    return this.requestUntilAnswered({ op: 'submit', spec }, node);
  }

  /** Requests the status of a job, with retries until there is a response. */
  status(id: string, node = 'node-0'): UserResponse | null {
    return this.requestUntilAnswered({ op: 'status', id: id as JobId }, node);
  }

  /** Whether a node reports the job as done. */
  isDone(id: string, node = 'node-0'): boolean {
    const response = this.status(id, node);
    return response?.kind === 'ended' && response.status === 'done';
  }

  // ---- machines

  /** Creates a machine that the cloud has provided. */
  createMachine(id: string, type: MachineTypeName, zone: ZoneName, spot: boolean): FakeWorker {
    const firstNodeIndex = this.connectsRoundRobin ? this.workers.size % this.nodeNames.length : 0;
    const worker = new FakeWorker({
      environment: this,
      id: id as MachineId,
      type,
      zone,
      spot,
      firstNodeIndex,
    });
    this.workers.set(id, worker);
    return worker;
  }

  sendHeartbeat(
    worker: FakeWorker,
    node: string,
    heartbeat: Heartbeat,
    timeoutMs: number,
    onReply: (response: HeartbeatResponse | null) => void,
  ): void {
    this.heartbeats.send(worker, node, heartbeat, timeoutMs, onReply);
  }

  /** Delivers a duplicate of a heartbeat to a node and discards the response. */
  deliver(node: string, heartbeat: Heartbeat): void {
    this.heartbeats.deliver(node, heartbeat);
  }

  /** Duplicated heartbeats that were delivered after the machine had sent a newer one. */
  get outdatedHeartbeatCopies(): number {
    return this.heartbeats.outdatedCopyCount;
  }

  /** Kept heartbeats that were delivered after the machine had sent a newer one. */
  get outdatedKeptHeartbeats(): number {
    return this.heartbeats.outdatedKeptCount;
  }

  launch(
    _worker: FakeWorker,
    task: TaskId,
    attempt: Uint64,
    onExit: (reason: ExitReason) => void,
    onState: (state: 'waiting' | 'running') => void,
  ): RunningTask {
    return this.tasks.launch(task, attempt, onExit, onState);
  }

  onMachineTerminated(): void {}

  onTaskPlaced(worker: FakeWorker, task: TaskId): void {
    this.rules?.onTaskStart(this.now, task, worker);
    this.placementCheck.check(worker, task);
  }

  /** Machines with a task of the job in any state but exited. */
  machinesRunning(id: string): string[] {
    return [...this.workers.values()]
      .filter((worker) => worker.activeTasks().some((running) => running.job === id))
      .map((worker) => worker.id);
  }
}
