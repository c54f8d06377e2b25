// Messages and settings at the edges: what is refused, what is ignored, what survives the way there and back.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { defaults, readOptions } from '../src/cli/options.ts';
import type { Command, Heartbeat, PeerMessage, StoreRequest } from '../src/core/base/model.ts';
import { formatResponse } from '../src/http/server.ts';
import { decodeCloudReply } from '../src/protocol/cloud.ts';
import { parseJob } from '../src/protocol/job.ts';
import { InvalidMessageError } from '../src/protocol/json-fields.ts';
import { encodePeerMessage, isForwardedHeartbeat, PeerDecoder } from '../src/protocol/peer.ts';
import { parseSettings } from '../src/protocol/settings.ts';
import { decodeStoreReply, encodeStoreRequest } from '../src/protocol/store.ts';
import { encodeUserResponse } from '../src/protocol/user-response.ts';
import { encodeHeartbeatResponse, parseHeartbeat } from '../src/protocol/worker.ts';
import type {
  Attempt,
  FencingToken,
  JobId,
  MachineId,
  NodeId,
  Revision,
  StoreLeaseId,
  TaskId,
  TypeName,
  ZoneName,
} from '../src/types/index.ts';
import { job } from './support/simulated-world.ts';

const wireJob = {
  nameId: 'run-000412',
  jobclass: 'train',
  owner: 'vision',
  shape: 'gang',
  urgency: 'urgent',
  pieces: 16,
  cores: 8.0,
  accelerators: 1.0,
  memoryGb: 64.0,
  bundle: 'img-07',
  sizeGb: 6.2,
  berthkinds: ['g8'],
  yard: null,
  samePlace: true,
  scatter: false,
  loaners: true,
  guessS: 240.0,
  snapshotS: 30.0,
  flushS: 4.0,
  dueS: 900.0,
};

test('a job is read whole; unknown fields are ignored and null may be left out', () => {
  const { yard: _, ...withoutYard } = { ...wireJob, colour: 'red' };
  const spec = parseJob(withoutYard);
  assert.equal(spec.kind, 'gang');
  assert.equal(spec.priority, 2);
  assert.equal(spec.zone, null);
  assert.deepEqual(spec.machineTypes, ['g8']);
});

test('a job with a missing or invalid field is refused by the name of that field', () => {
  const bad: [string, unknown][] = [
    ['nameId', 'job-1'],
    ['nameId', undefined],
    ['shape', 'heap'],
    ['shape', 'toString'],
    ['urgency', 3],
    ['pieces', 0],
    ['pieces', 100_001],
    ['pieces', 1.5],
    ['cores', -1],
    ['cores', '8'],
    ['berthkinds', 'g8'],
    ['samePlace', 1],
    ['dueS', 'soon'],
    ['awaits', 'run-1'],
    ['awaits', ['run-1', 'job 2']],
    ['awaits', [7]],
  ];
  for (const [field, value] of bad)
    assert.throws(
      () => parseJob({ ...wireJob, [field]: value }),
      (e: Error) => e instanceof InvalidMessageError && e.message.startsWith(field),
      `${field}=${String(value)}`,
    );
  assert.throws(() => parseJob([]), InvalidMessageError);
});

test('jobs that a job awaits are read once each; without any the job is as it was before there were such', () => {
  for (const none of [{}, { awaits: null }, { awaits: [] }])
    assert.deepEqual(parseJob({ ...wireJob, ...none }), parseJob(wireJob));
  assert.equal('awaits' in parseJob(wireJob), false);
  assert.deepEqual(parseJob({ ...wireJob, awaits: ['run-1', 'run-2', 'run-1'] }).dependsOn, [
    'run-1',
    'run-2',
  ]);
});

test('a request to come back later carries Retry-After, in whole seconds', () => {
  const a = encodeUserResponse({ kind: 'retry', afterS: 1.2, reason: 'later', overload: false });
  assert.equal(a.status, 503);
  assert.match(formatResponse(a, true), /^HTTP\/1\.1 503 .*\r\n(.*\r\n)*Retry-After: 2\r\n/);
  assert.equal(encodeUserResponse({ kind: 'retry', afterS: 1, reason: '', overload: true }).status, 429);
});

test('a report is read and commands are written in the words of the wire', () => {
  const r = parseHeartbeat({
    berth: 'i-1',
    endpoint: '10.1.0.1:9000',
    berthkind: 'g8',
    yard: 'a',
    loaners: true,
    shift: 2,
    tally: 7,
    baton: 41,
    pieces: [{ piece: 'run-1/0', try: 3, status: 'ended', cause: 'halted', stored: true }],
  });
  assert.deepEqual(r.tasks, [
    { task: 'run-1/0', attempt: 3, state: 'exited', exitReason: 'stopped', checkpointed: true },
  ]);
  const answer = encodeHeartbeatResponse({
    kind: 'commands',
    fencingToken: 41 as FencingToken,
    commands: [{ op: 'stop', task: 'run-1/0' as TaskId, attempt: 3 as Attempt, graceS: 4 }],
  });
  assert.deepEqual(JSON.parse(answer.body), {
    baton: 41,
    orders: [{ verb: 'kill', piece: 'run-1/0', try: 3, windownS: 4 }],
  });
  assert.deepEqual(encodeHeartbeatResponse({ kind: 'redirect', node: 'berth-2' as NodeId }), {
    status: 421,
    body: '{"foreman":"berth-2"}',
  });
});

test('replies of the state service are told apart: refused, conflicting, missing, compared', () => {
  const op: StoreRequest = {
    kind: 'compare-and-swap',
    conditions: [{ key: 'a', revision: 0 as Revision }],
    puts: [{ key: 'a', value: 1, lease: 7 as StoreLeaseId }],
    deletes: ['b'],
  };
  assert.deepEqual(JSON.parse(encodeStoreRequest(op).body ?? ''), {
    if: [{ key: 'a', stamp: 0 }],
    apply: [{ set: 'a', v: 1, tenancy: 7 }, { drop: 'b' }],
  });
  assert.deepEqual(decodeStoreReply(op, 409, { failed: ['a'], ledger: 3 }), {
    kind: 'conflict',
    failed: ['a'],
  });
  assert.deepEqual(decodeStoreReply(op, 429, {}), { kind: 'refused', busy: true });
  assert.deepEqual(decodeStoreReply(op, 503, {}), { kind: 'refused', busy: false });
  assert.equal('apply' in JSON.parse(encodeStoreRequest({ ...op, puts: [], deletes: [] }).body ?? ''), false);
});

test('a cloud without machines is told from a cloud in trouble', () => {
  const op = { kind: 'list' as const, after: null };
  assert.deepEqual(decodeCloudReply(op, 503, { error: 'no capacity' }), { kind: 'no-capacity' });
  assert.deepEqual(decodeCloudReply(op, 503, { error: 'trouble' }), { kind: 'refused', busy: false });
});

test('messages between controllers survive any cut of the stream', () => {
  const short = { machine: 'i-1' as MachineId, agentEpoch: 2, seq: 88, fencingToken: 41 as FencingToken };
  const task = { task: 'run-1/3' as TaskId, attempt: (41 * 2 ** 24 + 5) as Attempt, checkpointed: false };
  const report: Heartbeat = {
    ...short,
    addr: '10.1.0.1:9000',
    type: 'box' as TypeName,
    zone: 'north' as ZoneName,
    spot: true,
    preemptionNoticeS: 4,
    tasks: [
      { ...task, state: 'running', exitReason: null },
      { ...task, state: 'exited', exitReason: 'no_room' },
    ],
  };
  const none = { removed: [], changed: [] };
  const changed = [{ at: 1, task: { ...task, state: 'saving' as const, exitReason: null } }];
  const commands: Command[] = [
    { op: 'start', task: task.task, attempt: task.attempt },
    { op: 'stop', task: task.task, attempt: task.attempt, graceS: 2.5 },
    { op: 'forget', task: task.task, attempt: task.attempt },
  ];
  const messages: PeerMessage[] = [
    {
      kind: 'hello',
      node: 'berth-1' as NodeId,
      leaderTerm: 9 as Revision,
      supportsDependencies: true,
      supportsForwarding: true,
      supportsConfigDocuments: true,
    },
    { kind: 'user-request', id: 5, request: { op: 'submit', spec: job('run-1', { tasks: 3 }) } },
    { kind: 'user-request', id: 6, request: { op: 'cancel', id: 'run-1' as JobId } },
    {
      kind: 'user-response',
      id: 5,
      response: { kind: 'status', id: 'run-1' as JobId, status: 'running', done: 1, running: 2 },
    },
    {
      kind: 'user-response',
      id: 5,
      response: {
        kind: 'status',
        id: 'run-1' as JobId,
        status: 'queued',
        done: 1,
        running: 0,
        reason: 'why',
      },
    },
    {
      kind: 'user-response',
      id: 6,
      response: { kind: 'retry', afterS: 1.5, reason: 'busy', overload: true },
    },
    { kind: 'user-response', id: 7, response: null },
    {
      kind: 'relayed-heartbeat-response',
      id: 8,
      response: { kind: 'commands', fencingToken: 9 as FencingToken, commands: [] },
    },
    { kind: 'relayed-heartbeat-response', id: 9, response: null },
    {
      kind: 'load',
      level: 2,
      afterS: 3.5,
      workers: 900,
      backlogS: 1.5,
      memoryShort: true,
      configRevision: 40 as Revision,
      leaderTerm: 39 as Revision,
    },
    { kind: 'forwarded-heartbeat', id: 10, heartbeat: { kind: 'full', heartbeat: report } },
    {
      kind: 'forwarded-heartbeat',
      id: 11,
      heartbeat: { ...short, ...none, preemptionNoticeS: null, kind: 'delta', baseSeq: 87 },
    },
    {
      kind: 'forwarded-heartbeat',
      id: 12,
      heartbeat: { ...short, preemptionNoticeS: 7.5, kind: 'delta', baseSeq: 86, removed: [0, 2], changed },
    },
    {
      kind: 'forwarded-heartbeat-response',
      id: 10,
      response: { kind: 'commands', fencingToken: 41 as FencingToken, commands },
    },
    { kind: 'forwarded-heartbeat-response', id: 11, response: { kind: 'redirect', node: null } },
    { kind: 'forwarded-heartbeat-response', id: 12, response: { kind: 'full-heartbeat-required' } },
    { kind: 'forwarded-heartbeat-response', id: 13, response: null },
  ];
  const decoder = new PeerDecoder();
  const bytes = Buffer.concat(messages.map(encodePeerMessage));
  assert.deepEqual(
    [...bytes].flatMap((b) => decoder.feed(Buffer.from([b]))),
    messages,
  );
  // Reports are told from all else without being decoded.
  for (const m of messages)
    assert.equal(isForwardedHeartbeat(encodePeerMessage(m).subarray(4)), m.kind === 'forwarded-heartbeat');
});

const platform = {
  node: 'n',
  location: 'z',
  bind: '10.0.0.1:80',
  internal_addr: '10.0.0.1:81',
  outside: { cloud: '10.0.0.2:1', state: '10.0.0.3:1' },
  params: {
    teams: [{ name: 't' }],
    workers: { report_s: 1, lease_s: 10, gang_wait_s: 30, gang_peer_s: 4, cancel_s: 40 },
    state: { rps: 10, write_rps: 5, value_kb: 8, txn_ops: 24 },
    cloud: { rps: 1, list_lag_s: 1 },
    newer: true,
  },
};

test('settings: unknown fields are ignored, a bad one is named with its file in one line', () => {
  assert.equal(parseSettings('s.json', JSON.stringify(platform)).workers.leaseS, 10);
  const bad = structuredClone(platform) as { params: { workers: { lease_s: unknown } } };
  bad.params.workers.lease_s = 'long';
  assert.throws(
    () => parseSettings('s.json', JSON.stringify(bad)),
    /^Error: s\.json: params\.workers\.lease_s: [^\n]+$/,
  );
  assert.throws(() => parseSettings('s.json', '{'), /s\.json: not JSON/);
});

test('limits that come later are kept from the start, each that is named; a bad one is an error with its path', () => {
  const withNext = (next: unknown) => {
    const { state } = platform.params;
    return JSON.stringify({ ...platform, params: { ...platform.params, state: { ...state, next } } });
  };
  const now = { requestsPerS: 10, writesPerS: 5, maxValueKb: 8, maxTransactionOps: 24 };
  for (const none of [undefined, null, {}])
    assert.deepEqual(parseSettings('s.json', withNext(none)).store, now);
  const s = parseSettings('s.json', withNext({ write_rps: 3, value_kb: 2, rps: 99 }));
  assert.deepEqual(s.store, { ...now, writesPerS: 3, maxValueKb: 2 });
  assert.equal(s.currentWritesPerS, 5);
  assert.throws(
    () => parseSettings('s.json', withNext({ txn_ops: 1.5 })),
    /^Error: s\.json: params\.state\.next\.txn_ops: [^\n]+$/,
  );
});

test("operators' settings: defaults from one place, unknown names and bad values refused", () => {
  assert.deepEqual(readOptions('o.hcl', {}), defaults());
  assert.equal(readOptions('o.hcl', { dispatch: [{ threshold: 4 }] }).threshold, 4);
  assert.throws(
    () => readOptions('o.hcl', { dispatch: [{ treshold: 4 }] }),
    /o\.hcl: dispatch\.treshold: unknown name/,
  );
  assert.throws(
    () => readOptions('o.hcl', { dispatch: [{ threshold: 0 }] }),
    /o\.hcl: dispatch\.threshold: /,
  );
});
