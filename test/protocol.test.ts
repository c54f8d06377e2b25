// Protocol codecs and settings files: validation, ignored fields, and round trips of encoding and decoding.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
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
  MachineTypeName,
  NodeId,
  Revision,
  StoreLeaseId,
  TaskId,
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

describe('a submitted job', () => {
  it('is decoded in full; unknown fields are ignored, and nullable fields may be left out', () => {
    const { yard: _, ...withoutZone } = { ...wireJob, colour: 'red' };
    const spec = parseJob(withoutZone);
    assert.equal(spec.kind, 'gang');
    assert.equal(spec.priority, 2);
    assert.equal(spec.zone, null);
    assert.deepEqual(spec.machineTypes, ['g8']);
  });

  it('is refused if a field is missing or invalid; the error begins with the name of the field', () => {
    const invalid: [string, unknown][] = [
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
    for (const [field, value] of invalid)
      assert.throws(
        () => parseJob({ ...wireJob, [field]: value }),
        (error: Error) => error instanceof InvalidMessageError && error.message.startsWith(field),
        `${field}=${String(value)}`,
      );
    assert.throws(() => parseJob([]), InvalidMessageError);
  });

  it('lists each dependency once; without dependencies its specification has no such field', () => {
    for (const none of [{}, { awaits: null }, { awaits: [] }])
      assert.deepEqual(parseJob({ ...wireJob, ...none }), parseJob(wireJob));
    assert.equal('dependsOn' in parseJob(wireJob), false);
    assert.deepEqual(parseJob({ ...wireJob, awaits: ['run-1', 'run-2', 'run-1'] }).dependsOn, [
      'run-1',
      'run-2',
    ]);
  });
});

describe('a response to a user', () => {
  it('that asks for a retry has a Retry-After header in whole seconds', () => {
    const response = encodeUserResponse({ kind: 'retry', afterS: 1.2, reason: 'later', overload: false });
    assert.equal(response.status, 503);
    assert.match(formatResponse(response, true), /^HTTP\/1\.1 503 .*\r\n(.*\r\n)*Retry-After: 2\r\n/);
    assert.equal(encodeUserResponse({ kind: 'retry', afterS: 1, reason: '', overload: true }).status, 429);
  });
});

describe('the worker protocol', () => {
  it('decodes heartbeats and encodes commands with the field names of the wire format', () => {
    const heartbeat = parseHeartbeat({
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
    assert.deepEqual(heartbeat.tasks, [
      { task: 'run-1/0', attempt: 3, state: 'exited', exitReason: 'stopped', checkpointed: true },
    ]);
    const response = encodeHeartbeatResponse({
      kind: 'commands',
      fencingToken: 41 as FencingToken,
      commands: [{ op: 'stop', task: 'run-1/0' as TaskId, attempt: 3 as Attempt, graceS: 4 }],
    });
    assert.deepEqual(JSON.parse(response.body), {
      baton: 41,
      orders: [{ verb: 'kill', piece: 'run-1/0', try: 3, windownS: 4 }],
    });
    assert.deepEqual(encodeHeartbeatResponse({ kind: 'redirect', node: 'berth-2' as NodeId }), {
      status: 421,
      body: '{"foreman":"berth-2"}',
    });
  });
});

describe('the store protocol', () => {
  it('encodes transactions, and distinguishes conflicts from refusals because of load or a fault', () => {
    const request: StoreRequest = {
      kind: 'compare-and-swap',
      conditions: [{ key: 'a', revision: 0 as Revision }],
      puts: [{ key: 'a', value: 1, lease: 7 as StoreLeaseId }],
      deletes: ['b'],
    };
    assert.deepEqual(JSON.parse(encodeStoreRequest(request).body ?? ''), {
      if: [{ key: 'a', stamp: 0 }],
      apply: [{ set: 'a', v: 1, tenancy: 7 }, { drop: 'b' }],
    });
    assert.deepEqual(decodeStoreReply(request, 409, { failed: ['a'], ledger: 3 }), {
      kind: 'conflict',
      failed: ['a'],
    });
    assert.deepEqual(decodeStoreReply(request, 429, {}), { kind: 'refused', busy: true });
    assert.deepEqual(decodeStoreReply(request, 503, {}), { kind: 'refused', busy: false });
    const conditionsOnly = encodeStoreRequest({ ...request, puts: [], deletes: [] });
    assert.equal('apply' in JSON.parse(conditionsOnly.body ?? ''), false);
  });
});

describe('the cloud protocol', () => {
  it('distinguishes a cloud without capacity from a failing cloud', () => {
    const request = { kind: 'list' as const, after: null };
    assert.deepEqual(decodeCloudReply(request, 503, { error: 'no capacity' }), { kind: 'no-capacity' });
    assert.deepEqual(decodeCloudReply(request, 503, { error: 'trouble' }), { kind: 'refused', busy: false });
  });
});

describe('the peer protocol', () => {
  const identity = {
    machine: 'i-1' as MachineId,
    agentEpoch: 2,
    seq: 88,
    fencingToken: 41 as FencingToken,
  };
  const task = { task: 'run-1/3' as TaskId, attempt: (41 * 2 ** 24 + 5) as Attempt, checkpointed: false };
  const heartbeat: Heartbeat = {
    ...identity,
    addr: '10.1.0.1:9000',
    type: 'box' as MachineTypeName,
    zone: 'north' as ZoneName,
    spot: true,
    preemptionNoticeS: 4,
    tasks: [
      { ...task, state: 'running', exitReason: null },
      { ...task, state: 'exited', exitReason: 'no_room' },
    ],
  };
  const unchanged = { removed: [], changed: [] };
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
    { kind: 'forwarded-heartbeat', id: 10, heartbeat: { kind: 'full', heartbeat } },
    {
      kind: 'forwarded-heartbeat',
      id: 11,
      heartbeat: { ...identity, ...unchanged, preemptionNoticeS: null, kind: 'delta', baseSeq: 87 },
    },
    {
      kind: 'forwarded-heartbeat',
      id: 12,
      heartbeat: {
        ...identity,
        preemptionNoticeS: 7.5,
        kind: 'delta',
        baseSeq: 86,
        removed: [0, 2],
        changed,
      },
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

  it('decodes messages received byte by byte, and detects forwarded heartbeats by their first byte', () => {
    const decoder = new PeerDecoder();
    const bytes = Buffer.concat(messages.map(encodePeerMessage));
    assert.deepEqual(
      [...bytes].flatMap((byte) => decoder.feed(Buffer.from([byte]))),
      messages,
    );
    for (const message of messages) {
      const frameBody = encodePeerMessage(message).subarray(4);
      assert.equal(isForwardedHeartbeat(frameBody), message.kind === 'forwarded-heartbeat');
    }
  });
});

const settingsFile = {
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

describe('a settings file', () => {
  it('may have unknown fields; the error for an invalid field names file and field in one line', () => {
    assert.equal(parseSettings('s.json', JSON.stringify(settingsFile)).workers.leaseS, 10);
    const invalid = structuredClone(settingsFile) as { params: { workers: { lease_s: unknown } } };
    invalid.params.workers.lease_s = 'long';
    assert.throws(
      () => parseSettings('s.json', JSON.stringify(invalid)),
      /^Error: s\.json: params\.workers\.lease_s: [^\n]+$/,
    );
    assert.throws(() => parseSettings('s.json', '{'), /s\.json: not JSON/);
  });

  it('may announce store limits, which apply at once if lower; the error for an invalid one names it', () => {
    const withNext = (next: unknown) => {
      const { state } = settingsFile.params;
      return JSON.stringify({
        ...settingsFile,
        params: { ...settingsFile.params, state: { ...state, next } },
      });
    };
    const currentLimits = { requestsPerS: 10, writesPerS: 5, maxValueKb: 8, maxTransactionOps: 24 };
    for (const none of [undefined, null, {}])
      assert.deepEqual(parseSettings('s.json', withNext(none)).store, currentLimits);
    const settings = parseSettings('s.json', withNext({ write_rps: 3, value_kb: 2, rps: 99 }));
    assert.deepEqual(settings.store, { ...currentLimits, writesPerS: 3, maxValueKb: 2 });
    assert.equal(settings.currentWritesPerS, 5);
    assert.throws(
      () => parseSettings('s.json', withNext({ txn_ops: 1.5 })),
      /^Error: s\.json: params\.state\.next\.txn_ops: [^\n]+$/,
    );
  });
});

describe("the operators' settings", () => {
  it('have the built-in defaults if the file sets none; unknown names and invalid values are refused', () => {
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
});
