// A digest of everything that controllers send while drawn histories of concurrent faults are played. Two
// versions of the sources with equal digests behave alike: same bytes, same order, same simulated times, same
// random draws.
import { createHash, type Hash } from 'node:crypto';
import fc from 'fast-check';
import type { Effect } from '../../src/core/base/io.ts';
import { encodeCloudRequest } from '../../src/protocol/cloud.ts';
import { encodePeerMessage } from '../../src/protocol/peer.ts';
import { encodeStoreRequest } from '../../src/protocol/store.ts';
import { encodeUserResponse } from '../../src/protocol/user-response.ts';
import { encodeCommands, encodeHeartbeatResponse } from '../../src/protocol/worker.ts';
import { stringifyJson } from '../../src/types/exact-json.ts';
import { type History, HistoryPlayer, historyArbitrary, SAMPLING } from './fault-history.ts';
import type { EffectListener, SimulatedWorld } from './simulated-world.ts';

/** Histories drawn from each seed. */
const HISTORIES_PER_SEED = 4;

/** Encodes an effect as it is sent by its controller; null for log lines, which do not affect behaviour. */
export function encodeEffect(effect: Effect): Buffer | null {
  switch (effect.kind) {
    case 'store':
      return Buffer.from(stringifyJson(['state', encodeStoreRequest(effect.request), effect.timeoutMs]));
    case 'cloud':
      return Buffer.from(stringifyJson(['cloud', encodeCloudRequest(effect.request), effect.timeoutMs]));
    case 'probe': {
      const body = encodeCommands(effect.fencingToken, [], effect.agentEpoch);
      return Buffer.from(stringifyJson(['worker', effect.addr, body, effect.timeoutMs]));
    }
    case 'peer':
      return Buffer.concat([Buffer.from(`peer ${effect.node} `), encodePeerMessage(effect.message)]);
    case 'user-response':
      return Buffer.from(
        stringifyJson(['user-answer', effect.requestId, encodeUserResponse(effect.response)]),
      );
    case 'heartbeat-response':
      return Buffer.from(
        stringifyJson(['worker-answer', effect.requestId, encodeHeartbeatResponse(effect.response)]),
      );
    case 'log':
      return null;
  }
}

/** Digests a sequence of messages, each with its simulated time and its sender. */
export class BehaviourDigest {
  private readonly hash: Hash = createHash('sha256');
  /** Messages added so far. */
  messages = 0;

  /** Adds a message with its simulated time and its sender. */
  add(nowMs: number, node: string, bytes: Buffer): void {
    this.messages++;
    this.hash.update(`${nowMs} ${node} ${bytes.length}\n`);
    this.hash.update(bytes);
  }

  /** Returns the digest of all added messages; no message can be added afterwards. */
  hex(): string {
    return this.hash.digest('hex');
  }
}

/** Receives the encoded bytes of each message that a node sends, with its simulated time. */
export type MessageListener = (nowMs: number, node: string, bytes: Buffer) => void;

/** Draws the histories of a seed. */
export const drawHistories = (seed: number): History[] =>
  fc.sample(historyArbitrary, { ...SAMPLING, seed, numRuns: HISTORIES_PER_SEED });

/** Wraps a message listener as an effect listener that encodes each effect. */
export const encoding =
  (listener: MessageListener): EffectListener =>
  (nowMs, node, effect) => {
    const bytes = encodeEffect(effect);
    if (bytes !== null) listener(nowMs, node, bytes);
  };

/** Encodes the contents of the key-value store, in the order of the keys. */
export function storedBytes(world: SimulatedWorld): Buffer[] {
  const keys = [...world.state.entries.keys()].sort();
  return keys.map((key) => {
    const { value, revision } = world.state.entries.get(key)!;
    return Buffer.from(stringifyJson([key, revision, value]));
  });
}

/** Plays one history and passes each message to the listener, followed by the final contents of the store. */
export function listenToHistory(history: History, listener: MessageListener): void {
  const player = new HistoryPlayer(history, encoding(listener));
  player.play();
  for (const bytes of storedBytes(player.world)) listener(player.world.now, 'stored', bytes);
}

/** The digest of all histories drawn from a seed. */
export function digestOfSeed(seed: number): string {
  const digest = new BehaviourDigest();
  for (const history of drawHistories(seed))
    listenToHistory(history, (nowMs, node, bytes) => digest.add(nowMs, node, bytes));
  return digest.hex();
}
