// Tests of the HTTP message parser: split input, body framing, refused messages.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { HttpParseError, HttpParser } from '../src/http/parser.ts';

const MAX_BODY = 64;

/** The status with which the parser refuses a request, 0 if it accepts it. */
function refusalStatus(text: string): number {
  try {
    new HttpParser('request', MAX_BODY).feed(Buffer.from(text));
  } catch (error) {
    assert.ok(error instanceof HttpParseError);
    return error.status;
  }
  return 0;
}

describe('the HTTP parser', () => {
  it('reads requests byte by byte, complete and in order', () => {
    const requests =
      'POST /work HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhelloGET /ready HTTP/1.1\r\nHost: a\r\n\r\n';
    const parser = new HttpParser('request', MAX_BODY);
    const messages = [...Buffer.from(requests)].flatMap((byte) => parser.feed(Buffer.from([byte])));
    assert.deepEqual(
      messages.map((message) => [message.method, message.target, message.body.toString()]),
      [
        ['POST', '/work', 'hello'],
        ['GET', '/ready', ''],
      ],
    );
    assert.equal(parser.isMidMessage, false);
  });

  it('reports an expected 100 Continue once, and only before the body has arrived', () => {
    const head = 'POST /work HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n';
    const parser = new HttpParser('request', MAX_BODY);
    assert.deepEqual(parser.feed(Buffer.from(head)), []);
    assert.deepEqual([parser.takeExpectsContinue(), parser.takeExpectsContinue()], [true, false]);
    assert.equal(parser.feed(Buffer.from('hello'))[0]?.body.toString(), 'hello');
    assert.equal(parser.feed(Buffer.from(`${head}hello`)).length, 1);
    assert.equal(parser.takeExpectsContinue(), false);
    // A request that is refused because of its head must not get `100 Continue`, as its body would be
    // discarded.
    assert.equal(
      refusalStatus('POST /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 65\r\n\r\n'),
      413,
    );
    assert.equal(refusalStatus('POST /a HTTP/1.1\r\nExpect: 200-ok\r\nContent-Length: 5\r\n\r\n'), 417);
  });

  it('joins the chunks of a body, wherever the stream is split', () => {
    const text =
      'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n4;x=1\r\ndefg\r\n0\r\n\r\n';
    for (let cut = 1; cut < text.length; cut++) {
      const parser = new HttpParser('response', MAX_BODY);
      const messages = [
        ...parser.feed(Buffer.from(text.slice(0, cut))),
        ...parser.feed(Buffer.from(text.slice(cut))),
      ];
      assert.deepEqual(
        messages.map((message) => message.body.toString()),
        ['abcdefg'],
      );
    }
  });

  it('reads a body without a length until the connection closes', () => {
    const parser = new HttpParser('response', MAX_BODY);
    assert.deepEqual(parser.feed(Buffer.from('HTTP/1.1 200 OK\r\n\r\nab')), []);
    assert.equal(parser.end()?.body.toString(), 'ab');
  });

  it('refuses invalid and too large messages with the status of each error', () => {
    assert.equal(refusalStatus('nonsense\r\n\r\n'), 400);
    assert.equal(refusalStatus('GET /a HTTP/2.0\r\n\r\n'), 400);
    assert.equal(refusalStatus('POST /a HTTP/1.1\r\nContent-Length: x\r\n\r\n'), 400);
    assert.equal(refusalStatus('POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n'), 400);
    assert.equal(refusalStatus('POST /a HTTP/1.1\r\nContent-Length: 65\r\n\r\n'), 413);
    assert.equal(refusalStatus(`GET /a HTTP/1.1\r\nX: ${'y'.repeat(17_000)}\r\n\r\n`), 431);
  });
});
