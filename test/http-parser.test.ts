// The parser of HTTP messages: cuts of the stream, framing of bodies, refusals.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { HttpParseError, HttpParser } from '../src/http/parser.ts';

const MAX_BODY = 64;

/** The status with which a request is refused, 0 if it is not. */
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
    assert.equal(parser.midMessage, false);
  });

  it('reports an expected 100 Continue once, and only while the body is still to come', () => {
    const head = 'POST /work HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n';
    const parser = new HttpParser('request', MAX_BODY);
    assert.deepEqual(parser.feed(Buffer.from(head)), []);
    assert.deepEqual([parser.takeContinue(), parser.takeContinue()], [true, false]);
    assert.equal(parser.feed(Buffer.from('hello'))[0]?.body.toString(), 'hello');
    assert.equal(parser.feed(Buffer.from(`${head}hello`)).length, 1);
    assert.equal(parser.takeContinue(), false);
    // What would be refused anyway is refused by its head: the body is never asked for.
    assert.equal(
      refusalStatus('POST /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 65\r\n\r\n'),
      413,
    );
    assert.equal(refusalStatus('POST /a HTTP/1.1\r\nExpect: 200-ok\r\nContent-Length: 5\r\n\r\n'), 417);
  });

  it('joins the chunks of a body, wherever the stream is cut', () => {
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

  it('ends a body without a length with the connection', () => {
    const parser = new HttpParser('response', MAX_BODY);
    assert.deepEqual(parser.feed(Buffer.from('HTTP/1.1 200 OK\r\n\r\nab')), []);
    assert.equal(parser.end()?.body.toString(), 'ab');
  });

  it('refuses invalid messages, and those that are too large by their own status', () => {
    assert.equal(refusalStatus('nonsense\r\n\r\n'), 400);
    assert.equal(refusalStatus('GET /a HTTP/2.0\r\n\r\n'), 400);
    assert.equal(refusalStatus('POST /a HTTP/1.1\r\nContent-Length: x\r\n\r\n'), 400);
    assert.equal(refusalStatus('POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n'), 400);
    assert.equal(refusalStatus('POST /a HTTP/1.1\r\nContent-Length: 65\r\n\r\n'), 413);
    assert.equal(refusalStatus(`GET /a HTTP/1.1\r\nX: ${'y'.repeat(17_000)}\r\n\r\n`), 431);
  });
});
