// Messages between controllers.
import type { FencingToken, MachineId, NodeId, Revision } from '../../types/index.ts';
import type { Uint64 } from '../../types/uint64.ts';
import type { Heartbeat, HeartbeatResponse, TaskStatus } from './agent-model.ts';
import type { UserRequest, UserResponse } from './user-model.ts';

/** A message between controllers. A response carries the id of its request. */
export type PeerMessage =
  /** Sent when a connection opens, and on every change of the leader term. */
  | {
      kind: 'hello';
      node: NodeId;
      /** The term in which the sender is the leader; 0 if it is not. */
      leaderTerm: Revision;
      /** The sender supports jobs with dependencies; versions before 0.2 do not send this field. */
      supportsDependencies: boolean;
      /** The sender supports forwarded heartbeats; versions before 0.3 do not send this field. */
      supportsForwarding: boolean;
      /** The sender supports configuration documents; versions before 0.9 do not send this field. */
      supportsConfigDocuments: boolean;
    }
  | { kind: 'user-request'; id: number; request: UserRequest }
  /** A null response: the sender is not the leader. */
  | { kind: 'user-response'; id: number; response: UserResponse | null }
  | { kind: 'relayed-heartbeat'; id: number; heartbeat: Heartbeat }
  /** A null response: the sender is not the leader. */
  | { kind: 'relayed-heartbeat-response'; id: number; response: HeartbeatResponse | null }
  /** The sender's load; sent every second, and on every change of the level. */
  | {
      kind: 'load';
      /** Which requests the other controllers must reject for the sender; see admission/load-shedder.ts. */
      level: 0 | 1 | 2;
      /** Seconds after which the users of rejected requests should retry. */
      afterS: number;
      /** Weighted number of agents connected to the sender; see heartbeats/connection-balancer.ts. */
      workers: number;
      /** Seconds that the sender needs to write its queued writes to the store. */
      backlogS: number;
      memoryShort: boolean;
      /** The revision of the configuration that the sender applies. */
      configRevision: Revision;
      /** The same as in `hello`. */
      leaderTerm: Revision;
    }
  | { kind: 'forwarded-heartbeat'; id: number; heartbeat: ForwardedHeartbeat }
  | { kind: 'forwarded-heartbeat-response'; id: number; response: ForwardedHeartbeatResponse };

/** A heartbeat that one controller forwards to another: in full, or as a delta to an earlier one. */
export type ForwardedHeartbeat =
  | { kind: 'full'; heartbeat: Heartbeat }
  | {
      kind: 'delta';
      machine: MachineId;
      agentEpoch: Uint64;
      seq: Uint64;
      fencingToken: FencingToken;
      preemptionNoticeS: number | null;
      /**
       * Sequence number of the base heartbeat, of the same epoch. Fields that the delta lacks have the values
       * of the base.
       */
      baseSeq: Uint64;
      /** Indices in the task list of the base: tasks that were removed or whose status changed. */
      removed: number[];
      /** Tasks that were added or whose status changed, with their indices in the new list. */
      changed: { at: number; task: TaskStatus }[];
    };

/**
 * `full-heartbeat-required`: the base of the delta is not the latest heartbeat that the receiver has read.
 * Null: the sender of the response is not the leader.
 */
export type ForwardedHeartbeatResponse = HeartbeatResponse | { kind: 'full-heartbeat-required' } | null;
