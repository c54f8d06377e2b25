// The worker's side of the worker protocol: heartbeats, fencing tokens, the lease, agent epochs and commands.
// The environment runs its tasks and may check their placement.
import type {
  Command,
  Heartbeat,
  HeartbeatResponse,
  ListedMachine,
  WorkerReply,
} from '../../../src/core/base/model.ts';
import type { FencingToken, MachineId, MachineTypeName, ZoneName } from '../../../src/types/index.ts';
import { successor, type Uint64 } from '../../../src/types/uint64.ts';
import type { EnvironmentOf } from './worker-environment.ts';
import { type StopCommand, type TaskOwner, type WorkerTask, WorkerTasks } from './worker-tasks.ts';

export type { RunningTask, TaskProgress } from './worker-environment.ts';

/** The environment of a {@link FakeWorker}. */
export type WorkerEnvironment = EnvironmentOf<FakeWorker>;

/** How long a worker waits for the response to a heartbeat. */
const RESPONSE_TIMEOUT_MS = 4000;
/**
 * Commands in a response that took longer are counted as late: without a fault a machine with tasks gets its
 * response at once.
 */
const LATE_RESPONSE_MS = 1000;
/** Delay before a worker tries the next node. */
const NEXT_NODE_DELAY_MS = 1000;
/** Minimum time from the last heartbeat to one that reports a change. */
const MIN_CHANGE_REPORT_INTERVAL_MS = 500;

/** A heartbeat that was sent and has no response yet. */
interface SentHeartbeat {
  readonly number: number;
  readonly agentEpoch: Uint64;
  readonly sentAt: number;
}

/** Constructor arguments of {@link FakeWorker}. */
export interface FakeWorkerInit {
  environment: WorkerEnvironment;
  id: MachineId;
  type: MachineTypeName;
  zone: ZoneName;
  spot: boolean;
  /** Index in `nodeNames` of the node that gets its first heartbeat. */
  firstNodeIndex: number;
}

/** A simulated machine and the agent on it. Times are in milliseconds. */
export class FakeWorker implements TaskOwner {
  addr: string;
  /** The agent epoch. */
  agentEpoch: Uint64 = 1;
  /** Sequence number of the last heartbeat. */
  seq: Uint64 = 0;
  /** The newest fencing token that it has received. */
  fencingToken = 0 as FencingToken;
  /** Whether the machine has booted. */
  up = false;
  /** When it booted. */
  upSince = Number.NEGATIVE_INFINITY;
  /** Whether the machine was terminated. */
  isTerminated = false;
  /** Remaining seconds reported as its preemption notice; null without one. */
  preemptionNoticeS: number | null = null;
  /** Number of tasks that it killed because its lease had expired. */
  lostByLease = 0;
  /** How often it switched to another node, by a redirect or after a missing response. */
  moves = 0;
  /** Number of commands executed more than `LATE_RESPONSE_MS` after the heartbeat that they respond to. */
  lateCommands = 0;
  private readonly createdAt: number;
  private readonly workerTasks: WorkerTasks<FakeWorker>;
  private isAwaitingResponse = false;
  /** Send time of the heartbeat whose response last renewed the lease. */
  private leaseRenewedAt = 0;
  private heartbeatNumber = 0;
  private hasUnreportedChanges = false;
  private lastHeartbeatAt = 0;
  private timerDueAt = Number.POSITIVE_INFINITY;
  private isHanging = false;
  /** Responses received while the agent hung; they are handled when it resumes. */
  private readonly unreadResponses: (() => void)[] = [];
  private readonly environment: WorkerEnvironment;
  readonly id: MachineId;
  readonly type: MachineTypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  private nodeIndex: number;

  constructor(init: FakeWorkerInit) {
    this.environment = init.environment;
    this.id = init.id;
    this.type = init.type;
    this.zone = init.zone;
    this.spot = init.spot;
    this.nodeIndex = init.firstNodeIndex;
    const { environment, id } = init;
    this.addr = `10.1.0.1:${id}`;
    this.createdAt = environment.now;
    this.workerTasks = new WorkerTasks<FakeWorker>(environment, this);
  }

  // ---- state

  /** Its tasks, by `TASK@ATTEMPT`. */
  get tasks(): Map<string, WorkerTask> {
    return this.workerTasks.tasks;
  }

  /** Tasks that it has completed. */
  get completedTasks(): Set<string> {
    return this.workerTasks.completedTasks;
  }

  /** Number of tasks that were started. */
  get starts(): number {
    return this.workerTasks.starts;
  }

  /** Stop commands received for tasks that had not ended. */
  get stopCommands(): StopCommand[] {
    return this.workerTasks.stopCommands;
  }

  /** Whether every task that is started here fails at once. */
  get faulty(): boolean {
    return this.workerTasks.faulty;
  }

  set faulty(faulty: boolean) {
    this.workerTasks.faulty = faulty;
  }

  /** Tasks that have not ended. */
  activeTasks(): WorkerTask[] {
    return this.workerTasks.activeTasks();
  }

  /** Its entry in the cloud's list of machines. */
  listed(now: number): ListedMachine {
    return {
      id: this.id,
      addr: this.addr,
      type: this.type,
      zone: this.zone,
      spot: this.spot,
      status: this.up ? 'running' : 'booting',
      ageS: Math.max(1, (now - this.createdAt) / 1000),
    };
  }

  /** Name of the node that it sends heartbeats to. */
  get node(): string {
    return this.environment.nodeNames[this.nodeIndex]!;
  }

  /**
   * Whether its tasks count as ended: it was terminated, or its lease has expired, even if the agent hangs.
   */
  get isTerminatedOrExpired(): boolean {
    return this.isTerminated || this.isLeaseExpired();
  }

  /** When its lease expires unless a further response renews it. */
  get leaseEndsAt(): number {
    return this.leaseRenewedAt + this.environment.leaseMs;
  }

  // ---- the machine

  /** Starts the agent: the machine has booted. */
  boot(): void {
    if (this.isTerminated) return;
    this.up = true;
    this.upSince = this.environment.now;
    this.leaseRenewedAt = this.environment.now;
    this.runDueActions();
  }

  /** Terminates the machine with all its tasks. */
  terminate(): void {
    if (this.isTerminated) return;
    this.isTerminated = true;
    this.workerTasks.clear();
    this.environment.onMachineTerminated(this);
  }

  /** Suspends the agent for `ms`; it then resumes as if no time had passed. */
  hang(ms: number): void {
    this.isHanging = true;
    this.environment.after(ms, () => {
      this.isHanging = false;
      for (const readResponse of this.unreadResponses.splice(0)) readResponse();
      this.runDueActions();
    });
  }

  /**
   * Restarts the machine without downtime: its tasks are lost, and epoch, sequence number and token start
   * over.
   */
  restart(): void {
    this.workerTasks.clear();
    this.completedTasks.clear();
    this.agentEpoch = 1;
    this.seq = 0;
    this.fencingToken = 0 as FencingToken;
    this.heartbeatNumber++;
    this.isAwaitingResponse = false;
    this.leaseRenewedAt = this.environment.now;
    this.hasUnreportedChanges = true;
    this.armTimer();
  }

  // ---- timer

  /**
   * When its next action is due. Workers set a timer for it instead of polling: polling by a fleet of ten
   * thousand workers would take most of the simulation's time.
   */
  private dueAt(): number {
    const leaseExpiry = this.leaseEndsAt + 1;
    if (this.isAwaitingResponse) return leaseExpiry;
    const intervalMs = this.hasUnreportedChanges ? MIN_CHANGE_REPORT_INTERVAL_MS : this.environment.reportMs;
    return Math.min(leaseExpiry, this.lastHeartbeatAt + intervalMs);
  }

  private armTimer(): void {
    if (this.isTerminated || !this.up) return;
    const timerAt = Math.max(this.environment.now, this.dueAt());
    if (timerAt >= this.timerDueAt) return;
    this.timerDueAt = timerAt;
    this.environment.after(timerAt - this.environment.now, () => {
      if (this.timerDueAt !== timerAt) return;
      this.timerDueAt = Number.POSITIVE_INFINITY;
      this.runDueActions();
    });
  }

  private runDueActions(): void {
    if (this.isTerminated || this.isHanging) return;
    if (this.isLeaseExpired()) this.beginEpoch();
    if (!this.isAwaitingResponse && this.environment.now >= this.dueAt()) this.sendHeartbeat();
    this.armTimer();
  }

  private isLeaseExpired(): boolean {
    return this.environment.now - this.leaseRenewedAt > this.environment.leaseMs;
  }

  /**
   * Kills all tasks after the lease has expired, as they may already run elsewhere, and begins a new epoch.
   */
  private beginEpoch(): void {
    this.agentEpoch = successor(this.agentEpoch);
    this.lostByLease += this.activeTasks().length;
    this.workerTasks.clear();
    this.leaseRenewedAt = this.environment.now;
    this.hasUnreportedChanges = true;
  }

  // ---- heartbeats

  /** Returns the next heartbeat, and increments the sequence number. */
  nextHeartbeat(): Heartbeat {
    this.seq = successor(this.seq);
    return {
      machine: this.id,
      addr: this.addr,
      type: this.type,
      zone: this.zone,
      spot: this.spot,
      agentEpoch: this.agentEpoch,
      seq: this.seq,
      fencingToken: this.fencingToken,
      preemptionNoticeS: this.preemptionNoticeS,
      tasks: this.workerTasks.statuses(),
    };
  }

  private sendHeartbeat(): void {
    const sent = {
      number: ++this.heartbeatNumber,
      agentEpoch: this.agentEpoch,
      sentAt: this.environment.now,
    };
    this.isAwaitingResponse = true;
    this.hasUnreportedChanges = false;
    this.lastHeartbeatAt = sent.sentAt;
    const heartbeat = this.nextHeartbeat();
    this.environment.sendHeartbeat(this, this.node, heartbeat, RESPONSE_TIMEOUT_MS, (response) =>
      this.handleResponse(sent, response),
    );
  }

  private handleResponse(sent: SentHeartbeat, response: HeartbeatResponse | null): void {
    if (sent.number !== this.heartbeatNumber || this.isTerminated) return;
    if (this.isHanging) {
      this.unreadResponses.push(() => {
        // A response handled late counts as missing only if the time-out has passed.
        const isInTime = this.environment.now - sent.sentAt <= RESPONSE_TIMEOUT_MS;
        this.handleResponse(sent, isInTime ? response : null);
      });
      return;
    }
    this.isAwaitingResponse = false;
    if (response === null) this.tryNextNode();
    else if (response.kind === 'redirect') this.followRedirect(response.node);
    else if (sent.agentEpoch === this.agentEpoch && response.fencingToken >= this.fencingToken)
      this.applyResponse(sent, response.fencingToken, response.commands);
    this.armTimer();
  }

  private applyResponse(
    { sentAt }: SentHeartbeat,
    fencingToken: FencingToken,
    commands: readonly Command[],
  ): void {
    this.adoptFencingToken(fencingToken);
    this.leaseRenewedAt = Math.max(this.leaseRenewedAt, sentAt);
    if (this.environment.now - sentAt > LATE_RESPONSE_MS) this.lateCommands += commands.length;
    this.executeAll(commands);
  }

  private tryNextNode(): void {
    this.moves++;
    this.nodeIndex = (this.nodeIndex + 1) % this.environment.nodeNames.length;
    this.lastHeartbeatAt = this.environment.now - this.environment.reportMs + NEXT_NODE_DELAY_MS;
  }

  private followRedirect(node: string | null): void {
    const index = this.environment.nodeNames.indexOf(node ?? '');
    if (index < 0 || index === this.nodeIndex) return this.tryNextNode();
    this.moves++;
    this.nodeIndex = index;
    this.hasUnreportedChanges = true;
  }

  private adoptFencingToken(token: FencingToken): void {
    if (token > this.fencingToken) this.hasUnreportedChanges = true;
    this.fencingToken = token;
  }

  // ---- commands

  /**
   * Handles commands that a controller sends other than in a heartbeat response. They are executed only if
   * the fencing token is not older than the newest one received and the epoch is the current one.
   */
  handleCommands(
    fencingToken: FencingToken,
    agentEpoch: Uint64,
    commands: Command[],
    respond: (reply: WorkerReply) => void,
  ): void {
    if (this.isTerminated || !this.up || this.isHanging) return;
    const executed = fencingToken >= this.fencingToken && agentEpoch === this.agentEpoch;
    if (executed) {
      this.adoptFencingToken(fencingToken);
      this.executeAll(commands);
    }
    this.armTimer();
    respond({ kind: 'heartbeat', heartbeat: this.nextHeartbeat(), executed });
  }

  taskChanged(): void {
    this.hasUnreportedChanges = true;
    this.armTimer();
  }

  private executeAll(commands: readonly Command[]): void {
    for (const command of commands) {
      this.workerTasks.execute(command);
      this.hasUnreportedChanges = true;
    }
  }
}
