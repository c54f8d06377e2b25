// Ports of local clusters. Guards against two clusters with one port: jobs of one were accepted and run by the
// other one, and tests that waited for them did not end.
import assert from 'node:assert/strict';
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { createServer } from 'node:net';
import { describe, it, type TestContext } from 'node:test';
import { reservePort } from '../packages/local-cluster/src/index.ts';
import { seededRandom } from '../src/runtime/random.ts';

const RESERVE = ['--import', 'tsx', 'test/fixtures/ports/reserve.ts'];

/** Starts a process that reserves the first free port of the sequence with this seed. */
async function reserveInProcess(
  t: TestContext,
  seed: number,
): Promise<{ port: number; child: ChildProcess }> {
  const child = spawn(process.execPath, [...RESERVE, String(seed)], { stdio: ['pipe', 'pipe', 'inherit'] });
  t.after(() => child.kill('SIGKILL'));
  const [line] = (await once(child.stdout, 'data')) as [Buffer];
  return { port: Number(line), child };
}

describe('reservePort', () => {
  it('reserves a port until the process ends, also if it is killed, and in no two processes at a time', async (t) => {
    const seed = 1;
    const first = await reserveInProcess(t, seed);
    const second = await reserveInProcess(t, seed);
    assert.notEqual(second.port, first.port, 'two processes have reserved one port');
    first.child.kill('SIGKILL');
    await once(first.child, 'exit');
    assert.equal(await reservePort(seededRandom(seed)), first.port);
    const here = await reservePort(seededRandom(seed));
    assert.ok(here !== first.port && here !== second.port, `port ${here} is reserved already`);
  });

  it('does not return a port on which a server listens', async (t) => {
    const seed = 2;
    const { port, child } = await reserveInProcess(t, seed);
    child.kill('SIGKILL');
    await once(child, 'exit');
    const server = createServer().listen(port, '127.0.0.1');
    t.after(() => server.close());
    await once(server, 'listening');
    assert.notEqual(await reservePort(seededRandom(seed)), port, `a server listens on port ${port}`);
  });
});
