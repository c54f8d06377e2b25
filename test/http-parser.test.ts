import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HttpParseError, HttpParser } from '../src/http/parser.ts';

const request =
  'POST /work HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhelloGET /ready HTTP/1.1\r\nHost: a\r\n\r\n';

function refused(text: string): number {
  try {
    new HttpParser('request', 64).feed(Buffer.from(text));
  } catch (e) {
    assert.ok(e instanceof HttpParseError);
    return e.status;
  }
  return 0;
}

test('requests fed byte by byte come out whole and in order', () => {
  const parser = new HttpParser('request', 64);
  const seen = [...Buffer.from(request)].flatMap((b) => parser.feed(Buffer.from([b])));
  assert.deepEqual(
    seen.map((m) => [m.method, m.target, m.body.toString()]),
    [
      ['POST', '/work', 'hello'],
      ['GET', '/ready', ''],
    ],
  );
  assert.equal(parser.midMessage, false);
});

test('a sender that waits to be told to go on is told once, and only when its body is still to come', () => {
  const head = 'POST /work HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n';
  const parser = new HttpParser('request', 64);
  assert.deepEqual(parser.feed(Buffer.from(head)), []);
  assert.deepEqual([parser.takeContinue(), parser.takeContinue()], [true, false]);
  assert.equal(parser.feed(Buffer.from('hello'))[0]?.body.toString(), 'hello');
  assert.equal(parser.feed(Buffer.from(`${head}hello`)).length, 1);
  assert.equal(parser.takeContinue(), false);
  // What would be refused anyway is refused by the head: the body is never asked for.
  assert.equal(refused('POST /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 65\r\n\r\n'), 413);
  assert.equal(refused('POST /a HTTP/1.1\r\nExpect: 200-ok\r\nContent-Length: 5\r\n\r\n'), 417);
});

test('a chunked body arrives in one piece, whatever the cuts', () => {
  const text = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n4;x=1\r\ndefg\r\n0\r\n\r\n';
  for (let cut = 1; cut < text.length; cut++) {
    const parser = new HttpParser('response', 64);
    const seen = [
      ...parser.feed(Buffer.from(text.slice(0, cut))),
      ...parser.feed(Buffer.from(text.slice(cut))),
    ];
    assert.deepEqual(
      seen.map((m) => m.body.toString()),
      ['abcdefg'],
    );
  }
});

test('a body without a length ends with the connection', () => {
  const parser = new HttpParser('response', 64);
  assert.deepEqual(parser.feed(Buffer.from('HTTP/1.1 200 OK\r\n\r\nab')), []);
  assert.equal(parser.end()?.body.toString(), 'ab');
});

test('broken messages are refused, too large ones by their own status', () => {
  assert.equal(refused('nonsense\r\n\r\n'), 400);
  assert.equal(refused('GET /a HTTP/2.0\r\n\r\n'), 400);
  assert.equal(refused('POST /a HTTP/1.1\r\nContent-Length: x\r\n\r\n'), 400);
  assert.equal(refused('POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n'), 400);
  assert.equal(refused('POST /a HTTP/1.1\r\nContent-Length: 65\r\n\r\n'), 413);
  assert.equal(refused(`GET /a HTTP/1.1\r\nX: ${'y'.repeat(17_000)}\r\n\r\n`), 431);
});
