// A worker's side of the protocol: heartbeats, fencing tokens, its lease, agent epochs and commands. What
// runs its tasks, and what checks it, is up to its environment.
import type {
  Command,
  Heartbeat,
  HeartbeatResponse,
  ListedMachine,
  WorkerReply,
} from '../../../src/core/base/model.ts';
import type { FencingToken, MachineId, TypeName, ZoneName } from '../../../src/types/index.ts';
import type { EnvironmentOf } from './worker-environment.ts';
import { type StopCommand, type TaskOwner, type WorkerTask, WorkerTasks } from './worker-tasks.ts';

export type { RunningTask, TaskProgress } from './worker-environment.ts';

/** The world of a worker. */
export type WorkerEnvironment = EnvironmentOf<FakeWorker>;

/** How long a worker waits for the response to a heartbeat. */
const RESPONSE_TIMEOUT_MS = 4000;
/** The response to a machine with work comes at once, if nothing delays it. */
const LATE_RESPONSE_MS = 1000;
/** Pause before it tries the next node. */
const NEXT_NODE_DELAY_MS = 1000;
/** A change is reported no sooner after the last heartbeat. */
const CHANGE_REPORT_MS = 500;

/** A heartbeat whose response is awaited. */
interface SentHeartbeat {
  readonly number: number;
  readonly agentEpoch: number;
  readonly sentAt: number;
}

/** What a {@link FakeWorker} begins with. */
export interface FakeWorkerInit {
  environment: WorkerEnvironment;
  id: MachineId;
  type: TypeName;
  zone: ZoneName;
  spot: boolean;
  /** Index of the node that it sends its heartbeats to first. */
  target: number;
}

/** The agent on one machine. Times are in milliseconds. */
export class FakeWorker implements TaskOwner {
  addr: string;
  /** The agent epoch. */
  session = 1;
  /** Of the last heartbeat, within the epoch. */
  seq = 0;
  /** The newest fencing token that it has seen. */
  token = 0;
  /** Whether the machine has booted. */
  up = false;
  /** When it came up. */
  upSince = Number.NEGATIVE_INFINITY;
  /** Whether the machine is no more. */
  dead = false;
  /** Seconds of its preemption notice; null without one. */
  noticeS: number | null = null;
  /** Tasks that it ended because its lease expired. */
  lostByLease = 0;
  /** How often it went to another node, redirected or not. */
  moves = 0;
  /** Commands carried out long after the heartbeat that they answer. */
  lateCommands = 0;
  private readonly createdAt: number;
  private readonly workerTasks: WorkerTasks<FakeWorker>;
  private awaitsResponse = false;
  /** When the heartbeat was sent whose response last renewed its lease. */
  private leaseRenewedAt = 0;
  private heartbeats = 0;
  private hasChanges = false;
  private lastHeartbeatAt = 0;
  private timerSetFor = Number.POSITIVE_INFINITY;
  private hanging = false;
  /** Responses that came while it hung; it reads them as it goes on. */
  private readonly unreadResponses: (() => void)[] = [];
  private readonly environment: WorkerEnvironment;
  readonly id: MachineId;
  readonly type: TypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  private target: number;

  constructor(init: FakeWorkerInit) {
    this.environment = init.environment;
    this.id = init.id;
    this.type = init.type;
    this.zone = init.zone;
    this.spot = init.spot;
    this.target = init.target;
    const { environment, id } = init;
    this.addr = `10.1.0.1:${id}`;
    this.createdAt = environment.now;
    this.workerTasks = new WorkerTasks<FakeWorker>(environment, this);
  }

  // ---- what others see of it

  /** Its tasks, by task and attempt. */
  get tasks(): Map<string, WorkerTask> {
    return this.workerTasks.tasks;
  }

  /** Tasks that it has completed. */
  get results(): Set<string> {
    return this.workerTasks.results;
  }

  /** How many tasks were started. */
  get starts(): number {
    return this.workerTasks.starts;
  }

  /** Stop commands for tasks that ran. */
  get stops(): StopCommand[] {
    return this.workerTasks.stops;
  }

  /** Every task started here fails at once. */
  get faulty(): boolean {
    return this.workerTasks.faulty;
  }

  set faulty(faulty: boolean) {
    this.workerTasks.faulty = faulty;
  }

  /** Tasks that have not ended. */
  live(): WorkerTask[] {
    return this.workerTasks.live();
  }

  /** Its line in the cloud's list of machines. */
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

  /** The node that it reports to. */
  get node(): string {
    return this.environment.nodeNames[this.target]!;
  }

  /** Nothing of it is left: the machine is no more, or its lease has expired, hanging or not. */
  get over(): boolean {
    return this.dead || this.isLeaseExpired();
  }

  /** When its lease expires if nobody answers it from now on. */
  get leaseEndsAt(): number {
    return this.leaseRenewedAt + this.environment.leaseMs;
  }

  // ---- the machine

  /** The machine is up. */
  boot(): void {
    if (this.dead) return;
    this.up = true;
    this.upSince = this.environment.now;
    this.leaseRenewedAt = this.environment.now;
    this.act();
  }

  /** The machine is no more. */
  die(): void {
    if (this.dead) return;
    this.dead = true;
    this.workerTasks.clear();
    this.environment.gone(this);
  }

  /** The agent does nothing for a while, and then goes on as if no time had passed. */
  hang(ms: number): void {
    this.hanging = true;
    this.environment.after(ms, () => {
      this.hanging = false;
      for (const readResponse of this.unreadResponses.splice(0)) readResponse();
      this.act();
    });
  }

  /** The machine was restarted within a moment: nothing is left on it, and it counts from the beginning. */
  restart(): void {
    this.workerTasks.clear();
    this.results.clear();
    this.session = 1;
    this.seq = 0;
    this.token = 0;
    this.heartbeats++;
    this.awaitsResponse = false;
    this.leaseRenewedAt = this.environment.now;
    this.hasChanges = true;
    this.armTimer();
  }

  // ---- time

  /** When it has something to do next: nothing is polled, as a fleet of ten thousand would do little else. */
  private dueAt(): number {
    const expiry = this.leaseEndsAt + 1;
    if (this.awaitsResponse) return expiry;
    const intervalMs = this.hasChanges ? CHANGE_REPORT_MS : this.environment.reportMs;
    return Math.min(expiry, this.lastHeartbeatAt + intervalMs);
  }

  private armTimer(): void {
    if (this.dead || !this.up) return;
    const at = Math.max(this.environment.now, this.dueAt());
    if (at >= this.timerSetFor) return;
    this.timerSetFor = at;
    this.environment.after(at - this.environment.now, () => {
      if (this.timerSetFor !== at) return;
      this.timerSetFor = Number.POSITIVE_INFINITY;
      this.act();
    });
  }

  private act(): void {
    if (this.dead || this.hanging) return;
    if (this.isLeaseExpired()) this.beginEpoch();
    if (!this.awaitsResponse && this.environment.now >= this.dueAt()) this.sendHeartbeat();
    this.armTimer();
  }

  private isLeaseExpired(): boolean {
    return this.environment.now - this.leaseRenewedAt > this.environment.leaseMs;
  }

  /** Its lease has expired: its tasks may run elsewhere by now. */
  private beginEpoch(): void {
    this.session++;
    this.lostByLease += this.live().length;
    this.workerTasks.clear();
    this.leaseRenewedAt = this.environment.now;
    this.hasChanges = true;
  }

  // ---- heartbeats

  /** The next heartbeat. */
  report(): Heartbeat {
    this.seq++;
    return {
      machine: this.id,
      addr: this.addr,
      type: this.type,
      zone: this.zone,
      spot: this.spot,
      agentEpoch: this.session,
      seq: this.seq,
      fencingToken: this.token as FencingToken,
      preemptionNoticeS: this.noticeS,
      tasks: this.workerTasks.statuses(),
    };
  }

  private sendHeartbeat(): void {
    const sent = {
      number: ++this.heartbeats,
      agentEpoch: this.session,
      sentAt: this.environment.now,
    };
    this.awaitsResponse = true;
    this.hasChanges = false;
    this.lastHeartbeatAt = sent.sentAt;
    const heartbeat = this.report();
    this.environment.sendReport(this, this.node, heartbeat, RESPONSE_TIMEOUT_MS, (response) =>
      this.handleResponse(sent, response),
    );
  }

  private handleResponse(sent: SentHeartbeat, response: HeartbeatResponse | null): void {
    if (sent.number !== this.heartbeats || this.dead) return;
    if (this.hanging) {
      this.unreadResponses.push(() => {
        // Read late, it still counts, but not after the time for which a worker waits.
        const inTime = this.environment.now - sent.sentAt <= RESPONSE_TIMEOUT_MS;
        this.handleResponse(sent, inTime ? response : null);
      });
      return;
    }
    this.awaitsResponse = false;
    if (response === null) this.tryNextNode();
    else if (response.kind === 'redirect') this.followRedirect(response.node);
    else if (sent.agentEpoch === this.session && response.fencingToken >= this.token)
      this.applyResponse(sent, response.fencingToken, response.commands);
    this.armTimer();
  }

  private applyResponse({ sentAt }: SentHeartbeat, fencingToken: number, commands: readonly Command[]): void {
    this.adoptToken(fencingToken);
    this.leaseRenewedAt = Math.max(this.leaseRenewedAt, sentAt);
    if (this.environment.now - sentAt > LATE_RESPONSE_MS) this.lateCommands += commands.length;
    this.executeAll(commands);
  }

  private tryNextNode(): void {
    this.moves++;
    this.target = (this.target + 1) % this.environment.nodeNames.length;
    this.lastHeartbeatAt = this.environment.now - this.environment.reportMs + NEXT_NODE_DELAY_MS;
  }

  private followRedirect(node: string | null): void {
    const index = this.environment.nodeNames.indexOf(node ?? '');
    if (index < 0 || index === this.target) return this.tryNextNode();
    this.moves++;
    this.target = index;
    this.hasChanges = true;
  }

  private adoptToken(token: number): void {
    if (token > this.token) this.hasChanges = true;
    this.token = token;
  }

  // ---- commands

  /** Commands that a controller sends by itself; they are executed only under a current token and epoch. */
  orders(token: number, session: number, commands: Command[], respond: (reply: WorkerReply) => void): void {
    if (this.dead || !this.up || this.hanging) return;
    const executed = token >= this.token && session === this.session;
    if (executed) {
      this.adoptToken(token);
      this.executeAll(commands);
    }
    this.armTimer();
    respond({ kind: 'heartbeat', heartbeat: this.report(), executed });
  }

  taskChanged(): void {
    this.hasChanges = true;
    this.armTimer();
  }

  private executeAll(commands: readonly Command[]): void {
    for (const command of commands) {
      this.workerTasks.execute(command);
      this.hasChanges = true;
    }
  }
}
