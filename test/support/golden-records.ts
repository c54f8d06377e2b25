// A world whose key-value store comes to hold a record of every kind, to compare what versions write and read.

import type { Kept } from '../../packages/lab/src/state.ts';
import type { ForwardedReport, PeerMessage, Report } from '../../src/core/base/model.ts';
import type {
  JobId,
  MachineId,
  NodeId,
  Revision,
  TaskId,
  TeamName,
  Token,
  TypeName,
  ZoneName,
} from '../../src/types/index.ts';
import { BehaviourDigest, encoding, storedBytes } from './behaviour-digest.ts';
import { Operator, team } from './operator.ts';
import { job, World } from './world.ts';

/** Jobs named by one that awaits so many that its record takes further values. */
const AWAITED = 120;
const FAILOVER_S = 90;

/** The lines of the store: `[key, revision, value]` as JSON. */
export function writeEveryKindOfRecord(): string[] {
  const world = new World();
  world.run(4);
  world.runS = 40;
  world.submit(job('run-done', { tasks: 2 }));
  world.runOf.set('run-done', 2);
  world.run(20);
  world.submit(job('run-array', { tasks: 90, spot: true, checkpointS: 5, saveS: 1, deadlineS: 600 }));
  world.submit(job('run-gang', { kind: 'gang', tasks: 2, oneZone: true, zone: 'north' as ZoneName }));
  world.submit(job('run-service', { kind: 'service', tasks: 2, spread: true, estimateS: 0 }));
  world.submit(job('run-cancelled', { types: ['box' as TypeName] }));
  world.run(10);
  world.ask('node-0', { op: 'cancel', id: 'run-cancelled' as JobId });
  new Operator(world).change(team('small', { cpusMax: 4 }));
  world.run(10);
  const awaited = Array.from({ length: AWAITED }, (_, i) => `run-${String(i).padStart(100, '0')}` as JobId);
  for (const id of awaited) world.ask(world.owner!, { op: 'submit', spec: job(id, { cpus: 1 }) });
  world.run(20);
  world.submit(job('run-waiting', { awaits: awaited, team: 'small' as TeamName }));
  world.submit(job('run-after', { awaits: ['run-array'] as JobId[] }));
  world.run(30);
  const isMarked = (): boolean =>
    [...world.state.keys.values()].some((kept) => (kept.value as { c?: 1 }).c === 1);
  world.ask(world.owner!, { op: 'cancel', id: 'run-array' as JobId });
  for (let i = 0; i < 100 && !isMarked(); i++) world.run(0.01);
  return storedBytes(world).map(String);
}

/** The digest of what controllers send that begin with these records, while no machine of them is left. */
export function digestAfterReading(lines: readonly string[]): { digest: string; messages: number } {
  const digest = new BehaviourDigest();
  const world = new World(
    {},
    undefined,
    encoding((nowMs, node, bytes) => digest.add(nowMs, node, bytes)),
  );
  const kept = lines.map((line): [string, Kept] => {
    const [key, revision, value] = JSON.parse(line) as [string, number, unknown];
    return [key, { value, revision, hold: null }];
  });
  const leased = (key: string, value: unknown): boolean =>
    key.startsWith('share/') && (value as { node?: string }).node !== undefined;
  const last = Math.max(...kept.map(([, k]) => k.revision));
  world.state.restore(
    last,
    kept.filter(([key, k]) => !leased(key, k.value)),
    [],
  );
  world.run(FAILOVER_S);
  for (const bytes of storedBytes(world)) digest.add(world.now, 'stored', bytes);
  return { digest: digest.hex(), messages: digest.messages };
}

const MACHINE = {
  machine: 'm-1' as MachineId,
  addr: '10.1.0.1:80',
  type: 'std' as TypeName,
  zone: 'north' as ZoneName,
  spot: true,
  session: 3,
  seq: 12,
  token: 7 as Token,
  noticeS: 1.5,
};
const TASKS: Report['tasks'] = [
  { task: 'run-1/0' as TaskId, attempt: 4 as never, state: 'running', why: null, saved: true },
  { task: 'run-1/1' as TaskId, attempt: 5 as never, state: 'exited', why: 'no_room', saved: false },
];
const DELTA: ForwardedReport = {
  whole: null,
  machine: MACHINE.machine,
  session: 3,
  seq: 13,
  token: 7 as Token,
  noticeS: null,
  sameAs: 12,
  dropped: [0],
  changed: [{ at: 1, task: TASKS[1]! }],
};
const REVISION = 41 as Revision;
const ID = 'run-1' as JobId;

/** One message of each kind that controllers send each other, with each form of its parts. */
export const PEER_MESSAGES: readonly PeerMessage[] = [
  { kind: 'hello', node: 'node-1' as NodeId, owner: REVISION, chains: true, fronts: true, documents: true },
  { kind: 'ask', id: 1, request: { op: 'submit', spec: job('run-1', { awaits: ['run-0'] as JobId[] }) } },
  { kind: 'ask', id: 2, request: { op: 'status', id: ID } },
  { kind: 'ask', id: 3, request: { op: 'cancel', id: ID } },
  { kind: 'reply', id: 1, answer: null },
  { kind: 'reply', id: 2, answer: { kind: 'accepted', id: ID } },
  { kind: 'reply', id: 3, answer: { kind: 'known', id: ID, status: 'running' } },
  { kind: 'reply', id: 4, answer: { kind: 'ended', id: ID, status: 'cancelled' } },
  {
    kind: 'reply',
    id: 5,
    answer: {
      kind: 'status',
      id: ID,
      status: 'queued',
      done: 1,
      running: 2,
      awaits: ['run-0'] as JobId[],
      reason: 'r',
    },
  },
  { kind: 'reply', id: 6, answer: { kind: 'impossible', reason: 'no machine fits' } },
  { kind: 'reply', id: 7, answer: { kind: 'too-large', reason: 'too large' } },
  { kind: 'reply', id: 8, answer: { kind: 'not-found' } },
  { kind: 'reply', id: 9, answer: { kind: 'retry', afterS: 2.5, reason: 'busy', overload: true } },
  { kind: 'relay', id: 10, report: { ...MACHINE, tasks: TASKS } },
  { kind: 'relayed', id: 10, answer: null },
  { kind: 'relayed', id: 11, answer: { kind: 'elsewhere', node: 'node-2' as NodeId } },
  {
    kind: 'relayed',
    id: 12,
    answer: {
      kind: 'orders',
      token: 7 as Token,
      commands: [
        { op: 'start', task: 'run-1/2' as TaskId, attempt: 6 as never },
        { op: 'stop', task: 'run-1/0' as TaskId, attempt: 4 as never, graceS: 2 },
        { op: 'forget', task: 'run-1/1' as TaskId, attempt: 5 as never },
      ],
    },
  },
  {
    kind: 'load',
    level: 1,
    afterS: 2,
    workers: 40,
    backlogS: 0.5,
    short: true,
    config: REVISION,
    owner: REVISION,
  },
  { kind: 'front', id: 13, report: { whole: { ...MACHINE, tasks: TASKS } } },
  { kind: 'front', id: 14, report: DELTA },
  { kind: 'fronted', id: 13, answer: null },
  { kind: 'fronted', id: 14, answer: { kind: 'whole' } },
  { kind: 'fronted', id: 15, answer: { kind: 'elsewhere', node: null } },
  {
    kind: 'fronted',
    id: 16,
    answer: {
      kind: 'orders',
      token: 7 as Token,
      commands: [{ op: 'stop', task: 'run-1/0' as TaskId, attempt: 4 as never, graceS: 2 }],
    },
  },
];
