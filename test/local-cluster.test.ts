// Tests of the local cluster: real controllers, stand-ins on sockets, commands as child processes.
import assert from 'node:assert/strict';
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, describe, it, type TestContext } from 'node:test';
import { Client } from '../packages/client/src/index.ts';
import { LocalCluster, readLocalClusterOptions, reservePort } from '../packages/local-cluster/src/index.ts';
import { TaskRunner } from '../packages/local-cluster/src/task-runner.ts';
import { InvalidSettingsError } from '../src/protocol/settings.ts';
import type { TaskId } from '../src/types/index.ts';
import { demoRequest, eventually } from './support/local-cluster.ts';
import { PROGRAM, runProgram, startProgram } from './support/programs.ts';

const dir = mkdtempSync(join(tmpdir(), 'swiftford-lab-'));
after(() => rmSync(dir, { recursive: true, force: true }));

const exists = (pid: number): boolean => {
  try {
    process.kill(pid, 0);
    return true;
  } catch {
    return false;
  }
};

/** A clock that tests advance. */
class ManualClock {
  now = 0;
  private readonly timers: { at: number; run: () => void }[] = [];

  after(ms: number, run: () => void): void {
    this.timers.push({ at: this.now + ms, run });
  }

  advance(ms: number): void {
    const end = this.now + ms;
    for (; this.now < end; this.now += 100) {
      const due = this.timers.filter((timer) => timer.at <= this.now);
      for (const timer of due) {
        this.timers.splice(this.timers.indexOf(timer), 1);
        timer.run();
      }
    }
  }
}

describe('A local cluster', () => {
  it('runs each command once though a controller is killed, records output, and leaves no process behind', async (t) => {
    const cluster = await LocalCluster.start(
      readLocalClusterOptions('t', {
        lab: [{ port: 0, speed: 20 }],
        workers: [{ report_s: 0.5 }],
        cloud: [{ list_lag_s: 0 }],
      }),
      { program: [process.execPath, PROGRAM], dir: join(dir, 'lab'), log: () => {} },
    );
    const controllerPids = (): number[] => cluster.controllers.map((controller) => controller.process!.pid!);
    const pids = controllerPids();
    try {
      await cluster.ready();
      const runsFile = join(dir, 'count');
      const jobFile = join(dir, 'job.json');
      const request = demoRequest(1);
      writeFileSync(
        jobFile,
        JSON.stringify([
          {
            ...request,
            name: 'first',
            tasks: 3,
            command: `echo $SWIFTFORD_TASK of $SWIFTFORD_TASKS; echo x >> ${runsFile}; sleep 2`,
          },
          {
            ...request,
            name: 'gang',
            kind: 'gang',
            tasks: 2,
            command: 'sleep 0.$SWIFTFORD_TASK; echo $SWIFTFORD_PEERS | tr : "\\n" | wc -l',
          },
          { ...request, name: 'last', awaits: ['first'], command: ['sh', '-c', `wc -l < ${runsFile}`] },
        ]),
      );
      const program = startProgram(t, ['run', jobFile, '--lab', cluster.addr, '--json']);
      await eventually(() => cluster.runs.length >= 3);
      cluster.fault({ kind: 'kill-controller', seconds: 1, count: 1 });
      const exit = await program.exited;
      assert.equal(exit.code, 0, exit.stdout + exit.stderr);
      await eventually(() => cluster.controllers.every((controller) => controller.process !== null));
      pids.push(...controllerPids());
      const lines = exit.stdout.trim().split('\n');
      const results = lines.map((line) => JSON.parse(line) as { name: string; id: string });
      const ids = new Map(results.map(({ name, id }) => [name, id]));
      const outputOf = (name: string, index: number): string => {
        const id = ids.get(name)!;
        const run = cluster.runs.find(({ task }) => task === `${id}/${index}`)!;
        return readFileSync(join(dir, 'lab/jobs', id, `${index}.${run.attempt}/stdout`), 'utf8').trim();
      };
      assert.equal(outputOf('first', 2), '2 of 3');
      assert.equal(outputOf('gang', 1), '2');
      assert.equal(outputOf('last', 0), '3', 'each task ran once, and before the job that depends on it');
      assert.equal((cluster.storedValue(`f/${ids.get('last')}`) as { s: string }).s, 'done');
    } finally {
      await cluster.stop();
    }
    for (const pid of pids) assert.ok(!exists(pid), `process ${pid} still exists`);
  });

  /** Starts `swiftford lab` with records on disk; returns its process and its controllers' addresses. */
  async function startCluster(t: TestContext, port: number, name: string) {
    const program = startProgram(t, [
      'lab',
      '--port',
      String(port),
      '--dir',
      join(dir, name),
      '--data',
      join(dir, 'data'),
    ]);
    await eventually(() => /try: /.test(program.output()));
    const nodes = [...program.output().matchAll(/node-\d {2}(\S+)/g)].map((match) => match[1]!);
    return { child: program.child, nodes };
  }

  /** Runs `swiftford submit` or `run` with one job, and returns the id of the job. */
  async function submitWith(
    t: TestContext,
    command: 'submit' | 'run',
    job: object,
    port: number,
  ): Promise<string> {
    const file = join(dir, 'kept.json');
    writeFileSync(file, JSON.stringify({ ...demoRequest(0), ...job }));
    const { stdout } = await runProgram(t, command, file, '--lab', `127.0.0.1:${port}`, '--json');
    return JSON.parse(stdout).id;
  }

  it('leaves no process behind when killed, and after a restart does not repeat completed tasks', async (t) => {
    const port = await reservePort();
    const first = await startCluster(t, port, 'one');
    const pidsFile = join(dir, 'pids');
    const doneJob = { name: 'done', command: `echo once >> ${dir}/once` };
    const done = await submitWith(t, 'run', doneJob, port);
    const longJob = {
      name: 'long',
      command: `echo $$ >> ${pidsFile}; sleep 4; echo end >> ${dir}/ends`,
    };
    const long = await submitWith(t, 'submit', longJob, port);
    const startedPids = (): number[] =>
      existsSync(pidsFile) ? readFileSync(pidsFile, 'utf8').trim().split('\n').map(Number) : [];
    await eventually(() => startedPids().length === 1);
    first.child.kill('SIGKILL');
    await eventually(() => !exists(startedPids()[0]!));
    const clientOfKilled = await Client.open({ nodes: first.nodes });
    const outcome = await clientOfKilled.run(demoRequest(0), { acceptWithinS: 2 });
    assert.ok(
      outcome.kind === 'gave-up' && outcome.accepted === null && /did not answer/.test(outcome.reason),
      JSON.stringify(outcome),
    );
    await clientOfKilled.close();
    const second = await startCluster(t, port, 'two');
    const client = await Client.open({ nodes: second.nodes });
    assert.deepEqual(await client.wait(done), { kind: 'done', id: done });
    assert.deepEqual(await client.wait(long), { kind: 'done', id: long });
    await client.close();
    assert.deepEqual(
      [readFileSync(join(dir, 'once'), 'utf8'), readFileSync(join(dir, 'ends'), 'utf8')],
      ['once\n', 'end\n'],
    );
    assert.equal(startedPids().length, 2);
    second.child.kill('SIGTERM');
    const code = await new Promise((resolve) => second.child.once('exit', resolve));
    assert.equal(code, 0);
  });
});

describe('TaskRunner', () => {
  it('starts and completes gangs together, ends them after a loss, fetches images once, reports saved progress', () => {
    const clock = new ManualClock();
    const runner = new TaskRunner(clock, dir, null as never, { speed: 1, gangWaitS: 20, gangPeerS: 4 });
    const simulated = { image: 'i', imageGb: 4, runS: 10, command: null };
    runner.describe('run-g', { kind: 'gang', tasks: 2, ...simulated });
    runner.describe('run-a', { kind: 'array', tasks: 9, ...simulated });
    const log: string[] = [];
    const launch = (task: string, attempt: number, machine: string) =>
      runner.launch(
        { id: machine, fetchGbPerS: 1, cacheGb: 10 },
        task as TaskId,
        attempt,
        (reason) => log.push(`${task} ${reason}`),
        (progress) => log.push(`${task} ${progress}`),
      );
    launch('run-g/0', 1, 'm1');
    clock.advance(5000);
    assert.deepEqual(log.splice(0), ['run-g/0 fetching', 'run-g/0 waiting']);
    launch('run-g/1', 1, 'm1');
    assert.deepEqual(log.splice(0), ['run-g/1 waiting', 'run-g/0 running', 'run-g/1 running']);
    clock.advance(11_000);
    assert.deepEqual(log.splice(0).sort(), ['run-g/0 done', 'run-g/1 done']);
    runner.describe('run-h', { kind: 'gang', tasks: 2, ...simulated });
    const lostTask = launch('run-h/0', 1, 'm1');
    launch('run-h/1', 1, 'm1');
    lostTask.kill();
    clock.advance(4000);
    assert.deepEqual(log.splice(0).at(-1), 'run-h/1 peers');
    launch('run-h/0', 2, 'm1');
    clock.advance(21_000);
    assert.deepEqual(log.splice(0), ['run-h/0 waiting', 'run-h/0 alone']);
    const saved: boolean[] = [];
    const stoppedTask = launch('run-a/0', 1, 'm1');
    stoppedTask.stop(5, (hasSaved) => saved.push(hasSaved));
    clock.advance(15_000);
    assert.deepEqual([saved, log.splice(0)], [[false], ['run-a/0 running']]);
  });
});

describe('The options of a local cluster', () => {
  it('are rejected with unknown names or values out of bounds, and read with defaults otherwise', () => {
    assert.throws(
      () => readLocalClusterOptions('f.hcl', { lab: [{ sped: 2 }] }),
      (error) => error instanceof InvalidSettingsError && /f.hcl: lab.sped: unknown name/.test(error.message),
    );
    const negative = { type: { x: [{ cpus: -1, memory_gb: 1 }] } };
    assert.throws(() => readLocalClusterOptions('f.hcl', negative), /type.x.cpus/);
    const unknownFault = { fault: { 'kill-controler': [{ at_s: 1 }] } };
    assert.throws(() => readLocalClusterOptions('f.hcl', unknownFault), /f.hcl: fault/);
    const { faults } = readLocalClusterOptions('f', {
      fault: {
        'zone-cut': [
          { at_s: 3, zone: 'a' },
          { at_s: 9, zone: 'b' },
        ],
      },
    });
    assert.deepEqual(
      faults.map(({ atS, fault }) => [atS, fault.kind, fault.zone, fault.seconds]),
      [
        [3, 'zone-cut', 'a', 10],
        [9, 'zone-cut', 'b', 10],
      ],
    );
    assert.equal(readLocalClusterOptions('f', { team: { a: [{ cpus_max: 3 }] } }).teams.a?.cpus_max, 3);
  });
});
