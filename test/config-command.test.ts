// Operators who change the configuration: lost answers, late transactions, two at once, wrong files, and the command itself
// in a lab.
import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { FakeState, Lab, readLabOptions } from '../packages/local-cluster/src/index.ts';
import {
  type AskStore,
  ConfigClient,
  ConfigConflictError,
  StoreUnavailableError,
} from '../src/cli/config-client.ts';
import { readConfigFile } from '../src/cli/config-file.ts';
import { parseHcl } from '../src/cli/files.ts';
import { type NodeStatus, versionObstacle } from '../src/cli/node-versions.ts';
import type { StoreReply } from '../src/core/base/model.ts';
import { ChangeTooLargeError } from '../src/core/configuration/change.ts';
import { LEADER_KEY } from '../src/core/storage/keys.ts';
import { InvalidSettingsError } from '../src/protocol/settings.ts';
import { EventQueue } from './support/event-queue.ts';
import { team } from './support/operator.ts';
import { SimulatedWorld, settings } from './support/simulated-world.ts';

/** A state service on a clock that only sleeping moves, with a share that has moved already. */
function service(): {
  state: FakeState;
  client: ConfigClient;
  advance: (ms: number) => void;
  asked: () => number;
} {
  const agenda = new EventQueue();
  const clock = {
    now: 0,
    after: (ms: number, run: () => void) => agenda.add(clock.now + ms, run),
  };
  const state = new FakeState(clock);
  state.restore(1, [[LEADER_KEY, { value: { moved: 'share/1' }, revision: 1, hold: null }]], []);
  const advance = (ms: number): void => {
    const end = clock.now + ms;
    for (let e = agenda.next(end); e !== null; e = agenda.next(end)) {
      clock.now = Math.max(clock.now, e.at);
      e.run();
    }
    clock.now = end;
  };
  let asked = 0;
  const ask: AskStore = (op) => {
    asked++;
    let reply: StoreReply = { kind: 'no-answer' };
    state.serve('operator', op, (r) => {
      reply = r;
    });
    return Promise.resolve(reply);
  };
  const sleep = (ms: number): Promise<void> => {
    advance(ms);
    return Promise.resolve();
  };
  const client = new ConfigClient(ask, settings('node-0'), sleep, () => clock.now);
  return { state, client, advance, asked: () => asked };
}

test('a change whose answer is lost is found to have been made, once', async () => {
  const { state, client } = service();
  const snapshot = await client.snapshot();
  const changes = client.plan(snapshot, [team('small', { cpusMax: 2 })]);
  // The first commit that is answered is that of the preparation.
  await client.apply(snapshot, changes, 'one');
  const next = await client.snapshot();
  state.loseNextAnswer = true;
  const made = await client.apply(next, client.plan(next, [team('small', { cpusMax: 4 })]), 'two');
  assert.deepEqual([made.number, made.repeated], [2, true]);
  assert.equal((await client.history()).length, 2);
  assert.deepEqual(await client.made('two'), made);
});

test('a change carried out late, after its own repetition or after another change, does nothing', async () => {
  const { state, client, advance } = service();
  await client.apply(await client.snapshot(), client.plan(await client.snapshot(), [team('a')]), 'one');
  let first = true;
  state.lateMs = () => {
    const late = first;
    first = false;
    return late ? 5000 : null;
  };
  const snapshot = await client.snapshot();
  const made = await client.apply(snapshot, client.plan(snapshot, [team('b')]), 'two');
  assert.equal(made.repeated, false);
  const after = await client.snapshot();
  await client.apply(after, client.plan(after, [team('b', { cpus: 1 })]), 'three');
  const revision = (await client.snapshot()).revision;
  advance(20_000);
  assert.equal((await client.snapshot()).revision, revision);
  assert.deepEqual(
    (await client.history()).map((h) => h.id),
    ['one', 'two', 'three'],
  );
});

test('of two operators at once one is told by whom the configuration was changed', async () => {
  const { client } = service();
  await client.apply(await client.snapshot(), client.plan(await client.snapshot(), [team('a')]), 'one');
  const snapshot = await client.snapshot();
  const changes = client.plan(snapshot, [team('a', { cpusMax: 2 })]);
  await client.apply(snapshot, changes, 'two');
  await assert.rejects(client.apply(snapshot, changes, 'three'), (e: Error) => {
    assert.equal(e instanceof ConfigConflictError, true);
    return /change 2 \(two\)/.test(e.message);
  });
});

test('without a state service it is said that nothing is known, and how to find out', async () => {
  const { state, client } = service();
  await client.apply(await client.snapshot(), client.plan(await client.snapshot(), [team('a')]), 'one');
  const snapshot = await client.snapshot();
  state.losesAnswer = (_node, op) => op.kind === 'compare-and-swap';
  state.halfRefused = false;
  const ask = client.apply(snapshot, client.plan(snapshot, [team('b')]), 'two');
  // Its first copy went through, so the second finds it.
  assert.equal((await ask).repeated, true);
  state.down = true;
  await assert.rejects(client.snapshot(), StoreUnavailableError);
});

test('a change of more documents than one transaction holds is refused before anything is written', async () => {
  const { state, client } = service();
  await client.apply(await client.snapshot(), client.plan(await client.snapshot(), [team('a')]), 'one');
  const { revision } = state;
  const snapshot = await client.snapshot();
  const many = Array.from({ length: 21 }, (_, i) => team(`team-${i}`));
  await assert.rejects(client.apply(snapshot, client.plan(snapshot, many), 'two'), ChangeTooLargeError);
  assert.equal(state.revision, revision);
});

test('no document is changed while a controller of an earlier version is connected, or one has not been heard of', () => {
  const w = new SimulatedWorld({}, ['node-0', 'node-1']);
  w.run(3);
  const view = (): NodeStatus => JSON.parse(JSON.stringify(w.nodes.get('node-0')!.describe())) as NodeStatus;
  const obstacle = (v: NodeStatus | null): string | null => versionObstacle(v, settings('node-0'));
  assert.equal(obstacle(view()), 'the version of node node-2 is unknown: it has not been heard of yet');
  w.oldForm.add('node-2');
  w.start('node-2');
  w.run(3);
  assert.equal(
    obstacle(view()),
    'node node-2 is of a version that does not know documents: upgrade it first',
  );
  w.oldForm.delete('node-2');
  w.crash('node-2');
  w.start('node-2');
  w.run(3);
  assert.equal(obstacle(view()), null);
  // Known before it went away, it may be away.
  w.crash('node-2');
  assert.equal(obstacle(view()), null);
  assert.match(obstacle(null) ?? '', /does not answer/);
  assert.match(obstacle({}) ?? '', /node node-0 is of a version that does not know documents/);
});

const wrong: [string, string, RegExp][] = [
  ['an unknown name', 'team "a" { cpu = 1 }', /f\.hcl: team\.a\.cpu: unknown name/],
  [
    'a guarantee above the limit',
    'team "a" {\n cpus = 5\n cpus_max = 4\n}',
    /f\.hcl: team\.a\.cpus: more is guaranteed/,
  ],
  ['a stop without a time', 'team "a" { above = "stop" }', /team\.a\.stop_within_s: is missing/],
  ['a time without a stop', 'team "a" { stop_within_s = 30 }', /team\.a\.stop_within_s: goes with/],
  ['a negative amount', 'team "a" { cpus_max = -1 }', /f\.hcl: team\.a\.cpus_max: /],
  ['a name with a space', 'team "a b" {}', /f\.hcl: team\.a b: a team is named by/],
  ['a setting out of bounds', 'dispatch { threshold = 0 }', /f\.hcl: dispatch\.threshold: /],
  ['an unknown aim', 'aim { kind = "soon" }', /f\.hcl: aim\.kind: /],
  ['nothing', '', /f\.hcl: it has no team, aim or dispatch block/],
  ['no HCL', 'team {', /f\.hcl: cannot be parsed as HCL/],
];
for (const [what, text, says] of wrong)
  test(`a file with ${what} ends in one line that names file and key`, async () => {
    await assert.rejects(
      async () => readConfigFile('f.hcl', await parseHcl('f.hcl', text)),
      (e: Error) => e instanceof InvalidSettingsError && says.test(e.message) && !e.message.includes('\n'),
    );
  });

test('the command plans, applies, waits, shows and goes back in a lab; wrong files and conflicts exit as said', async () => {
  const dir = mkdtempSync(join(tmpdir(), 'swiftford-config-'));
  const options = readLabOptions('t', {
    lab: [{ port: 0, controllers: 2, speed: 20 }],
    workers: [{ report_s: 0.5 }],
    team: { demo: [{ cpus_max: 8 }] },
  });
  const lab = await Lab.start(options, { program: [process.execPath, 'target/main.js'], dir, log: () => {} });
  const file = (name: string, text: string): string => {
    writeFileSync(join(dir, name), text);
    return join(dir, name);
  };
  const config = (...args: string[]): Promise<{ code: number | null; out: string }> =>
    new Promise((resolve) => {
      const all = ['target/main.js', 'config', ...args, '--config', join(dir, 'node-0.json')];
      const child = spawn(process.execPath, all);
      let out = '';
      for (const stream of [child.stdout, child.stderr])
        stream.on('data', (d) => {
          out += d;
        });
      child.once('exit', (code) => resolve({ code, out }));
    });
  try {
    await lab.ready();
    const lower = file('lower.hcl', 'team "demo" { cpus_max = 4 }');
    assert.match((await config('status')).out, /there are no documents/);
    const planned = await config('plan', lower);
    assert.equal(planned.code, 0, planned.out);
    assert.match(planned.out, /config\/team\/demo[\s\S]*"cpusMax":8[\s\S]*"cpusMax":4/);
    assert.equal(lab.recorded('share/config'), undefined);
    const applied = await config('apply', lower, '--wait', '--id', 'first');
    assert.equal(applied.code, 0, applied.out);
    assert.match(applied.out, /change 1 \(first\) made[\s\S]*in force everywhere after [\d.]+ s/);
    assert.match((await config('apply', lower, '--id', 'first')).out, /made before/);
    assert.match((await config('apply', lower)).out, /nothing to change/);
    assert.match((await config('show')).out, /team demo: .*"cpusMax":4.*\(document\)/);
    const bad = await config('apply', file('bad.hcl', 'team "demo" { cpus_max = "four" }'));
    assert.equal(bad.code, 2, bad.out);
    assert.match(bad.out, /bad\.hcl: team\.demo\.cpus_max: /);
    const back = await config('rollback', '0', '--wait');
    assert.equal(back.code, 0, back.out);
    assert.match((await config('show')).out, /team demo: .*"cpusMax":8.*\(settings file\)/);
    const past = await config('history', '--json');
    assert.deepEqual(
      (JSON.parse(past.out) as { number: number }[]).map((h) => h.number),
      [1, 2],
    );
    assert.match((await config('status')).out, /change 2 .*\nin force everywhere/);
    const missing = await config('plan', join(dir, 'none.hcl'));
    assert.equal(missing.code, 2, missing.out);
  } finally {
    await lab.stop();
    rmSync(dir, { recursive: true, force: true });
  }
});
