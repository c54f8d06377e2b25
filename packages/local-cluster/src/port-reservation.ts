// Reserves loopback ports for servers that are started later, in this process or in others. Clusters that run
// at the same time on one computer must not get the same port: clients of one cluster would be served by the
// other one.
import { createSocket, type Socket } from 'node:dgram';
import type { Random } from '../../../src/core/base/io.ts';
import { randomSeed, seededRandom } from '../../../src/runtime/random.ts';
import { NoFreePortError } from './errors.ts';
import { listen } from './json-server.ts';

const HOST = '127.0.0.1';
/** The ports lie below those that operating systems use for outgoing connections. */
const FIRST_PORT = 10_000;
const PORT_COUNT = 22_000;
const MAX_ATTEMPTS = 1000;

const processRandom = seededRandom(randomSeed());

/**
 * Reserves a free loopback port until this process ends, against all processes that use this function. The
 * reservation is a bound UDP socket of the same number, which the operating system closes however the process
 * ends. Throws NoFreePortError if no free port is found.
 */
export async function reservePort(random: Random = processRandom): Promise<number> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const port = FIRST_PORT + random.below(PORT_COUNT);
    const reservation = await bindUdp(port);
    if (reservation === null) continue;
    if (await canListen(port)) return port;
    reservation.close();
  }
  throw new NoFreePortError(`no free port found among ${MAX_ATTEMPTS} ports of ${HOST}`);
}

/** Binds a UDP socket that does not keep the process running; null if the port is in use. */
function bindUdp(port: number): Promise<Socket | null> {
  return new Promise((resolve) => {
    const socket = createSocket('udp4');
    socket.once('error', () => {
      socket.close();
      resolve(null);
    });
    socket.bind({ address: HOST, port, exclusive: true }, () => {
      socket.unref();
      resolve(socket);
    });
  });
}

/** Whether no process listens on the TCP port. */
async function canListen(port: number): Promise<boolean> {
  try {
    const listening = await listen(port, () => {});
    listening.close();
    return true;
  } catch {
    return false;
  }
}
