// What proves that a change of the sources leaves behaviour alone: digests of drawn histories, and records
// and messages as version 0.9.0 writes them.
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

/** Of the seeds that `npm run behaviour` checks, those that every test run does. */
const SEEDS = ['1', '2', '3'];

interface Golden {
  stored: string[];
  afterReading: { digest: string; messages: number };
  peer: string[];
}
const golden = fixture('golden-0.9.0.json') as Golden;

describe('digest of behaviour', () => {
  const kept = fixture('behaviour-digests.json') as Record<string, string>;

  for (const seed of SEEDS)
    it(`is the one that was kept for the histories of seed ${seed}`, () => {
      assert.equal(digestOfSeed(Number(seed)), kept[seed]);
    });

  it('covers twenty seeds', () => {
    assert.equal(Object.keys(kept).length, 20);
  });

  it('sees one changed byte, two messages in another order, another time and another sender', () => {
    const messages: { nowMs: number; node: string; bytes: Buffer }[] = [];
    listenToHistory(drawHistories(1)[0]!, (nowMs, node, bytes) => messages.push({ nowMs, node, bytes }));
    const digest = (): string => {
      const d = new BehaviourDigest();
      for (const m of messages) d.add(m.nowMs, m.node, m.bytes);
      return d.hex();
    };
    const whole = digest();
    const middle = Math.floor(messages.length / 2);
    const changes: ((m: { nowMs: number; node: string; bytes: Buffer }) => object)[] = [
      (m) => ({ ...m, bytes: Buffer.from(m.bytes.map((b, i) => (i === m.bytes.length - 1 ? b ^ 1 : b))) }),
      (m) => ({ ...m, nowMs: m.nowMs + 1 }),
      (m) => ({ ...m, node: `${m.node}0` }),
    ];
    for (const change of changes) {
      const before = messages[middle]!;
      messages[middle] = { ...before, ...change(before) };
      assert.notEqual(digest(), whole);
      messages[middle] = before;
    }
    const at = messages.findIndex((m, i) => i >= middle && !m.bytes.equals(messages[i + 1]!.bytes));
    messages.splice(at, 2, messages[at + 1]!, messages[at]!);
    assert.notEqual(digest(), whole);
  });

  it('sees one more random draw in a controller', () => {
    const play = (drawsMore: boolean): string => {
      const digest = new BehaviourDigest();
      const world = new SimulatedWorld(
        {},
        undefined,
        encoding((nowMs, node, bytes) => digest.add(nowMs, node, bytes)),
      );
      world.run(4);
      const leader = world.nodes.get(world.owner!)! as unknown as {
        io: { random: ReturnType<typeof seededRandom> };
      };
      if (drawsMore) leader.io.random.below(2);
      for (let i = 0; i < 30; i++) world.submit(job(`run-${i}`));
      world.run(30);
      return digest.hex();
    };
    assert.equal(play(false), play(false));
    assert.notEqual(play(true), play(false));
  });
});

describe('golden bytes of version 0.9.0', () => {
  it('holds every kind of record', () => {
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

  it('are what is written to the key-value store', () => {
    assert.deepEqual(writeEveryKindOfRecord(), golden.stored);
  });

  it('are read as they were: new controllers that begin with these records send the same', () => {
    assert.deepEqual(digestAfterReading(golden.stored), golden.afterReading);
  });

  it('are what controllers send to each other, and are read and written again byte for byte', () => {
    const frames = PEER_MESSAGES.map((m) => encodePeerMessage(m).toString('hex'));
    assert.deepEqual(frames, golden.peer);
    for (const frame of golden.peer) {
      const message = decodePeerMessage(Buffer.from(frame, 'hex').subarray(4));
      assert.notEqual(message, null);
      assert.equal(encodePeerMessage(message!).toString('hex'), frame);
    }
  });
});
