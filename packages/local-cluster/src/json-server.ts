// HTTP for the stand-ins: JSON in and out, bad requests answered, a delay before the answer if the system has one.
import { serveHttp } from '../../../src/http/server.ts';
import { InvalidMessageError } from '../../../src/protocol/json-fields.ts';

export interface Answer {
  status: number;
  body: string;
}
/** Null: no answer at all. */
export type Serve = (method: string, path: string, body: unknown, answer: (a: Answer | null) => void) => void;

export interface Listening {
  addr: string;
  close(): void;
}

const LIMITS = { maxConnections: 10_000, maxBody: 4 << 20, requestMs: 10_000, idleMs: 120_000 };
export const error = (status: number, message: string): Answer => ({
  status,
  body: JSON.stringify({ error: message }),
});

export function listen(port: number, serve: Serve): Promise<Listening> {
  return new Promise((resolve, reject) => {
    const sockets = new Set<{ destroy(): void }>();
    const { server, close } = serveHttp({
      host: '127.0.0.1',
      port,
      limits: LIMITS,
      handler: (m, reply) => {
        const answer = (a: Answer | null): void => {
          if (a !== null) reply(a);
        };
        try {
          serve(m.method, m.target, m.body.length === 0 ? {} : JSON.parse(m.body.toString('utf8')), answer);
        } catch (e) {
          if (!(e instanceof InvalidMessageError) && !(e instanceof SyntaxError)) throw e;
          answer(error(400, e.message));
        }
      },
      onListening: (p) =>
        resolve({
          addr: `127.0.0.1:${p}`,
          close: () => {
            close();
            for (const s of sockets) s.destroy();
          },
        }),
    });
    server.on('connection', (s) => {
      sockets.add(s);
      s.once('close', () => sockets.delete(s));
    });
    server.once('error', reject);
  });
}

/** A port of this machine that nobody listens at just now. */
export async function freePort(): Promise<number> {
  const l = await listen(0, () => {});
  l.close();
  return Number(l.addr.split(':')[1]);
}
