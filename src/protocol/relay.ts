// Workers' heartbeats and their responses as JSON, in the form in which controllers relay them to each other. The names of
// this form are part of the peer protocol and stay as they are.
import type {
  Command,
  ExitReason,
  Heartbeat,
  HeartbeatResponse,
  TaskState,
  TaskStatus,
} from '../core/base/model.ts';
import type { Attempt, FencingToken, MachineId, NodeId, TaskId, TypeName, ZoneName } from '../types/index.ts';

interface RelayedTask {
  task: TaskId;
  attempt: Attempt;
  state: TaskState;
  why: ExitReason | null;
  saved: boolean;
}

interface RelayedReport {
  machine: MachineId;
  addr: string;
  type: TypeName;
  zone: ZoneName;
  spot: boolean;
  session: number;
  seq: number;
  token: FencingToken;
  noticeS: number | null;
  tasks: RelayedTask[];
}

type RelayedAnswer =
  | { kind: 'orders'; token: FencingToken; commands: Command[] }
  | { kind: 'elsewhere'; node: NodeId | null };

const relayedTask = (task: TaskStatus): RelayedTask => ({
  task: task.task,
  attempt: task.attempt,
  state: task.state,
  why: task.exitReason,
  saved: task.checkpointed,
});

export const encodeRelayedHeartbeat = (report: Heartbeat): RelayedReport => ({
  machine: report.machine,
  addr: report.addr,
  type: report.type,
  zone: report.zone,
  spot: report.spot,
  session: report.agentEpoch,
  seq: report.seq,
  token: report.fencingToken,
  noticeS: report.preemptionNoticeS,
  tasks: report.tasks.map(relayedTask),
});

export function decodeRelayedHeartbeat(json: unknown): Heartbeat {
  const relayed = json as RelayedReport;
  return {
    machine: relayed.machine,
    addr: relayed.addr,
    type: relayed.type,
    zone: relayed.zone,
    spot: relayed.spot,
    agentEpoch: relayed.session,
    seq: relayed.seq,
    fencingToken: relayed.token,
    preemptionNoticeS: relayed.noticeS,
    tasks: relayed.tasks.map((task) => ({
      task: task.task,
      attempt: task.attempt,
      state: task.state,
      exitReason: task.why,
      checkpointed: task.saved,
    })),
  };
}

export const encodeRelayedResponse = (answer: HeartbeatResponse): RelayedAnswer =>
  answer.kind === 'commands'
    ? { kind: 'orders', token: answer.fencingToken, commands: answer.commands }
    : { kind: 'elsewhere', node: answer.node };

export function decodeRelayedResponse(json: unknown): HeartbeatResponse {
  const relayed = json as RelayedAnswer;
  return relayed.kind === 'orders'
    ? { kind: 'commands', fencingToken: relayed.token, commands: relayed.commands }
    : { kind: 'redirect', node: relayed.node };
}
