// Workers' heartbeats and their responses as JSON, in the form in which controllers relay them to each other. The names of
// this form are part of the peer protocol and stay as they are.
import type { Command, ExitReason, Report, TaskReport, TaskState, WorkerAnswer } from '../core/base/model.ts';
import type { Attempt, MachineId, NodeId, TaskId, Token, TypeName, ZoneName } from '../types/index.ts';

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
  token: Token;
  noticeS: number | null;
  tasks: RelayedTask[];
}

type RelayedAnswer =
  | { kind: 'orders'; token: Token; commands: Command[] }
  | { kind: 'elsewhere'; node: NodeId | null };

const relayedTask = (task: TaskReport): RelayedTask => ({
  task: task.task,
  attempt: task.attempt,
  state: task.state,
  why: task.why,
  saved: task.saved,
});

export const relayedReport = (report: Report): RelayedReport => ({
  machine: report.machine,
  addr: report.addr,
  type: report.type,
  zone: report.zone,
  spot: report.spot,
  session: report.session,
  seq: report.seq,
  token: report.token,
  noticeS: report.noticeS,
  tasks: report.tasks.map(relayedTask),
});

export function readRelayedReport(json: unknown): Report {
  const relayed = json as RelayedReport;
  return {
    machine: relayed.machine,
    addr: relayed.addr,
    type: relayed.type,
    zone: relayed.zone,
    spot: relayed.spot,
    session: relayed.session,
    seq: relayed.seq,
    token: relayed.token,
    noticeS: relayed.noticeS,
    tasks: relayed.tasks.map((task) => ({
      task: task.task,
      attempt: task.attempt,
      state: task.state,
      why: task.why,
      saved: task.saved,
    })),
  };
}

export const relayedAnswer = (answer: WorkerAnswer): RelayedAnswer =>
  answer.kind === 'orders'
    ? { kind: 'orders', token: answer.token, commands: answer.commands }
    : { kind: 'elsewhere', node: answer.node };

export function readRelayedAnswer(json: unknown): WorkerAnswer {
  const relayed = json as RelayedAnswer;
  return relayed.kind === 'orders'
    ? { kind: 'orders', token: relayed.token, commands: relayed.commands }
    : { kind: 'elsewhere', node: relayed.node };
}
