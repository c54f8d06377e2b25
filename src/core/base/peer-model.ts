// Messages between controllers.
import type { FencingToken, MachineId, NodeId, Revision } from '../../types/index.ts';
import type { Heartbeat, HeartbeatResponse, TaskStatus } from './agent-model.ts';
import type { UserRequest, UserResponse } from './user-model.ts';

/** A message between controllers. Requests carry an id, which the response repeats. */
export type PeerMessage =
  /** Sent on connecting and on every change of what it says. */
  | {
      kind: 'hello';
      node: NodeId;
      /** The term in which the sender is the leader; 0 if it is not. */
      leaderTerm: Revision;
      /** The sender knows jobs with dependencies; versions before 0.2 do not say so. */
      supportsDependencies: boolean;
      /** The sender knows forwarded heartbeats; versions before 0.3 do not say so. */
      supportsForwarding: boolean;
      /** The sender knows configuration documents; versions before 0.9 do not say so. */
      supportsConfigDocuments: boolean;
    }
  | { kind: 'user-request'; id: number; request: UserRequest }
  /** Null: the sender is not the leader. */
  | { kind: 'user-response'; id: number; response: UserResponse | null }
  | { kind: 'relayed-heartbeat'; id: number; heartbeat: Heartbeat }
  /** Null: the sender is not the leader. */
  | { kind: 'relayed-heartbeat-response'; id: number; response: HeartbeatResponse | null }
  /** The sender's load; sent every second, and on every change of the level. */
  | {
      kind: 'load';
      /** Which requests the sender wants sent back on its behalf; see admission/load-shedder.ts. */
      level: 0 | 1 | 2;
      /** Seconds after which users who are sent back should retry. */
      afterS: number;
      /** Weighted number of agents connected to the sender; see heartbeats/connection-balancer.ts. */
      workers: number;
      /** Seconds that it takes to write what waits to be written. */
      backlogS: number;
      memoryShort: boolean;
      /** The revision of the configuration that the sender applies. */
      configRevision: Revision;
      /** As in `hello`. */
      leaderTerm: Revision;
    }
  | { kind: 'forwarded-heartbeat'; id: number; heartbeat: ForwardedHeartbeat }
  | { kind: 'forwarded-heartbeat-response'; id: number; response: ForwardedHeartbeatResponse };

/**
 * A heartbeat as one controller forwards it to another: in full, or as the difference to one forwarded
 * before.
 */
export type ForwardedHeartbeat =
  | { kind: 'full'; heartbeat: Heartbeat }
  | {
      kind: 'delta';
      machine: MachineId;
      agentEpoch: number;
      seq: number;
      fencingToken: FencingToken;
      preemptionNoticeS: number | null;
      /**
       * Number of the heartbeat, of the same epoch, from which the tasks differ; the rest is as in that one.
       */
      baseSeq: number;
      /** Indices in its task list of tasks that are not in this one, or not in that state. */
      removed: number[];
      /** Tasks to insert, with their indices in the new list. */
      changed: { at: number; task: TaskStatus }[];
    };

/**
 * `full-heartbeat-required`: the base of the delta is not the heartbeat read last. Null: the sender is not
 * the leader.
 */
export type ForwardedHeartbeatResponse = HeartbeatResponse | { kind: 'full-heartbeat-required' } | null;
