// Small helpers of the stand-ins: JSON over HTTP/1.1 on loopback, and a TCP proxy with faults.
import http from 'node:http';
import net from 'node:net';

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
export const now = () => performance.now();

/** Starts a server on a free loopback port. `handle(method, path, body, answer)`; answer(null) never answers. */
export function serveJson(handle, host = '127.0.0.1') {
  return new Promise((resolve) => {
    const sockets = new Set();
    const server = http.createServer({ keepAliveTimeout: 120_000 }, (request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => {
        const text = Buffer.concat(chunks).toString('utf8');
        let body = null;
        if (text !== '') {
          try {
            body = JSON.parse(text);
          } catch {
            response.writeHead(400).end('{}');
            return;
          }
        }
        const answer = (status, json) => {
          if (response.destroyed) return;
          const data = Buffer.from(JSON.stringify(json));
          response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': data.length });
          response.end(data);
        };
        handle(request.method, request.url, body, answer, request.socket);
      });
    });
    server.on('connection', (socket) => {
      sockets.add(socket);
      socket.on('close', () => sockets.delete(socket));
      socket.on('error', () => {});
    });
    server.listen(0, host, () => {
      const { port } = server.address();
      resolve({ port, addr: `${host}:${port}`, sockets, close: () => { for (const s of sockets) s.destroy(); server.close(); } });
    });
  });
}

/** One request. Resolves with {status, json, headers}, or null without an answer in time. */
export function call(addr, method, path, body, timeoutMs, agent) {
  return new Promise((resolve) => {
    const [host, port] = addr.split(':');
    const data = body === undefined || body === null ? null : Buffer.from(typeof body === 'string' ? body : JSON.stringify(body));
    const headers = data === null ? {} : { 'Content-Type': 'application/json', 'Content-Length': data.length };
    let settled = false;
    const done = (value) => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      resolve(value);
    };
    const request = http.request({ host, port, method, path, headers, agent }, (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('end', () => {
        const text = Buffer.concat(chunks).toString('utf8');
        let json = null;
        try {
          json = JSON.parse(text);
        } catch {}
        done({ status: response.statusCode, json, text, headers: response.headers });
      });
      response.on('error', () => done(null));
      response.on('aborted', () => done(null));
    });
    const timer = setTimeout(() => {
      request.destroy();
      done(null);
    }, timeoutMs);
    request.on('error', () => done(null));
    if (data !== null) request.write(data);
    request.end();
  });
}

/** A TCP proxy. mode: 'pass', 'refuse' (new connections are reset), 'hold' (bytes wait until it passes again). */
export function startProxy(targetOf, host = '127.0.0.1') {
  return new Promise((resolve) => {
    const proxy = { mode: 'pass', links: new Set() };
    const server = net.createServer((client) => {
      client.on('error', () => {});
      if (proxy.mode === 'refuse') return client.resetAndDestroy();
      const [targetHost, targetPort] = targetOf().split(':');
      const link = { client, upstream: null, waiting: [] };
      proxy.links.add(link);
      const upstream = net.connect({ host: targetHost, port: Number(targetPort), noDelay: true });
      client.setNoDelay(true);
      link.upstream = upstream;
      const end = () => {
        const close = () => {
          client.destroy();
          upstream.destroy();
          proxy.links.delete(link);
        };
        if (proxy.mode === 'hold') link.waiting.push(close);
        else close();
      };
      const pass = (to) => (data) => {
        if (proxy.mode === 'hold') link.waiting.push(() => to.write(data));
        else to.write(data);
      };
      client.on('data', pass(upstream));
      upstream.on('data', pass(client));
      client.on('close', end);
      upstream.on('close', end);
      upstream.on('error', () => {});
    });
    proxy.set = (mode) => {
      proxy.mode = mode;
      if (mode === 'refuse')
        for (const link of proxy.links) {
          link.client.resetAndDestroy();
          link.upstream.resetAndDestroy();
        }
      if (mode === 'pass') for (const link of [...proxy.links]) for (const run of link.waiting.splice(0)) run();
    };
    proxy.close = () => {
      for (const link of proxy.links) {
        link.client.destroy();
        link.upstream.destroy();
      }
      server.close();
    };
    server.listen(0, host, () => {
      proxy.addr = `${host}:${server.address().port}`;
      resolve(proxy);
    });
  });
}
