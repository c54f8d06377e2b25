// The log of invalid messages says which field is wrong, and does not grow with the number of the senders.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { InvalidMessageError } from '../src/protocol/json-fields.ts';
import { InvalidMessageLog } from '../src/runtime/invalid-message-log.ts';

describe('the log of invalid messages', () => {
  it('names the field at once, then at most every 10 s with the number of messages, for each source', () => {
    const lines: unknown[] = [];
    let now = 0;
    const invalidMessages = new InvalidMessageLog(
      (level, message, fields) => lines.push([level, message, fields]),
      () => now,
    );
    const error = new InvalidMessageError('try must be a whole number');
    for (; now < 10_000; now += 100) invalidMessages.record('worker heartbeat', error);
    invalidMessages.record('store reply', new SyntaxError('not JSON'));
    invalidMessages.record('worker heartbeat', error);
    const reason = 'try must be a whole number';
    assert.deepEqual(lines, [
      ['info', 'invalid message', { source: 'worker heartbeat', reason, count: 1 }],
      ['info', 'invalid message', { source: 'store reply', reason: 'SyntaxError: not JSON', count: 1 }],
      ['info', 'invalid message', { source: 'worker heartbeat', reason, count: 100 }],
    ]);
  });
});
