// Tests a controller of the version in production beside controllers of this version: it must not be elected
// once configuration documents are stored. Its program is built from this repository's history.
import assert from 'node:assert/strict';
import { type ChildProcess, execFileSync, spawn } from 'node:child_process';
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { build } from 'esbuild';
import { endGroup, reservePort } from '../packages/local-cluster/src/index.ts';
import { ConfigClient, callStoreOverHttp, storeClient } from '../src/cli/config-client.ts';
import { CONFIGURED_LEADER_KEY, LEADER_KEY } from '../src/core/storage/keys.ts';
import { parseSettings } from '../src/protocol/settings.ts';
import { startLocalCluster } from './support/local-cluster.ts';
import { team } from './support/operator.ts';

const BUILD_DIR = 'target/production';
/** Long enough for the lease of a suspended controller to expire, and for the next leader to be elected. */
const FAILOVER_MS = 7000;

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** Builds the program of the version in production; returns its path. */
async function buildProductionVersion(): Promise<string> {
  const revision = /^production = "([0-9a-f]{40})"$/m.exec(readFileSync('deploy/service.toml', 'utf8'))![1]!;
  rmSync(BUILD_DIR, { recursive: true, force: true });
  mkdirSync(BUILD_DIR, { recursive: true });
  const archive = execFileSync('git', ['archive', revision, 'src', 'package.json'], { maxBuffer: 64 << 20 });
  execFileSync('tar', ['-x', '-C', BUILD_DIR], { input: archive });
  const outfile = join(BUILD_DIR, 'main.js');
  await build({
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    banner: { js: "import{createRequire}from'node:module';const require=createRequire(import.meta.url);" },
    entryPoints: [join(BUILD_DIR, 'src/cli/main.ts')],
    outfile,
    external: ['./hcl-parser.js'],
    logLevel: 'silent',
  });
  return outfile;
}

/** Makes the first change of the configuration, as an operator does. */
async function limitTeam(settingsFile: string): Promise<void> {
  const settings = parseSettings(settingsFile, readFileSync(settingsFile, 'utf8'));
  const http = storeClient(settings);
  const client = new ConfigClient(callStoreOverHttp(http), settings);
  const snapshot = await client.snapshot();
  await client.apply(snapshot, client.plan(snapshot, [team('demo', { cpusMax: 4 })]), 'one');
  http.close();
}

/** Writes the settings of a controller of the version in production; returns the path of the file. */
async function writeOldSettings(dir: string, settingsFile: string): Promise<string> {
  const addresses = {
    bind: `127.0.0.1:${await reservePort()}`,
    internal_addr: `127.0.0.1:${await reservePort()}`,
  };
  const path = join(dir, 'old.json');
  writeFileSync(path, JSON.stringify({ ...JSON.parse(readFileSync(settingsFile, 'utf8')), ...addresses }));
  return path;
}

describe('a controller of the version in production', () => {
  it('is not elected once there are configuration documents', async (t) => {
    const program = await buildProductionVersion();
    const dir = mkdtempSync(join(tmpdir(), 'swiftford-production-'));
    let oldController: ChildProcess | null = null;
    t.after(() => oldController?.kill('SIGKILL'));
    const options = { lab: [{ port: 0, controllers: 2 }], team: { demo: [{ cpus_max: 8 }] } };
    const cluster = await startLocalCluster(t, options, { dir });
    const settingsFile = join(dir, 'node-0.json');
    await limitTeam(settingsFile);
    assert.deepEqual(cluster.storedValue(LEADER_KEY), { moved: CONFIGURED_LEADER_KEY });
    // Suspends all controllers of this version, so that their leases expire.
    for (const controller of cluster.controllers) endGroup(controller.process!.pid!, 'SIGSTOP');
    const oldSettingsFile = await writeOldSettings(dir, settingsFile);
    oldController = spawn(process.execPath, [program, 'serve', '--config', oldSettingsFile], {
      stdio: 'ignore',
    });
    await sleep(FAILOVER_MS);
    assert.equal(oldController.exitCode, null);
    assert.equal(cluster.storedValue(CONFIGURED_LEADER_KEY), undefined);
    assert.deepEqual(cluster.storedValue(LEADER_KEY), { moved: CONFIGURED_LEADER_KEY });
    for (const controller of cluster.controllers) endGroup(controller.process!.pid!, 'SIGCONT');
    await cluster.ready();
    await sleep(FAILOVER_MS);
    assert.notEqual(cluster.storedValue(CONFIGURED_LEADER_KEY), undefined);
  });
});
