// The machines of the hotpath load, and the cloud that rents them: they speak the wire protocol, to the
// leader itself or by way of another node that forwards their heartbeats.
import type { Input, Random } from '../../src/core/base/io.ts';
import type {
  CloudReply,
  CloudRequest,
  ForwardedHeartbeat,
  Heartbeat,
  PeerMessage,
} from '../../src/core/base/model.ts';
import type { NodeId } from '../../src/types/index.ts';
import type { Kind, Lib } from './hotpath-lib.ts';
import type { InputTimer } from './hotpath-timer.ts';
import {
  heartbeatBody,
  httpRequest,
  type WireResponse,
  type WireResponseBody,
  type WireTask,
} from './hotpath-wire.ts';

/** What machines need of the load. */
export interface MachineEnvironment {
  readonly now: number;
  readonly lib: Lib;
  readonly random: Random;
  readonly timer: InputTimer;
  at(ms: number, run: () => void): void;
  /** The id of a new request; `onResponse` gets what the controller responds with. */
  newRequest(onResponse: (response: never) => void): number;
  /** Gives the controller an input. */
  input(input: Input, kind: Kind): void;
}

/** How often machines send heartbeats when nothing changes. */
export const HEARTBEAT_INTERVAL_MS = 5000;
/** A change is reported no earlier than this after the last heartbeat. */
const CHANGE_INTERVAL_MS = 500;
const BOOT_MS = 20_000;
const BOOT_SPREAD_MS = 2000;
const TASK_MS = 20_000;
const TASK_SPREAD_MS = 40_000;
/** With three controllers the leader keeps one machine in nine. */
const DIRECT_EVERY = 9;
const MAX_REQUEST_BYTES = 65_536;
const FORWARDING_NODE = 'n-9' as NodeId;

/** A machine that runs. */
interface LoadMachine {
  id: string;
  type: string;
  zone: string;
  seq: number;
  fencingToken: number;
  /** By task and attempt. */
  tasks: Map<string, WireTask>;
  sentAt: number;
  isAwaitingResponse: boolean;
  nextHeartbeatAt: number;
  /** It speaks to another node, which forwards its heartbeats. */
  isForwarded: boolean;
  /** What the leader has read of it through that node, and what it is being sent. */
  lastRead: Heartbeat | null;
  lastSent: Heartbeat | null;
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

/** Rents machines and plays them. */
export class LoadMachines {
  private readonly machines = new Map<string, LoadMachine>();
  private rented = 0;

  constructor(
    private readonly environment: MachineEnvironment,
    /** How many machines there are to be rented. */
    private readonly capacity: number,
  ) {}

  /** Serves a request to the cloud. */
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
   * Carries out what the leader sends a node that forwards heartbeats; `onResponse` gets the response on the
   * wire.
   */
  forwardResponse(
    message: PeerMessage,
    onResponse: (requestId: number, response: WireResponse) => void,
  ): void {
    if (message.kind !== 'forwarded-heartbeat-response') return;
    const { lib, timer } = this.environment;
    timer.timeCodec('report', () => lib.encodePeerMessage(message));
    const { id, response } = message;
    // The forwarding node writes the response for the machine: that is not counted.
    if (response?.kind === 'commands') return onResponse(id, lib.encodeHeartbeatResponse(response));
    onResponse(id, { status: response === null ? 421 : 409, body: '' });
  }

  /** The leader is gone: what was on its way is lost, and what it has read. */
  loseLeader(): void {
    const { now, random } = this.environment;
    for (const machine of this.machines.values()) {
      if (!machine.isAwaitingResponse) continue;
      machine.isAwaitingResponse = false;
      this.scheduleHeartbeat(machine, now + random.below(4000));
    }
    for (const machine of this.machines.values()) machine.lastRead = null;
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
      isForwarded: this.machines.size % DIRECT_EVERY !== 0,
      lastRead: null,
      lastSent: null,
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
    const { lib, timer } = environment;
    const bytes = httpRequest(body);
    const heartbeat = timer.timeCodec('report', () => {
      const request = new lib.HttpParser('request', MAX_REQUEST_BYTES).feed(bytes)[0]!;
      return lib.parseHeartbeat(JSON.parse(request.body.toString('utf8')));
    });
    environment.input({ kind: 'heartbeat', requestId, heartbeat }, 'report');
  }

  /**
   * As the node that the machine speaks to does; only what the leader has to do with the frame is counted.
   */
  private forward(machine: LoadMachine, id: number, body: unknown): void {
    const { lib, timer } = this.environment;
    const heartbeat = lib.parseHeartbeat(body);
    const frame = lib.encodePeerMessage({
      kind: 'forwarded-heartbeat',
      id,
      heartbeat: this.forwardedForm(machine, heartbeat),
    });
    const [message] = timer.timeCodec('report', () => new lib.PeerDecoder().feed(frame));
    this.environment.input({ kind: 'peer', node: FORWARDING_NODE, message: message! }, 'report');
  }

  /** The whole heartbeat, or what has changed since the one that the leader has read. */
  private forwardedForm(machine: LoadMachine, heartbeat: Heartbeat): ForwardedHeartbeat {
    if (machine.lastRead === null) {
      machine.lastSent = heartbeat;
      return { kind: 'full', heartbeat };
    }
    const diff = this.environment.lib.diffTaskLists(machine.lastRead.tasks, heartbeat.tasks);
    machine.lastSent = { ...heartbeat, tasks: diff.tasks };
    const { machine: id, agentEpoch, seq, fencingToken, preemptionNoticeS } = heartbeat;
    return {
      kind: 'delta',
      machine: id,
      agentEpoch,
      seq,
      fencingToken,
      preemptionNoticeS,
      baseSeq: machine.lastRead.seq,
      ...diff,
    };
  }

  private onResponse(machine: LoadMachine, { status, body }: WireResponse): void {
    const isAccepted = status === 200;
    machine.isAwaitingResponse = false;
    if (machine.isForwarded) machine.lastRead = isAccepted ? machine.lastSent : null;
    const hasChanged = isAccepted && this.carryOut(machine, body);
    this.scheduleHeartbeat(
      machine,
      hasChanged ? this.changeDueAt(machine) : machine.sentAt + HEARTBEAT_INTERVAL_MS,
    );
  }

  private changeDueAt(machine: LoadMachine): number {
    return Math.max(this.environment.now + 1, machine.sentAt + CHANGE_INTERVAL_MS);
  }

  /** Whether anything has changed that the machine has to tell. */
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
