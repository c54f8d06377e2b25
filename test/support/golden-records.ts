// Golden data of the stored and peer formats: produces a record and a message of every kind, so that tests
// can compare what versions write and read.

import type { StoredEntry } from '../../packages/local-cluster/src/fake-store.ts';
import type { ForwardedHeartbeat, Heartbeat, PeerMessage } from '../../src/core/base/model.ts';
import type {
  FencingToken,
  JobId,
  MachineId,
  MachineTypeName,
  NodeId,
  Revision,
  TaskId,
  TeamName,
  ZoneName,
} from '../../src/types/index.ts';
import { largerOf } from '../../src/types/uint64.ts';
import { BehaviourDigest, encoding, storedBytes } from './behaviour-digest.ts';
import { Operator, team } from './operator.ts';
import { job, SimulatedWorld } from './simulated-world.ts';

/** Dependencies of one job: enough that its record is split into several stored values. */
const DEPENDENCY_COUNT = 120;
const FAILOVER_S = 90;
/** Interval and maximum number of checks for a record that is marked as cancelled. */
const POLL_INTERVAL_S = 0.01;
const MAX_POLLS = 100;

/** Fills a store with records of every kind; returns one line `[key, revision, value]` of JSON for each. */
export function writeEveryKindOfRecord(): string[] {
  const world = new SimulatedWorld();
  world.run(4);
  submitJobsOfEveryKind(world);
  world.run(10);
  world.sendRequest('node-0', { op: 'cancel', id: 'run-cancelled' as JobId });
  new Operator(world).change(team('small', { cpusMax: 4 }));
  world.run(10);
  submitDependentJobs(world);
  world.run(30);
  cancelUntilMarked(world, 'run-array' as JobId);
  return storedBytes(world).map(String);
}

function submitJobsOfEveryKind(world: SimulatedWorld): void {
  world.runS = 40;
  world.submit(job('run-done', { tasks: 2 }));
  world.runSByJob.set('run-done', 2);
  world.run(20);
  world.submit(
    job('run-array', {
      tasks: 90,
      spot: true,
      checkpointIntervalS: 5,
      checkpointDurationS: 1,
      deadlineS: 600,
    }),
  );
  world.submit(job('run-gang', { kind: 'gang', tasks: 2, oneZone: true, zone: 'north' as ZoneName }));
  world.submit(job('run-service', { kind: 'service', tasks: 2, spread: true, estimatedRunS: 0 }));
  world.submit(job('run-cancelled', { machineTypes: ['box' as MachineTypeName] }));
}

function submitDependentJobs(world: SimulatedWorld): void {
  const dependsOn = Array.from(
    { length: DEPENDENCY_COUNT },
    (_, i) => `run-${String(i).padStart(100, '0')}` as JobId,
  );
  for (const id of dependsOn) world.sendRequest(world.leader!, { op: 'submit', spec: job(id, { cpus: 1 }) });
  world.run(20);
  world.submit(job('run-waiting', { dependsOn, team: 'small' as TeamName }));
  world.submit(job('run-after', { dependsOn: ['run-array'] as JobId[] }));
}

/** Cancels a job and lets time pass until a record of it is marked as cancelled. */
function cancelUntilMarked(world: SimulatedWorld, id: JobId): void {
  const isMarked = (): boolean =>
    [...world.state.entries.values()].some((entry) => (entry.value as { c?: 1 }).c === 1);
  world.sendRequest(world.leader!, { op: 'cancel', id });
  for (let i = 0; i < MAX_POLLS && !isMarked(); i++) world.run(POLL_INTERVAL_S);
}

/** Digests what controllers send after a start with these stored records, all of whose machines are lost. */
export function digestAfterReading(lines: readonly string[]): { digest: string; messages: number } {
  const digest = new BehaviourDigest();
  const listener = encoding((nowMs, node, bytes) => digest.add(nowMs, node, bytes));
  const world = new SimulatedWorld({}, undefined, listener);
  const entries = lines.map((line): [string, StoredEntry] => {
    const [key, revision, value] = JSON.parse(line) as [string, Revision, unknown];
    return [key, { value, revision, hold: null }];
  });
  const isLeaderRecord = (key: string, value: unknown): boolean =>
    key.startsWith('share/') && (value as { node?: string }).node !== undefined;
  const lastRevision = entries.map(([, entry]) => entry.revision).reduce(largerOf);
  world.state.restore(
    lastRevision,
    entries.filter(([key, entry]) => !isLeaderRecord(key, entry.value)),
    [],
  );
  world.run(FAILOVER_S);
  for (const bytes of storedBytes(world)) digest.add(world.now, 'stored', bytes);
  return { digest: digest.hex(), messages: digest.messages };
}

const MACHINE = {
  machine: 'm-1' as MachineId,
  addr: '10.1.0.1:80',
  type: 'std' as MachineTypeName,
  zone: 'north' as ZoneName,
  spot: true,
  agentEpoch: 3,
  seq: 12,
  fencingToken: 7 as FencingToken,
  preemptionNoticeS: 1.5,
};
const TASKS: Heartbeat['tasks'] = [
  { task: 'run-1/0' as TaskId, attempt: 4 as never, state: 'running', exitReason: null, checkpointed: true },
  {
    task: 'run-1/1' as TaskId,
    attempt: 5 as never,
    state: 'exited',
    exitReason: 'no_room',
    checkpointed: false,
  },
];
const DELTA: ForwardedHeartbeat = {
  kind: 'delta',
  machine: MACHINE.machine,
  agentEpoch: 3,
  seq: 13,
  fencingToken: 7 as FencingToken,
  preemptionNoticeS: null,
  baseSeq: 12,
  removed: [0],
  changed: [{ at: 1, task: TASKS[1]! }],
};
const REVISION = 41 as Revision;
const ID = 'run-1' as JobId;

/** Messages between controllers: at least one of each kind, and each variant of their fields. */
export const PEER_MESSAGES: readonly PeerMessage[] = [
  {
    kind: 'hello',
    node: 'node-1' as NodeId,
    leaderTerm: REVISION,
    supportsDependencies: true,
    supportsForwarding: true,
    supportsConfigDocuments: true,
  },
  {
    kind: 'user-request',
    id: 1,
    request: { op: 'submit', spec: job('run-1', { dependsOn: ['run-0'] as JobId[] }) },
  },
  { kind: 'user-request', id: 2, request: { op: 'status', id: ID } },
  { kind: 'user-request', id: 3, request: { op: 'cancel', id: ID } },
  { kind: 'user-response', id: 1, response: null },
  { kind: 'user-response', id: 2, response: { kind: 'accepted', id: ID } },
  { kind: 'user-response', id: 3, response: { kind: 'known', id: ID, status: 'running' } },
  { kind: 'user-response', id: 4, response: { kind: 'ended', id: ID, status: 'cancelled' } },
  {
    kind: 'user-response',
    id: 5,
    response: {
      kind: 'status',
      id: ID,
      status: 'queued',
      done: 1,
      running: 2,
      dependsOn: ['run-0'] as JobId[],
      reason: 'r',
    },
  },
  { kind: 'user-response', id: 6, response: { kind: 'impossible', reason: 'no machine fits' } },
  { kind: 'user-response', id: 7, response: { kind: 'too-large', reason: 'too large' } },
  { kind: 'user-response', id: 8, response: { kind: 'not-found' } },
  { kind: 'user-response', id: 9, response: { kind: 'retry', afterS: 2.5, reason: 'busy', overload: true } },
  { kind: 'relayed-heartbeat', id: 10, heartbeat: { ...MACHINE, tasks: TASKS } },
  { kind: 'relayed-heartbeat-response', id: 10, response: null },
  { kind: 'relayed-heartbeat-response', id: 11, response: { kind: 'redirect', node: 'node-2' as NodeId } },
  {
    kind: 'relayed-heartbeat-response',
    id: 12,
    response: {
      kind: 'commands',
      fencingToken: 7 as FencingToken,
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
    memoryShort: true,
    configRevision: REVISION,
    leaderTerm: REVISION,
  },
  {
    kind: 'forwarded-heartbeat',
    id: 13,
    heartbeat: { kind: 'full', heartbeat: { ...MACHINE, tasks: TASKS } },
  },
  { kind: 'forwarded-heartbeat', id: 14, heartbeat: DELTA },
  { kind: 'forwarded-heartbeat-response', id: 13, response: null },
  { kind: 'forwarded-heartbeat-response', id: 14, response: { kind: 'full-heartbeat-required' } },
  { kind: 'forwarded-heartbeat-response', id: 15, response: { kind: 'redirect', node: null } },
  {
    kind: 'forwarded-heartbeat-response',
    id: 16,
    response: {
      kind: 'commands',
      fencingToken: 7 as FencingToken,
      commands: [{ op: 'stop', task: 'run-1/0' as TaskId, attempt: 4 as never, graceS: 2 }],
    },
  },
];
