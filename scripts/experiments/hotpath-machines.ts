// Simulates the machines of the hotpath load and the cloud that rents them out. Machines use the wire
// protocol and send their heartbeats to the leader or to another node, which forwards them.
import type { Input, Random } from '../../src/core/base/io.ts';
import type {
  CloudReply,
  CloudRequest,
  ForwardedHeartbeat,
  Heartbeat,
  PeerMessage,
} from '../../src/core/base/model.ts';
import type { NodeId } from '../../src/types/index.ts';
import type { InputKind, Library } from './hotpath-lib.ts';
import type { InputTimer } from './hotpath-timer.ts';
import {
  heartbeatBody,
  httpRequest,
  type WireResponse,
  type WireResponseBody,
  type WireTask,
} from './hotpath-wire.ts';

/** The simulated surroundings of the machines. */
export interface MachineEnvironment {
  readonly now: number;
  readonly library: Library;
  readonly random: Random;
  readonly timer: InputTimer;
  at(ms: number, run: () => void): void;
  /** Returns the id of a new request; `onResponse` is called with the controller's response. */
  newRequest(onResponse: (response: never) => void): number;
  /** Passes an input to the controller. */
  input(input: Input, kind: InputKind): void;
}

/** Interval between the heartbeats of a machine whose tasks do not change. */
export const HEARTBEAT_INTERVAL_MS = 5000;
/** Minimum time from one heartbeat to the next when a task has changed. */
const CHANGE_INTERVAL_MS = 500;
const BOOT_MS = 20_000;
const BOOT_SPREAD_MS = 2000;
const TASK_MS = 20_000;
const TASK_SPREAD_MS = 40_000;
/** One in this many machines sends its heartbeats to the leader itself, as with three controllers. */
const MACHINES_PER_DIRECT = 9;
const MAX_REQUEST_BYTES = 65_536;
const FORWARDING_NODE = 'n-9' as NodeId;

/** A running machine. */
interface LoadMachine {
  id: string;
  type: string;
  zone: string;
  seq: number;
  fencingToken: number;
  /** Tasks by task id and attempt, as in `id@attempt`. */
  tasks: Map<string, WireTask>;
  sentAt: number;
  isAwaitingResponse: boolean;
  nextHeartbeatAt: number;
  /** Whether the machine sends its heartbeats to another node, which forwards them to the leader. */
  isForwarded: boolean;
  /** The last heartbeat that the leader has accepted through that node, and the last one forwarded to it. */
  lastAcknowledged: Heartbeat | null;
  lastForwarded: Heartbeat | null;
}

const MACHINE_TYPE = {
  name: 'box',
  cpus: 16,
  gpus: 0,
  memoryGb: 64,
  cacheGb: 60,
  fetchGbPerS: 0.3,
  price: 1,
  spotPrice: 0.3,
  bootS: 20,
  zones: ['east', 'west'],
};
const GPU_TYPE = { ...MACHINE_TYPE, name: 'gpu', gpus: 2, price: 4, spotPrice: 1.4 };

/** Rents out machines and simulates them. */
export class LoadMachines {
  private readonly machines = new Map<string, LoadMachine>();
  private rented = 0;

  constructor(
    private readonly environment: MachineEnvironment,
    /** Number of machines that can be rented. */
    private readonly capacity: number,
  ) {}

  /** Returns the cloud's reply to a request. */
  serveCloud(request: CloudRequest): CloudReply {
    switch (request.kind) {
      case 'types':
        return { kind: 'types', types: [MACHINE_TYPE, GPU_TYPE] as never };
      case 'list':
        return { kind: 'listed', machines: [], more: false };
      case 'release':
        return { kind: 'released' };
      default:
        return this.rent(request.count, request.type, request.zone);
    }
  }

  /**
   * Handles a message of the leader to a node that forwards heartbeats; `onResponse` is called with the
   * response that the node sends to the machine.
   */
  forwardResponse(
    message: PeerMessage,
    onResponse: (requestId: number, response: WireResponse) => void,
  ): void {
    if (message.kind !== 'forwarded-heartbeat-response') return;
    const { library, timer } = this.environment;
    timer.timeCodec('report', () => library.encodePeerMessage(message));
    const { id, response } = message;
    // The forwarding node encodes the response for the machine, so that time is not counted.
    if (response?.kind === 'commands') return onResponse(id, library.encodeHeartbeatResponse(response));
    onResponse(id, { status: response === null ? 421 : 409, body: '' });
  }

  /** After the loss of the leader, drops pending requests and the heartbeats that the leader had accepted. */
  onLeaderLost(): void {
    const { now, random } = this.environment;
    for (const machine of this.machines.values()) {
      if (!machine.isAwaitingResponse) continue;
      machine.isAwaitingResponse = false;
      this.scheduleHeartbeat(machine, now + random.below(4000));
    }
    for (const machine of this.machines.values()) machine.lastAcknowledged = null;
  }

  private rent(count: number, type: string, zone: string): CloudReply {
    const { random, now } = this.environment;
    const ids: string[] = [];
    for (let i = 0; i < count && this.rented < this.capacity; i++) {
      const id = `i-${String(++this.rented).padStart(6, '0')}`;
      ids.push(id);
      this.environment.at(now + BOOT_MS + random.below(BOOT_SPREAD_MS), () => this.boot(id, type, zone));
    }
    return ids.length === 0 ? { kind: 'no-capacity' } : { kind: 'rented', machines: ids as never };
  }

  private boot(id: string, type: string, zone: string): void {
    const machine: LoadMachine = {
      id,
      type,
      zone,
      seq: 0,
      fencingToken: 0,
      tasks: new Map(),
      sentAt: 0,
      isAwaitingResponse: false,
      nextHeartbeatAt: 0,
      isForwarded: this.machines.size % MACHINES_PER_DIRECT !== 0,
      lastAcknowledged: null,
      lastForwarded: null,
    };
    this.machines.set(id, machine);
    this.scheduleHeartbeat(machine, this.environment.now);
  }

  private scheduleHeartbeat(machine: LoadMachine, at: number): void {
    if (machine.nextHeartbeatAt > this.environment.now && machine.nextHeartbeatAt <= at) return;
    machine.nextHeartbeatAt = at;
    this.environment.at(at, () => {
      if (machine.nextHeartbeatAt === at && !machine.isAwaitingResponse) this.sendHeartbeat(machine);
    });
  }

  private sendHeartbeat(machine: LoadMachine): void {
    const { environment } = this;
    machine.seq++;
    machine.sentAt = environment.now;
    machine.isAwaitingResponse = true;
    const body = heartbeatBody(machine);
    const requestId = environment.newRequest((response: WireResponse) => this.onResponse(machine, response));
    if (machine.isForwarded) return this.forward(machine, requestId, JSON.parse(body));
    const { library, timer } = environment;
    const bytes = httpRequest(body);
    const heartbeat = timer.timeCodec('report', () => {
      const request = new library.HttpParser('request', MAX_REQUEST_BYTES).feed(bytes)[0]!;
      return library.parseHeartbeat(library.parseJson(request.body.toString('utf8')));
    });
    environment.input({ kind: 'heartbeat', requestId, heartbeat }, 'report');
  }

  /** Forwards a heartbeat as another node would; only the leader's processing of the frame is counted. */
  private forward(machine: LoadMachine, id: number, body: unknown): void {
    const { library, timer } = this.environment;
    const heartbeat = library.parseHeartbeat(body);
    const frame = library.encodePeerMessage({
      kind: 'forwarded-heartbeat',
      id,
      heartbeat: this.toForwardedHeartbeat(machine, heartbeat),
    });
    const [message] = timer.timeCodec('report', () => new library.PeerDecoder().feed(frame));
    this.environment.input({ kind: 'peer', node: FORWARDING_NODE, message: message! }, 'report');
  }

  /** The full heartbeat, or its difference to the last one that the leader has accepted. */
  private toForwardedHeartbeat(machine: LoadMachine, heartbeat: Heartbeat): ForwardedHeartbeat {
    if (machine.lastAcknowledged === null) {
      machine.lastForwarded = heartbeat;
      return { kind: 'full', heartbeat };
    }
    const diff = this.environment.library.diffTaskLists(machine.lastAcknowledged.tasks, heartbeat.tasks);
    machine.lastForwarded = { ...heartbeat, tasks: diff.tasks };
    const { machine: id, agentEpoch, seq, fencingToken, preemptionNoticeS } = heartbeat;
    return {
      kind: 'delta',
      machine: id,
      agentEpoch,
      seq,
      fencingToken,
      preemptionNoticeS,
      baseSeq: machine.lastAcknowledged.seq,
      ...diff,
    };
  }

  private onResponse(machine: LoadMachine, { status, body }: WireResponse): void {
    const isAccepted = status === 200;
    machine.isAwaitingResponse = false;
    if (machine.isForwarded) machine.lastAcknowledged = isAccepted ? machine.lastForwarded : null;
    const hasChanged = isAccepted && this.carryOut(machine, body);
    this.scheduleHeartbeat(
      machine,
      hasChanged ? this.changeDueAt(machine) : machine.sentAt + HEARTBEAT_INTERVAL_MS,
    );
  }

  private changeDueAt(machine: LoadMachine): number {
    return Math.max(this.environment.now + 1, machine.sentAt + CHANGE_INTERVAL_MS);
  }

  /** Carries out the commands of a response; returns whether the machine has changes to report. */
  private carryOut(machine: LoadMachine, body: string): boolean {
    const { baton, orders } = JSON.parse(body) as WireResponseBody;
    const hasNewToken = baton > machine.fencingToken;
    machine.fencingToken = Math.max(baton, machine.fencingToken);
    for (const command of orders) {
      const key = `${command.piece}@${command.try}`;
      const task = machine.tasks.get(key);
      if (command.verb === 'reap') machine.tasks.delete(key);
      else if (command.verb === 'kill' && task !== undefined) endTask(task, 'halted');
      else if (command.verb === 'launch' && task === undefined) this.launch(machine, key, command);
    }
    return hasNewToken || orders.length > 0;
  }

  private launch(machine: LoadMachine, key: string, command: WireResponseBody['orders'][number]): void {
    const { environment } = this;
    const task: WireTask = { piece: command.piece, try: command.try, status: 'running' };
    machine.tasks.set(key, task);
    environment.at(environment.now + TASK_MS + environment.random.below(TASK_SPREAD_MS), () => {
      if (machine.tasks.get(key) !== task || task.status === 'ended') return;
      endTask(task, 'done');
      if (!machine.isAwaitingResponse) this.scheduleHeartbeat(machine, this.changeDueAt(machine));
    });
  }
}

function endTask(task: WireTask, cause: string): void {
  task.status = 'ended';
  task.cause = cause;
}
