// The words of the field, shared by the core's modules and the protocol codecs.
import type {
  Attempt,
  FencingToken,
  JobId,
  MachineId,
  NodeId,
  Revision,
  StoreLeaseId,
  TaskId,
  TeamName,
  TypeName,
  ZoneName,
} from '../../types/index.ts';

export type JobKind = 'array' | 'gang' | 'service';
/** 3 is the most urgent. */
export type Priority = 0 | 1 | 2 | 3;

export interface JobSpec {
  id: JobId;
  class: string;
  team: TeamName;
  kind: JobKind;
  priority: Priority;
  tasks: number;
  cpus: number;
  gpus: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  machineTypes: TypeName[] | null;
  zone: ZoneName | null;
  oneZone: boolean;
  spread: boolean;
  spot: boolean;
  estimatedRunS: number;
  checkpointIntervalS: number;
  checkpointDurationS: number;
  deadlineS: number | null;
  /** Jobs that must be done before any task of this one starts; absent when there are none, as in older records. */
  dependsOn?: JobId[];
}

/** Limits of the state service: the larger until it grants no more, the smaller for all that is written. */
export interface StoreLimits {
  requestsPerS: number;
  writesPerS: number;
  maxValueKb: number;
  maxTransactionOps: number;
}

export interface MachineType {
  name: TypeName;
  cpus: number;
  gpus: number;
  memoryGb: number;
  cacheGb: number;
  fetchGbPerS: number;
  price: number;
  spotPrice: number;
  bootS: number;
  zones: ZoneName[];
}

export interface Team {
  name: TeamName;
  /** 0 means none. */
  cpus: number;
  cpusMax: number;
  gpus: number;
  gpusMax: number;
  /** Work above a limit that was lowered is stopped within so many seconds; absent: it ends by itself. */
  stopAboveWithinS?: number;
  /** Takes no new work; jobs accepted before go on. */
  closed?: boolean;
}

export interface Objective {
  kind: string;
  class: string | null;
  withinS: number | null;
  share: number | null;
  times: number | null;
}

export interface Settings {
  node: NodeId;
  zone: ZoneName;
  listen: string;
  peerListen: string;
  peers: { node: NodeId; zone: ZoneName; addr: string }[];
  cloudAddr: string;
  storeAddr: string;
  zones: ZoneName[];
  teams: Team[];
  objectives: Objective[];
  workers: { heartbeatS: number; leaseS: number; gangWaitS: number; gangPeerS: number; cancelS: number };
  /** What is safe to use from the start: the smaller of the limits now and those to come. */
  store: StoreLimits;
  /** The rate of changes granted until the limits to come are in force. */
  currentWritesPerS: number;
  cloud: { requestsPerS: number; listLagS: number };
  sockets: number;
  /** What a node may hold in memory; null if the platform does not say. */
  ramMb: number | null;
}

export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
export type ExitReason = 'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'no_room' | 'busy' | 'unknown';

export interface TaskStatus {
  task: TaskId;
  attempt: Attempt;
  state: TaskState;
  exitReason: ExitReason | null;
  checkpointed: boolean;
}

export interface Heartbeat {
  machine: MachineId;
  addr: string;
  type: TypeName;
  zone: ZoneName;
  spot: boolean;
  agentEpoch: number;
  seq: number;
  fencingToken: FencingToken;
  preemptionNoticeS: number | null;
  tasks: readonly TaskStatus[];
}

export type Command =
  | { op: 'start'; task: TaskId; attempt: Attempt }
  | { op: 'stop'; task: TaskId; attempt: Attempt; graceS: number }
  | { op: 'forget'; task: TaskId; attempt: Attempt };

export type JobStatus = 'queued' | 'running' | 'done' | 'cancelled';

export type UserResponse =
  | { kind: 'accepted'; id: JobId }
  | { kind: 'known'; id: JobId; status: JobStatus }
  | {
      kind: 'status';
      id: JobId;
      status: JobStatus;
      done: number;
      running: number;
      dependsOn?: JobId[];
      /** Why its waiting tasks can't start as things are. */
      reason?: string;
    }
  | { kind: 'ended'; id: JobId; status: 'done' | 'cancelled' }
  | { kind: 'impossible'; reason: string }
  /** Larger than a record may be. */
  | { kind: 'too-large'; reason: string }
  | { kind: 'not-found' }
  | { kind: 'retry'; afterS: number; reason: string; overload: boolean };

export type HeartbeatResponse =
  | { kind: 'commands'; fencingToken: FencingToken; commands: Command[] }
  | { kind: 'redirect'; node: NodeId | null };

export type UserRequest =
  | { op: 'submit'; spec: JobSpec }
  | { op: 'status'; id: JobId }
  | { op: 'cancel'; id: JobId };

export interface ListedMachine {
  id: MachineId;
  addr: string;
  type: TypeName;
  zone: ZoneName;
  spot: boolean;
  status: 'booting' | 'running' | 'failed';
  ageS: number;
}

export interface StoreCondition {
  key: string;
  revision: Revision;
}
export interface StorePut {
  key: string;
  value: unknown;
  lease?: StoreLeaseId;
}
export interface StoreItem {
  key: string;
  value: unknown;
  revision: Revision;
}

export type StoreRequest =
  | { kind: 'compare-and-swap'; conditions: StoreCondition[]; puts: StorePut[]; deletes: string[] }
  | { kind: 'get'; key: string }
  | { kind: 'list'; prefix: string; after: string | null }
  | { kind: 'grant-lease'; ttlMs: number }
  | { kind: 'renew-lease'; lease: StoreLeaseId }
  | { kind: 'revoke-lease'; lease: StoreLeaseId }
  | { kind: 'watch'; prefix: string; after: Revision; waitMs: number };

/** `refused`: not executed. `no-answer`: may have been, or may yet be, executed. */
export type StoreReply =
  | { kind: 'committed'; revision: Revision }
  | { kind: 'conflict'; failed: string[] }
  | { kind: 'item'; item: StoreItem }
  | { kind: 'missing' }
  | { kind: 'items'; items: StoreItem[]; more: boolean; revision: Revision }
  | { kind: 'lease-granted'; lease: StoreLeaseId }
  | { kind: 'ok' }
  | { kind: 'changes'; revision: Revision; puts: StoreItem[]; deletes: string[] }
  | { kind: 'too-old' }
  | { kind: 'rejected'; reason: string }
  | { kind: 'refused'; busy: boolean }
  | { kind: 'no-answer' };

export type CloudRequest =
  | { kind: 'types' }
  | { kind: 'rent'; request: string; type: TypeName; zone: ZoneName; spot: boolean; count: number }
  | { kind: 'release'; machines: MachineId[] }
  | { kind: 'list'; after: MachineId | null };

export type CloudReply =
  | { kind: 'types'; types: MachineType[] }
  | { kind: 'rented'; machines: MachineId[] }
  | { kind: 'no-capacity' }
  | { kind: 'released' }
  | { kind: 'listed'; machines: ListedMachine[]; more: boolean }
  | { kind: 'refused'; busy: boolean }
  | { kind: 'no-answer' };

export type WorkerReply =
  | { kind: 'heartbeat'; heartbeat: Heartbeat; executed: boolean }
  | { kind: 'no-answer' };

export type PeerMessage =
  /**
   * `chains`: the sender knows of jobs that await others; versions before 0.2 do not say. `fronts`: it knows `front`.
   * `documents`: it knows configuration documents; versions before 0.9 do not say.
   */
  | {
      kind: 'hello';
      node: NodeId;
      leaderTerm: Revision;
      supportsDependencies: boolean;
      supportsForwarding: boolean;
      supportsConfigDocuments: boolean;
    }
  | { kind: 'user-request'; id: number; request: UserRequest }
  | { kind: 'user-response'; id: number; response: UserResponse | null }
  | { kind: 'relayed-heartbeat'; id: number; heartbeat: Heartbeat }
  | { kind: 'relayed-heartbeat-response'; id: number; response: HeartbeatResponse | null }
  /**
   * Which requests the sender wants to be spared, and when callers should come again (overload.ts); how many workers
   * speak to it, weighed (balance.ts); which revision of the configuration it applies; what it owns. Every second.
   */
  | {
      kind: 'load';
      level: 0 | 1 | 2;
      afterS: number;
      workers: number;
      backlogS: number;
      memoryShort: boolean;
      configRevision: Revision;
      /** What the sender owns, as in `hello`. */
      leaderTerm: Revision;
    }
  | { kind: 'forwarded-heartbeat'; id: number; heartbeat: ForwardedHeartbeat }
  | { kind: 'forwarded-heartbeat-response'; id: number; response: ForwardedHeartbeatResponse };

/** A report as one node passes it on to another: whole, or as a repetition of one that was read before. */
export type ForwardedHeartbeat =
  | { kind: 'full'; heartbeat: Heartbeat }
  | {
      kind: 'delta';
      machine: MachineId;
      agentEpoch: number;
      seq: number;
      fencingToken: FencingToken;
      preemptionNoticeS: number | null;
      /** Its machine is that of the report with this number, of the same session, and its tasks but for what follows. */
      baseSeq: number;
      removed: number[];
      changed: { at: number; task: TaskStatus }[];
    };

/** `whole`: what it repeats is not the report read last. null: the node asked does not own the machine. */
export type ForwardedHeartbeatResponse = HeartbeatResponse | { kind: 'full-heartbeat-required' } | null;
