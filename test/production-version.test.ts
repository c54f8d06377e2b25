// The version in production beside configuration documents: it must not own the share once there are any. Its program is built
// from this repository's history.
import assert from 'node:assert/strict';
import { type ChildProcess, execFileSync, spawn } from 'node:child_process';
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { build } from 'esbuild';
import { endGroup, freePort, Lab, readLabOptions } from '../packages/local-cluster/src/index.ts';
import { askOverHttp, ConfigClient, storeClient } from '../src/cli/config-client.ts';
import { CONFIGURED_LEADER_KEY, LEADER_KEY } from '../src/core/storage/keys.ts';
import { parseSettings } from '../src/protocol/settings.ts';
import { team } from './support/operator.ts';

const WORK = 'target/production';
/** Longer than the hold of a controller that stands still, and than the turns of those that may take the share. */
const LONG_MS = 7000;

const sleep = (ms: number): Promise<void> => new Promise((r) => setTimeout(r, ms));

/** Builds the program of the version in production; its path. */
async function production(): Promise<string> {
  const revision = /^production = "([0-9a-f]{40})"$/m.exec(readFileSync('deploy/service.toml', 'utf8'))![1]!;
  rmSync(WORK, { recursive: true, force: true });
  mkdirSync(WORK, { recursive: true });
  const archive = execFileSync('git', ['archive', revision, 'src', 'package.json'], { maxBuffer: 64 << 20 });
  execFileSync('tar', ['-x', '-C', WORK], { input: archive });
  const outfile = join(WORK, 'main.js');
  await build({
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    banner: { js: "import{createRequire}from'node:module';const require=createRequire(import.meta.url);" },
    entryPoints: [join(WORK, 'src/cli/main.ts')],
    outfile,
    external: ['./hcl-parser.js'],
    logLevel: 'silent',
  });
  return outfile;
}

test('a controller of the version in production does not own the share once there are documents', async () => {
  const program = await production();
  const dir = mkdtempSync(join(tmpdir(), 'swiftford-production-'));
  const options = readLabOptions('t', {
    lab: [{ port: 0, controllers: 2 }],
    team: { demo: [{ cpus_max: 8 }] },
  });
  const lab = await Lab.start(options, { program: [process.execPath, 'target/main.js'], dir, log: () => {} });
  let old: ChildProcess | null = null;
  try {
    await lab.ready();
    const file = join(dir, 'node-0.json');
    const settings = parseSettings(file, readFileSync(file, 'utf8'));
    const http = storeClient(settings);
    const client = new ConfigClient(askOverHttp(http), settings);
    const snapshot = await client.snapshot();
    await client.apply(snapshot, client.plan(snapshot, [team('demo', { cpusMax: 4 })]), 'one');
    http.close();
    assert.deepEqual(lab.recorded(LEADER_KEY), { moved: CONFIGURED_LEADER_KEY });
    // All controllers of this version stand still, and their hold runs out.
    for (const c of lab.controllers) endGroup(c.process!.pid!, 'SIGSTOP');
    const addresses = {
      bind: `127.0.0.1:${await freePort()}`,
      internal_addr: `127.0.0.1:${await freePort()}`,
    };
    const oldFile = join(dir, 'old.json');
    writeFileSync(oldFile, JSON.stringify({ ...JSON.parse(readFileSync(file, 'utf8')), ...addresses }));
    old = spawn(process.execPath, [program, 'serve', '--config', oldFile], { stdio: 'ignore' });
    await sleep(LONG_MS);
    assert.equal(old.exitCode, null);
    assert.equal(lab.recorded(CONFIGURED_LEADER_KEY), undefined);
    assert.deepEqual(lab.recorded(LEADER_KEY), { moved: CONFIGURED_LEADER_KEY });
    for (const c of lab.controllers) endGroup(c.process!.pid!, 'SIGCONT');
    await lab.ready();
    await sleep(LONG_MS);
    assert.notEqual(lab.recorded(CONFIGURED_LEADER_KEY), undefined);
  } finally {
    old?.kill('SIGKILL');
    await lab.stop();
    rmSync(dir, { recursive: true, force: true });
  }
});
