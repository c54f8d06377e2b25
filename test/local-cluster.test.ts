// A cluster on one machine: real controllers, stand-ins on sockets, commands as child processes.
import assert from 'node:assert/strict';
import { type ChildProcess, spawn } from 'node:child_process';
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { Client } from '../packages/client/src/index.ts';
import { Lab, readLabOptions } from '../packages/local-cluster/src/index.ts';
import { Tasks } from '../packages/local-cluster/src/task-runner.ts';
import { InvalidSettingsError } from '../src/protocol/settings.ts';
import type { TaskId } from '../src/types/index.ts';

const dir = mkdtempSync(join(tmpdir(), 'swiftford-lab-'));
test.after(() => rmSync(dir, { recursive: true, force: true }));

const exists = (pid: number): boolean => {
  try {
    process.kill(pid, 0);
    return true;
  } catch {
    return false;
  }
};
const eventually = async (what: () => boolean, ms = 20_000): Promise<void> => {
  for (const end = Date.now() + ms; !what() && Date.now() < end; )
    await new Promise((r) => setTimeout(r, 20));
  assert.ok(what());
};

test('a command runs in a lab through the end of a controller, once, with its output kept, and nothing is left', async () => {
  const lab = await Lab.start(
    readLabOptions('t', {
      lab: [{ port: 0, speed: 20 }],
      workers: [{ report_s: 0.5 }],
      cloud: [{ list_lag_s: 0 }],
    }),
    { program: [process.execPath, 'target/main.js'], dir: join(dir, 'lab'), log: () => {} },
  );
  const pids: number[] = lab.controllers.map((c) => c.process!.pid!);
  try {
    await lab.ready();
    const file = join(dir, 'job.json');
    const base = { team: 'demo', class: 'x', cpus: 1, memoryGb: 1, image: 'i', imageGb: 1, estimateS: 1 };
    const count = join(dir, 'count');
    writeFileSync(
      file,
      JSON.stringify([
        {
          ...base,
          name: 'first',
          tasks: 3,
          command: `echo $SWIFTFORD_TASK of $SWIFTFORD_TASKS; echo x >> ${count}; sleep 2`,
        },
        {
          ...base,
          name: 'gang',
          kind: 'gang',
          tasks: 2,
          command: 'sleep 0.$SWIFTFORD_TASK; echo $SWIFTFORD_PEERS | tr : "\\n" | wc -l',
        },
        { ...base, name: 'last', awaits: ['first'], command: ['sh', '-c', `wc -l < ${count}`] },
      ]),
    );
    const child = spawn(process.execPath, ['target/main.js', 'run', file, '--lab', lab.addr, '--json']);
    let out = '';
    child.stdout.on('data', (d) => {
      out += d;
    });
    const ended = new Promise<number | null>((r) => child.once('exit', (code) => r(code)));
    await eventually(() => lab.runs.length >= 3);
    lab.fault({ kind: 'kill-controller', seconds: 1, count: 1 });
    assert.equal(await ended, 0, out);
    await eventually(() => lab.controllers.every((c) => c.process !== null));
    pids.push(...lab.controllers.map((c) => c.process!.pid!));
    const ids = new Map(
      out
        .trim()
        .split('\n')
        .map((l) => [JSON.parse(l).name, JSON.parse(l).id]),
    );
    const read = (name: string, task: number): string =>
      readFileSync(
        join(
          dir,
          'lab/jobs',
          ids.get(name),
          `${task}.${lab.runs.find((r) => r.task === `${ids.get(name)}/${task}`)!.attempt}/stdout`,
        ),
        'utf8',
      ).trim();
    assert.equal(read('first', 2), '2 of 3');
    assert.equal(read('gang', 1), '2');
    assert.equal(read('last', 0), '3', 'each task ran once, and before what awaits it');
    assert.equal((lab.recorded(`f/${ids.get('last')}`) as { s: string }).s, 'done');
  } finally {
    await lab.stop();
  }
  for (const pid of pids) assert.ok(!exists(pid), `${pid} is left`);
});

async function startLab(port: number, log: string) {
  const child: ChildProcess = spawn(
    process.execPath,
    ['target/main.js', 'lab', '--port', String(port), '--dir', join(dir, log), '--data', join(dir, 'data')],
    { stdio: ['ignore', 'pipe', 'inherit'] },
  );
  let out = '';
  child.stdout!.on('data', (d) => {
    out += d;
  });
  await eventually(() => /try: /.test(out));
  const nodes = [...out.matchAll(/node-\d {2}(\S+)/g)].map((m) => m[1]!);
  return { child, nodes };
}

test('a lab that is killed leaves nothing running, and goes on from its records: what was done is not done again', async () => {
  const port = 20_000 + (process.pid % 20_000);
  const first = await startLab(port, 'one');
  const pids = join(dir, 'pids');
  const base = { team: 'demo', class: 'x', cpus: 1, memoryGb: 1, image: 'i', imageGb: 0, estimateS: 1 };
  const file = join(dir, 'kept.json');
  const submit = async (job: object, verb: string): Promise<string> => {
    writeFileSync(file, JSON.stringify({ ...base, ...job }));
    const child = spawn(process.execPath, [
      'target/main.js',
      verb,
      file,
      '--lab',
      `127.0.0.1:${port}`,
      '--json',
    ]);
    let out = '';
    child.stdout.on('data', (d) => {
      out += d;
    });
    await new Promise((r) => child.once('close', r));
    return JSON.parse(out).id;
  };
  const done = await submit({ name: 'done', command: `echo once >> ${dir}/once` }, 'run');
  const long = await submit(
    { name: 'long', command: `echo $$ >> ${pids}; sleep 4; echo end >> ${dir}/ends` },
    'submit',
  );
  const started = (): number[] =>
    existsSync(pids) ? readFileSync(pids, 'utf8').trim().split('\n').map(Number) : [];
  await eventually(() => started().length === 1);
  first.child.kill('SIGKILL');
  await eventually(() => !exists(started()[0]!));
  const gone = await Client.open({ nodes: first.nodes });
  const o = await gone.run(base, { acceptWithinS: 2 });
  assert.ok(
    o.kind === 'gave-up' && o.accepted === null && /did not answer/.test(o.reason),
    JSON.stringify(o),
  );
  await gone.close();
  const second = await startLab(port, 'two');
  const client = await Client.open({ nodes: second.nodes });
  assert.deepEqual(await client.wait(done), { kind: 'done', id: done });
  assert.deepEqual(await client.wait(long), { kind: 'done', id: long });
  await client.close();
  assert.deepEqual(
    [readFileSync(join(dir, 'once'), 'utf8'), readFileSync(join(dir, 'ends'), 'utf8')],
    ['once\n', 'end\n'],
  );
  assert.equal(started().length, 2);
  second.child.kill('SIGTERM');
  const code = await new Promise((r) => second.child.once('exit', r));
  assert.equal(code, 0);
});

test('gangs begin together, complete together and notice a loss; images are fetched once; a stopped command has saved or not', async () => {
  let now = 0;
  const due: { at: number; run: () => void }[] = [];
  const clock = {
    get now() {
      return now;
    },
    after: (ms: number, run: () => void) => void due.push({ at: now + ms, run }),
  };
  const pass = (ms: number): void => {
    for (const end = now + ms; now < end; now += 100)
      for (const d of due.filter((x) => x.at <= now)) {
        due.splice(due.indexOf(d), 1);
        d.run();
      }
  };
  const tasks = new Tasks(clock, dir, null as never, { speed: 1, gangWaitS: 20, gangPeerS: 4 });
  tasks.describe('run-g', { kind: 'gang', tasks: 2, image: 'i', imageGb: 4, runS: 10, command: null });
  tasks.describe('run-a', { kind: 'array', tasks: 9, image: 'i', imageGb: 4, runS: 10, command: null });
  const log: string[] = [];
  const launch = (task: string, attempt: number, machine: string) =>
    tasks.launch(
      { id: machine, fetchGbPerS: 1, cacheGb: 10 },
      task as TaskId,
      attempt,
      (why) => log.push(`${task} ${why}`),
      (s) => log.push(`${task} ${s}`),
    );
  launch('run-g/0', 1, 'm1');
  pass(5000);
  assert.deepEqual(log.splice(0), ['run-g/0 fetching', 'run-g/0 waiting']);
  launch('run-g/1', 1, 'm1');
  assert.deepEqual(log.splice(0), ['run-g/1 waiting', 'run-g/0 running', 'run-g/1 running']);
  pass(11_000);
  assert.deepEqual(log.splice(0).sort(), ['run-g/0 done', 'run-g/1 done']);
  tasks.describe('run-h', { kind: 'gang', tasks: 2, image: 'i', imageGb: 4, runS: 10, command: null });
  const a = launch('run-h/0', 1, 'm1');
  launch('run-h/1', 1, 'm1');
  a.kill();
  pass(4000);
  assert.deepEqual(log.splice(0).at(-1), 'run-h/1 peers');
  launch('run-h/0', 2, 'm1');
  pass(21_000);
  assert.deepEqual(log.splice(0), ['run-h/0 waiting', 'run-h/0 alone']);
  const saved: boolean[] = [];
  const b = launch('run-a/0', 1, 'm1');
  b.stop(5, (s) => saved.push(s));
  pass(15_000);
  assert.deepEqual([saved, log.splice(0)], [[false], ['run-a/0 running']]);
});

test('what a lab is like is checked with names and bounds', () => {
  assert.throws(
    () => readLabOptions('f.hcl', { lab: [{ sped: 2 }] }),
    (e) => e instanceof InvalidSettingsError && /f.hcl: lab.sped: unknown name/.test(e.message),
  );
  assert.throws(() => readLabOptions('f.hcl', { type: { x: [{ cpus: -1, memory_gb: 1 }] } }), /type.x.cpus/);
  const bad = { fault: { 'kill-controler': [{ at_s: 1 }] } };
  assert.throws(() => readLabOptions('f.hcl', bad), /f.hcl: fault/);
  const { faults } = readLabOptions('f', {
    fault: {
      'zone-cut': [
        { at_s: 3, zone: 'a' },
        { at_s: 9, zone: 'b' },
      ],
    },
  });
  assert.deepEqual(
    faults.map((f) => [f.atS, f.fault.kind, f.fault.zone, f.fault.seconds]),
    [
      [3, 'zone-cut', 'a', 10],
      [9, 'zone-cut', 'b', 10],
    ],
  );
  assert.equal(readLabOptions('f', { team: { a: [{ cpus_max: 3 }] } }).teams.a?.cpus_max, 3);
});
