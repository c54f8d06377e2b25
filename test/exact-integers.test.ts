// Counts, versions, tokens and attempts are integers smaller than 2^64. Numbers hold them exactly up to 2^53
// only: these tests guard against values that are refused, or rounded on their way through the program.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Command, Heartbeat, PeerMessage, StoreRequest } from '../src/core/base/model.ts';
import type { HttpMessage } from '../src/http/parser.ts';
import { decodeReply } from '../src/protocol/http-call.ts';
import { encodePeerMessage, PeerDecoder } from '../src/protocol/peer.ts';
import { decodeStoreReply, encodeStoreRequest } from '../src/protocol/store.ts';
import type { HttpResponse } from '../src/protocol/user-response.ts';
import { encodeCommands, encodeHeartbeatResponse } from '../src/protocol/worker.ts';
import { createHandler } from './support/http-handler.ts';

/** Integers around the limits of 53, 63 and 64 bits, and ones that numbers round in either direction. */
const INTEGERS = [
  1n,
  2n ** 53n - 1n,
  2n ** 53n,
  2n ** 53n + 1n,
  2n ** 53n + 3n,
  12_345_678_901_234_567n,
  2n ** 63n - 1n,
  2n ** 63n,
  2n ** 63n + 1n,
  2n ** 64n - 1n,
];
const OUT_OF_RANGE = ['18446744073709551616', '1e20', '-1', '1.5', '"7"', 'null', '1e400'];

/** The integer as the core holds it: a number where that is exact, so that equal values are identical. */
const held = (value: bigint): number | bigint =>
  value <= BigInt(Number.MAX_SAFE_INTEGER) ? Number(value) : value;

const heartbeatJson = (fields: Record<string, string>): string => {
  const { shift = '1', tally = '1', baton = '1', attempt = '1' } = fields;
  return (
    `{"berth":"i-1","endpoint":"10.1.0.1:9000","berthkind":"g8","yard":"a","loaners":false,` +
    `"shift":${shift},"tally":${tally},"baton":${baton},"recallS":null,` +
    `"pieces":[{"piece":"run-1/0","try":${attempt},"status":"running"}]}`
  );
};

/** Sends a heartbeat with this body to a controller's HTTP handler. */
function receiveHeartbeat(body: string): { heartbeat: Heartbeat | null; response: HttpResponse | null } {
  const { router, inputs } = createHandler();
  let response: HttpResponse | null = null;
  const request = { method: 'POST', target: '/checkin', body: Buffer.from(body) } as HttpMessage;
  router.handle(request, (answer) => {
    response = answer;
  });
  const [input] = inputs;
  return { heartbeat: input?.kind === 'heartbeat' ? input.heartbeat : null, response };
}

const storeReply = (request: StoreRequest, body: string) =>
  decodeReply({ status: 200, body: Buffer.from(body) }, (status, json) =>
    decodeStoreReply(request, status, json),
  );

const overPeerLink = (message: PeerMessage): PeerMessage =>
  new PeerDecoder().feed(encodePeerMessage(message))[0]!;

describe('integers of 64 bits', () => {
  it('are read exactly from a heartbeat, and sent exactly in commands', () => {
    for (const value of INTEGERS) {
      const digits = String(value);
      const body = heartbeatJson({ shift: digits, tally: digits, baton: digits, attempt: digits });
      const { heartbeat } = receiveHeartbeat(body);
      assert.ok(heartbeat !== null, `${digits} is refused`);
      assert.equal(heartbeat.agentEpoch, held(value));
      assert.equal(heartbeat.seq, held(value));
      assert.equal(heartbeat.fencingToken, held(value));
      const { task, attempt } = heartbeat.tasks[0]!;
      assert.equal(attempt, held(value));
      const { fencingToken, agentEpoch } = heartbeat;
      const commands: Command[] = [{ op: 'forget', task, attempt }];
      const response = encodeHeartbeatResponse({ kind: 'commands', fencingToken, commands });
      const expected = `{"baton":${digits},"orders":[{"verb":"reap","piece":"run-1/0","try":${digits}}]}`;
      assert.deepEqual(response, { status: 200, body: expected });
      assert.equal(
        encodeCommands(fencingToken, [], agentEpoch),
        `{"baton":${digits},"shift":${digits},"orders":[]}`,
      );
    }
  });

  it('are refused in a heartbeat if they are out of range, by the name of the field', () => {
    const wireNames = { shift: 'shift', tally: 'tally', baton: 'baton', attempt: 'try' };
    for (const [field, wireName] of Object.entries(wireNames))
      for (const value of OUT_OF_RANGE) {
        const { heartbeat, response } = receiveHeartbeat(heartbeatJson({ [field]: value }));
        assert.equal(heartbeat, null, `${wireName} ${value} is accepted`);
        assert.equal(response?.status, 400);
        const { error } = JSON.parse(response!.body);
        assert.match(
          error,
          new RegExp(`^${wireName} must be a whole number from [01] to 18446744073709551615$`),
        );
      }
    assert.equal(receiveHeartbeat(heartbeatJson({ shift: '0' })).response?.status, 400);
  });

  it('are read exactly from the store, and sent back exactly in conditions, watches and leases', () => {
    for (const value of INTEGERS) {
      const digits = String(value);
      const revision = held(value) as never;
      const get: StoreRequest = { kind: 'get', key: 'a' };
      const stored = { term: held(value) };
      assert.deepEqual(storeReply(get, `{"key":"a","v":{"term":${digits}},"stamp":${digits}}`), {
        kind: 'item',
        item: { key: 'a', value: stored, revision },
      });
      const list: StoreRequest = { kind: 'list', prefix: 'a', after: null };
      assert.deepEqual(storeReply(list, `{"items":[],"more":false,"ledger":${digits}}`), {
        kind: 'items',
        items: [],
        more: false,
        revision,
      });
      const watch: StoreRequest = { kind: 'watch', prefix: 'a', after: revision, waitMs: 1 };
      const events = `[{"set":"a","v":0,"stamp":${digits}},{"drop":"b","stamp":${digits}}]`;
      assert.deepEqual(storeReply(watch, `{"ledger":${digits},"events":${events}}`), {
        kind: 'changes',
        revision,
        puts: [{ key: 'a', value: 0, revision }],
        deletes: ['b'],
      });
      assert.equal(encodeStoreRequest(watch).path, `/changes?prefix=a&from=${digits}&blockMs=1`);
      const grant: StoreRequest = { kind: 'grant-lease', ttlMs: 1000 };
      assert.deepEqual(storeReply(grant, `{"tenancy":${digits}}`), {
        kind: 'lease-granted',
        lease: revision,
      });
      const renewal = encodeStoreRequest({ kind: 'renew-lease', lease: revision });
      assert.equal(renewal.path, `/holds/${digits}/extend`);
      const write: StoreRequest = {
        kind: 'compare-and-swap',
        conditions: [{ key: 'a', revision }],
        puts: [{ key: 'a', value: stored, lease: revision }],
        deletes: [],
      };
      assert.deepEqual(storeReply(write, `{"ledger":${digits}}`), { kind: 'committed', revision });
      assert.equal(
        encodeStoreRequest(write).body,
        `{"if":[{"key":"a","stamp":${digits}}],"apply":[{"set":"a","v":{"term":${digits}},"tenancy":${digits}}]}`,
      );
    }
  });

  it('make a reply of the store invalid if they are out of range; the error names the field', () => {
    const errors: string[] = [];
    const decode = (request: StoreRequest, body: string) =>
      decodeReply(
        { status: 200, body: Buffer.from(body) },
        (status, json) => decodeStoreReply(request, status, json),
        (error) => errors.push((error as Error).message),
      );
    for (const value of OUT_OF_RANGE) {
      errors.length = 0;
      const grant: StoreRequest = { kind: 'grant-lease', ttlMs: 1000 };
      assert.equal(decode({ kind: 'get', key: 'a' }, `{"key":"a","v":1,"stamp":${value}}`).kind, 'no-answer');
      assert.equal(decode(grant, `{"tenancy":${value}}`).kind, 'no-answer');
      const write: StoreRequest = { kind: 'compare-and-swap', conditions: [], puts: [], deletes: [] };
      assert.equal(decode(write, `{"ledger":${value}}`).kind, 'no-answer');
      const fields = errors.map((error) => error.split(' ', 1)[0]);
      assert.deepEqual(fields, ['stamp', 'tenancy', 'ledger'], `${value}: ${errors}`);
    }
  });

  it('pass exactly from one controller to another', () => {
    for (const value of INTEGERS) {
      const number = held(value) as never;
      const { heartbeat } = receiveHeartbeat(
        heartbeatJson({ shift: `${value}`, tally: `${value}`, baton: `${value}`, attempt: `${value}` }),
      );
      const { machine, agentEpoch, seq, fencingToken, preemptionNoticeS, tasks } = heartbeat!;
      const start: Command = { op: 'start', task: tasks[0]!.task, attempt: number };
      const response = { kind: 'commands' as const, fencingToken, commands: [start] };
      const load = { level: 0 as const, afterS: 1, workers: 1, backlogS: 0, memoryShort: false };
      const delta = { kind: 'delta' as const, machine, agentEpoch, seq, fencingToken, preemptionNoticeS };
      const messages: PeerMessage[] = [
        { kind: 'relayed-heartbeat', id: 1, heartbeat: heartbeat! },
        { kind: 'relayed-heartbeat-response', id: 1, response },
        { kind: 'forwarded-heartbeat', id: 1, heartbeat: { kind: 'full', heartbeat: heartbeat! } },
        {
          kind: 'forwarded-heartbeat',
          id: 1,
          heartbeat: { ...delta, baseSeq: number, removed: [], changed: [{ at: 0, task: tasks[0]! }] },
        },
        { kind: 'forwarded-heartbeat-response', id: 1, response },
        { kind: 'load', ...load, configRevision: number, leaderTerm: number },
        {
          kind: 'hello',
          node: 'node-1' as never,
          leaderTerm: number,
          supportsDependencies: true,
          supportsForwarding: true,
          supportsConfigDocuments: true,
        },
      ];
      for (const message of messages) assert.deepEqual(overPeerLink(message), message);
    }
  });
});
