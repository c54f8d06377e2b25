// Small HTTP helpers for the stand-ins: JSON server, JSON client, free ports.
import http from 'node:http';
import net from 'node:net';

/**
 * Free loopback ports below the range from which the system takes ports for connections and for port 0, so
 * that nothing else takes them before they are used.
 */
export async function freePorts(count) {
  const ports = new Set();
  while (ports.size < count) {
    const port = 10_000 + Math.floor(Math.random() * 20_000);
    const server = net.createServer();
    const isFree = await new Promise((resolve) => {
      server.once('error', () => resolve(false));
      server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
    });
    if (isFree) ports.add(port);
  }
  return [...ports];
}

/**
 * Serves JSON over HTTP/1.1. `handle(method, url, body, reply)` answers with `reply(status, json)`, or never.
 */
export async function jsonServer(handle) {
  const server = http.createServer({ keepAliveTimeout: 120_000 }, (request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('error', () => {});
    response.on('error', () => {});
    request.on('end', () => {
      const reply = (status, json) => {
        if (response.writableEnded || response.destroyed) return;
        const text = JSON.stringify(json ?? {});
        response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) });
        response.end(text);
      };
      const text = Buffer.concat(chunks).toString('utf8');
      let body = {};
      try {
        if (text !== '') body = JSON.parse(text);
      } catch {
        return reply(400, { error: 'not JSON' });
      }
      handle(request.method, new URL(request.url, 'http://x'), body, reply, request.socket);
    });
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    addr: `127.0.0.1:${server.address().port}`,
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}

/**
 * Sends one request. The result is `{ status, json, headers }`, or null if there was no response in time. The
 * connection is closed afterwards unless an `agent` is given.
 */
export function call(addr, method, path, body, timeoutMs, agent = false) {
  return new Promise((resolve) => {
    const [host, port] = addr.split(':');
    const text = body === undefined || body === null ? null : typeof body === 'string' ? body : JSON.stringify(body);
    const headers = {};
    if (text !== null) {
      headers['Content-Type'] = 'application/json';
      headers['Content-Length'] = Buffer.byteLength(text);
    }
    let settled = false;
    const finish = (result) => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      resolve(result);
    };
    const request = http.request({ host, port: Number(port), method, path, headers, agent }, (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', () => finish(null));
      response.on('aborted', () => finish(null));
      response.on('end', () => {
        let json = null;
        try {
          json = JSON.parse(Buffer.concat(chunks).toString('utf8') || '{}');
        } catch {}
        finish({ status: response.statusCode, json, headers: response.headers });
      });
    });
    const timer = setTimeout(() => {
      finish(null);
      request.destroy();
    }, timeoutMs);
    request.on('error', () => finish(null));
    if (text !== null) request.write(text);
    request.end();
  });
}
