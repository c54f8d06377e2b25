// Checks that a change of the sources leaves the behaviour as it is. Digests of random histories of faults
// are compared with stored digests, and records and messages with those that version 0.9.0 writes.
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { describe, it } from 'node:test';
import { decodePeerMessage, encodePeerMessage } from '../src/protocol/peer.ts';
import type { seededRandom } from '../src/runtime/random.ts';
import {
  BehaviourDigest,
  digestOfSeed,
  drawHistories,
  encoding,
  listenToHistory,
} from './support/behaviour-digest.ts';
import { digestAfterReading, PEER_MESSAGES, writeEveryKindOfRecord } from './support/golden-records.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

const fixture = (name: string): unknown =>
  JSON.parse(readFileSync(new URL(`./fixtures/${name}`, import.meta.url), 'utf8'));

/** The seeds that every test run checks, out of those that `npm run behaviour` checks. */
const SEEDS = ['1', '2', '3'];

interface Golden {
  stored: string[];
  afterReading: { digest: string; messages: number };
  peer: string[];
}
const golden = fixture('golden-0.9.0.json') as Golden;

describe('digest of behaviour', () => {
  const storedDigests = fixture('behaviour-digests.json') as Record<string, string>;

  for (const seed of SEEDS)
    it(`equals the stored digest for the histories of seed ${seed}`, () => {
      assert.equal(digestOfSeed(Number(seed)), storedDigests[seed]);
    });

  it('is stored for twenty seeds', () => {
    assert.equal(Object.keys(storedDigests).length, 20);
  });

  it('changes with one byte, the order of two messages, the time of a message or its sender', () => {
    const messages: { nowMs: number; node: string; bytes: Buffer }[] = [];
    listenToHistory(drawHistories(1)[0]!, (nowMs, node, bytes) => messages.push({ nowMs, node, bytes }));
    const digest = (): string => {
      const behaviour = new BehaviourDigest();
      for (const { nowMs, node, bytes } of messages) behaviour.add(nowMs, node, bytes);
      return behaviour.hex();
    };
    const original = digest();
    const middle = Math.floor(messages.length / 2);
    const changes: ((m: { nowMs: number; node: string; bytes: Buffer }) => object)[] = [
      (m) => ({ ...m, bytes: Buffer.from(m.bytes.map((b, i) => (i === m.bytes.length - 1 ? b ^ 1 : b))) }),
      (m) => ({ ...m, nowMs: m.nowMs + 1 }),
      (m) => ({ ...m, node: `${m.node}0` }),
    ];
    for (const change of changes) {
      const message = messages[middle]!;
      messages[middle] = { ...message, ...change(message) };
      assert.notEqual(digest(), original);
      messages[middle] = message;
    }
    const index = messages.findIndex((m, i) => i >= middle && !m.bytes.equals(messages[i + 1]!.bytes));
    messages.splice(index, 2, messages[index + 1]!, messages[index]!);
    assert.notEqual(digest(), original);
  });

  it('changes with one more random draw in a controller', () => {
    const play = (hasExtraDraw: boolean): string => {
      const digest = new BehaviourDigest();
      const world = new SimulatedWorld(
        {},
        undefined,
        encoding((nowMs, node, bytes) => digest.add(nowMs, node, bytes)),
      );
      world.run(4);
      const leader = world.nodes.get(world.leader!)! as unknown as {
        io: { random: ReturnType<typeof seededRandom> };
      };
      if (hasExtraDraw) leader.io.random.below(2);
      for (let i = 0; i < 30; i++) world.submit(job(`run-${i}`));
      world.run(30);
      return digest.hex();
    };
    assert.equal(play(false), play(false));
    assert.notEqual(play(true), play(false));
  });
});

describe('golden bytes of version 0.9.0', () => {
  it('hold a record of every kind', () => {
    const kinds = new Set(
      golden.stored.map((line) => (JSON.parse(line) as [string])[0].replace(/[^/]*$/, '')),
    );
    for (const kind of [
      'o/',
      'f/',
      'm/',
      'd/',
      't/',
      'u/',
      'share/',
      'config/',
      'config-history/',
      'config-status/',
    ])
      assert.ok(kinds.has(kind), kind);
    assert.ok(kinds.has('a/run-waiting/'));
  });

  it('equal the records that are written to the key-value store', () => {
    assert.deepEqual(writeEveryKindOfRecord(), golden.stored);
  });

  it('are read correctly: new controllers that start from these records send the expected messages', () => {
    assert.deepEqual(digestAfterReading(golden.stored), golden.afterReading);
  });

  it('equal the messages between controllers, and stay the same bytes after decoding and encoding', () => {
    const frames = PEER_MESSAGES.map((m) => encodePeerMessage(m).toString('hex'));
    assert.deepEqual(frames, golden.peer);
    for (const frame of golden.peer) {
      const message = decodePeerMessage(Buffer.from(frame, 'hex').subarray(4));
      assert.notEqual(message, null);
      assert.equal(encodePeerMessage(message!).toString('hex'), frame);
    }
  });
});
