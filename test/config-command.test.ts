// Tests of configuration changes by operators: lost responses, late transactions, conflicts, invalid files,
// and the command `config` on a local cluster.
import assert from 'node:assert/strict';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it, type TestContext } from 'node:test';
import { FakeStore } from '../packages/local-cluster/src/index.ts';
import {
  type Applied,
  type CallStore,
  ConfigClient,
  ConfigConflictError,
  StoreUnavailableError,
} from '../src/cli/config-client.ts';
import { readConfigFile } from '../src/cli/config-file.ts';
import { parseHcl } from '../src/cli/files.ts';
import { type NodeStatus, versionObstacle } from '../src/cli/node-versions.ts';
import type { StoreReply } from '../src/core/base/model.ts';
import { ChangeTooLargeError } from '../src/core/configuration/change.ts';
import type { ConfigDocument } from '../src/core/configuration/documents.ts';
import { LEADER_KEY } from '../src/core/storage/keys.ts';
import { InvalidSettingsError } from '../src/protocol/settings.ts';
import type { Revision } from '../src/types/index.ts';
import { EventQueue } from './support/event-queue.ts';
import { startLocalCluster } from './support/local-cluster.ts';
import { team } from './support/operator.ts';
import { runProgram } from './support/programs.ts';
import { SimulatedWorld, settings } from './support/simulated-world.ts';

/**
 * A fake store whose leader record has moved, and a client of it. Their clock advances only when the client
 * sleeps and by `advance`.
 */
function storeWithClient(): {
  store: FakeStore;
  client: ConfigClient;
  advance: (ms: number) => void;
} {
  const events = new EventQueue();
  const clock = {
    now: 0,
    after: (ms: number, run: () => void) => events.add(clock.now + ms, run),
  };
  const store = new FakeStore(clock);
  const revision = 1 as Revision;
  store.restore(revision, [[LEADER_KEY, { value: { moved: 'share/1' }, revision, hold: null }]], []);
  const advance = (ms: number): void => {
    const end = clock.now + ms;
    for (let event = events.next(end); event !== null; event = events.next(end)) {
      clock.now = Math.max(clock.now, event.at);
      event.run();
    }
    clock.now = end;
  };
  const callStore: CallStore = (request) => {
    let reply: StoreReply = { kind: 'no-answer' };
    store.serve('operator', request, (served) => {
      reply = served;
    });
    return Promise.resolve(reply);
  };
  const sleep = (ms: number): Promise<void> => {
    advance(ms);
    return Promise.resolve();
  };
  const client = new ConfigClient(callStore, settings('node-0'), sleep, () => clock.now);
  return { store, client, advance };
}

/** Reads the configuration and changes one document. */
async function applyDocument(client: ConfigClient, id: string, document: ConfigDocument): Promise<Applied> {
  const snapshot = await client.snapshot();
  return client.apply(snapshot, client.plan(snapshot, [document]), id);
}

describe('a change of the configuration', () => {
  it('whose response is lost is found by its id and made only once', async () => {
    const { store, client } = storeWithClient();
    // Only the response to the second change is lost.
    await applyDocument(client, 'one', team('small', { cpusMax: 2 }));
    const snapshot = await client.snapshot();
    store.loseNextAnswer = true;
    const made = await client.apply(snapshot, client.plan(snapshot, [team('small', { cpusMax: 4 })]), 'two');
    assert.deepEqual([made.number, made.repeated], [2, true]);
    assert.equal((await client.history()).length, 2);
    assert.deepEqual(await client.findChange('two'), made);
  });

  it('that the store executes late, after its retry or after another change, has no effect', async () => {
    const { store, client, advance } = storeWithClient();
    await applyDocument(client, 'one', team('a'));
    let isFirst = true;
    store.executionDelayMs = () => {
      const isLate = isFirst;
      isFirst = false;
      return isLate ? 5000 : null;
    };
    const made = await applyDocument(client, 'two', team('b'));
    assert.equal(made.repeated, false);
    await applyDocument(client, 'three', team('b', { cpus: 1 }));
    const { revision } = await client.snapshot();
    advance(20_000);
    assert.equal((await client.snapshot()).revision, revision);
    assert.deepEqual(
      (await client.history()).map((entry) => entry.id),
      ['one', 'two', 'three'],
    );
  });

  it('that conflicts with another one is refused with an error that names the other one', async () => {
    const { client } = storeWithClient();
    await applyDocument(client, 'one', team('a'));
    const snapshot = await client.snapshot();
    const changes = client.plan(snapshot, [team('a', { cpusMax: 2 })]);
    await client.apply(snapshot, changes, 'two');
    await assert.rejects(client.apply(snapshot, changes, 'three'), (error: Error) => {
      assert.equal(error instanceof ConfigConflictError, true);
      return /change 2 \(two\)/.test(error.message);
    });
  });

  it('is found by its retry when its responses are lost; an unavailable store is a StoreUnavailableError', async () => {
    const { store, client } = storeWithClient();
    await applyDocument(client, 'one', team('a'));
    const snapshot = await client.snapshot();
    store.losesAnswer = (_node, request) => request.kind === 'compare-and-swap';
    store.refusesEverySecond = false;
    const applied = client.apply(snapshot, client.plan(snapshot, [team('b')]), 'two');
    // The first attempt succeeded, so the retry finds the change.
    assert.equal((await applied).repeated, true);
    store.down = true;
    await assert.rejects(client.snapshot(), StoreUnavailableError);
  });

  it('of more documents than one transaction holds is refused before anything is written', async () => {
    const { store, client } = storeWithClient();
    await applyDocument(client, 'one', team('a'));
    const { revision } = store;
    const snapshot = await client.snapshot();
    const documents = Array.from({ length: 21 }, (_, i) => team(`team-${i}`));
    await assert.rejects(
      client.apply(snapshot, client.plan(snapshot, documents), 'two'),
      ChangeTooLargeError,
    );
    assert.equal(store.revision, revision);
  });

  it('is refused while a connected controller has an earlier version, or an unknown one', () => {
    const world = new SimulatedWorld({}, ['node-0', 'node-1']);
    world.run(3);
    const obstacle = (status: NodeStatus | null): string | null =>
      versionObstacle(status, settings('node-0'));
    const currentObstacle = (): string | null => {
      const status = JSON.stringify(world.nodes.get('node-0')!.describe());
      return obstacle(JSON.parse(status) as NodeStatus);
    };
    assert.equal(currentObstacle(), 'the version of node node-2 is unknown: it has not been heard of yet');
    world.oldVersionNodes.add('node-2');
    world.start('node-2');
    world.run(3);
    assert.equal(
      currentObstacle(),
      'node node-2 is of a version that does not know documents: upgrade it first',
    );
    world.oldVersionNodes.delete('node-2');
    world.crash('node-2');
    world.start('node-2');
    world.run(3);
    assert.equal(currentObstacle(), null);
    // A controller that is down does not prevent changes if its version is known.
    world.crash('node-2');
    assert.equal(currentObstacle(), null);
    assert.match(obstacle(null) ?? '', /does not answer/);
    assert.match(obstacle({}) ?? '', /node node-0 is of a version that does not know documents/);
  });
});

interface InvalidFile {
  problem: string;
  text: string;
  message: RegExp;
}

describe('a configuration file', () => {
  const invalidFiles: InvalidFile[] = [
    {
      problem: 'an unknown name',
      text: 'team "a" { cpu = 1 }',
      message: /f\.hcl: team\.a\.cpu: unknown name/,
    },
    {
      problem: 'a guarantee above the limit',
      text: 'team "a" {\n cpus = 5\n cpus_max = 4\n}',
      message: /f\.hcl: team\.a\.cpus: more is guaranteed/,
    },
    {
      problem: 'a stop without a time',
      text: 'team "a" { above = "stop" }',
      message: /team\.a\.stop_within_s: is missing/,
    },
    {
      problem: 'a time without a stop',
      text: 'team "a" { stop_within_s = 30 }',
      message: /team\.a\.stop_within_s: goes with/,
    },
    {
      problem: 'a negative amount',
      text: 'team "a" { cpus_max = -1 }',
      message: /f\.hcl: team\.a\.cpus_max: /,
    },
    {
      problem: 'a name with a space',
      text: 'team "a b" {}',
      message: /f\.hcl: team\.a b: a team is named by/,
    },
    {
      problem: 'a setting out of bounds',
      text: 'dispatch { threshold = 0 }',
      message: /f\.hcl: dispatch\.threshold: /,
    },
    { problem: 'an unknown objective', text: 'aim { kind = "soon" }', message: /f\.hcl: aim\.kind: / },
    { problem: 'no block', text: '', message: /f\.hcl: it has no team, aim or dispatch block/ },
    { problem: 'invalid HCL', text: 'team {', message: /f\.hcl: cannot be parsed as HCL/ },
  ];
  for (const { problem, text, message } of invalidFiles)
    it(`with ${problem} is refused in one line that names the file and the key`, async () => {
      await assert.rejects(
        async () => readConfigFile('f.hcl', await parseHcl('f.hcl', text)),
        (error: Error) =>
          error instanceof InvalidSettingsError &&
          message.test(error.message) &&
          !error.message.includes('\n'),
      );
    });
});

/**
 * Starts a local cluster with one team, which is stopped when the test ends; `config` runs the command
 * against it.
 */
async function startCluster(t: TestContext) {
  const dir = mkdtempSync(join(tmpdir(), 'swiftford-config-'));
  const options = {
    lab: [{ port: 0, controllers: 2, speed: 20 }],
    workers: [{ report_s: 0.5 }],
    team: { demo: [{ cpus_max: 8 }] },
  };
  const cluster = await startLocalCluster(t, options, { dir });
  const writeFile = (name: string, text: string): string => {
    writeFileSync(join(dir, name), text);
    return join(dir, name);
  };
  const config = (...args: string[]) => runConfig(t, [...args, '--config', join(dir, 'node-0.json')]);
  return { dir, cluster, writeFile, config };
}

/** Runs `swiftford config`; `output` is its standard output and standard error. */
async function runConfig(t: TestContext, args: string[]): Promise<{ code: number | null; output: string }> {
  const { code, stdout, stderr } = await runProgram(t, 'config', ...args);
  return { code, output: stdout + stderr };
}

describe('the command config', () => {
  it('plans, applies, waits, shows and rolls back; invalid and missing files have their exit code', async (t) => {
    const { dir, cluster, writeFile, config } = await startCluster(t);
    const lower = writeFile('lower.hcl', 'team "demo" { cpus_max = 4 }');
    assert.match((await config('status')).output, /there are no documents/);
    const planned = await config('plan', lower);
    assert.equal(planned.code, 0, planned.output);
    assert.match(planned.output, /config\/team\/demo[\s\S]*"cpusMax":8[\s\S]*"cpusMax":4/);
    assert.equal(cluster.storedValue('share/config'), undefined);
    const applied = await config('apply', lower, '--wait', '--id', 'first');
    assert.equal(applied.code, 0, applied.output);
    assert.match(applied.output, /change 1 \(first\) made[\s\S]*in force everywhere after [\d.]+ s/);
    assert.match((await config('apply', lower, '--id', 'first')).output, /made before/);
    assert.match((await config('apply', lower)).output, /nothing to change/);
    assert.match((await config('show')).output, /team demo: .*"cpusMax":4.*\(document\)/);
    const invalid = await config('apply', writeFile('bad.hcl', 'team "demo" { cpus_max = "four" }'));
    assert.equal(invalid.code, 2, invalid.output);
    assert.match(invalid.output, /bad\.hcl: team\.demo\.cpus_max: /);
    const rolledBack = await config('rollback', '0', '--wait');
    assert.equal(rolledBack.code, 0, rolledBack.output);
    assert.match((await config('show')).output, /team demo: .*"cpusMax":8.*\(settings file\)/);
    const history = await config('history', '--json');
    assert.deepEqual(
      (JSON.parse(history.output) as { number: number }[]).map((entry) => entry.number),
      [1, 2],
    );
    assert.match((await config('status')).output, /change 2 .*\nin force everywhere/);
    const missing = await config('plan', join(dir, 'none.hcl'));
    assert.equal(missing.code, 2, missing.output);
  });
});
