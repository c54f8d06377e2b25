// Reserves loopback addresses for controllers, and starts a controller as a separate process.
import { type ChildProcess, spawn } from 'node:child_process';
import { closeSync, openSync } from 'node:fs';
import { join } from 'node:path';
import { reservePort } from './port-reservation.ts';
import type { ProcessGuard } from './process-guard.ts';
import type { NodeAddress } from './settings-file.ts';

/** The name of the controller with this index. */
export const controllerName = (index: number): string => `node-${index}`;

/** Reserves addresses for `count` controllers, and assigns the controllers to the zones in turn. */
export async function nodeAddresses(count: number, zones: readonly string[]): Promise<NodeAddress[]> {
  const addresses: NodeAddress[] = [];
  for (let index = 0; index < count; index++)
    addresses.push({
      name: controllerName(index),
      location: zones[index % zones.length]!,
      addr: `127.0.0.1:${await reservePort()}`,
      peer: `127.0.0.1:${await reservePort()}`,
    });
  return addresses;
}

/**
 * Starts a controller with the settings file `NAME.json` in `dir`; its output is appended to `NAME.log`
 * there. `program`: command line of the daemon before the `serve` argument. `guard` kills the controller when
 * the guard is closed or this process exits.
 */
export function spawnController(
  name: string,
  dir: string,
  program: readonly string[],
  guard: ProcessGuard,
): ChildProcess {
  const log = openSync(join(dir, `${name}.log`), 'a');
  const [command, ...args] = [...program, 'serve', '--config', join(dir, `${name}.json`)];
  const child = spawn(command!, args, { detached: true, stdio: ['ignore', log, log] });
  closeSync(log);
  guard.add(child);
  return child;
}
