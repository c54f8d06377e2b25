// Tests of the client library and its commands with real sockets, files and processes.
import assert from 'node:assert/strict';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it, type TestContext } from 'node:test';
import { Client, type JobRequest, OutboxError } from '../packages/client/src/index.ts';
import { REQUEST, Service } from '../packages/client/test/support.ts';
import { fromJson } from '../src/cli/job-file.ts';
import { serveHttp } from '../src/http/server.ts';
import { runProgram, startProgram } from './support/programs.ts';

interface ServedService {
  service: Service;
  addr: string;
  /** Calls `listener` with the number of submissions so far before the response to each one. */
  onSubmission(listener: (count: number) => void): void;
  close(): void;
}

/** Serves a fake of the service on a free port until the test ends. */
async function serve(t: TestContext, runMs: number): Promise<ServedService> {
  const service = new Service(runMs);
  let submissions = 0;
  let listener = (_count: number): void => {};
  const { server } = serveHttp({
    host: '127.0.0.1',
    port: 0,
    limits: { maxConnections: 100, maxBody: 1 << 16, requestMs: 10_000, idleMs: 60_000 },
    handler: (request, respond) => {
      const call = { method: request.method, path: request.target, body: request.body.toString('utf8') };
      const { status, body } = service.answer(performance.now(), call);
      if (request.target === '/work') listener(++submissions);
      respond({ status, body });
    },
    classify: () => ({ urgency: 0, uselessAfterMs: 10_000 }),
  });
  t.after(() => server.close());
  await new Promise((resolve) => server.once('listening', resolve));
  return {
    service,
    addr: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    onSubmission: (added) => {
      listener = added;
    },
    close: () => server.close(),
  };
}

/** Creates a directory that is removed when the test ends. */
function temporaryDirectory(t: TestContext): string {
  const dir = mkdtempSync(join(tmpdir(), 'swiftford-'));
  t.after(() => rmSync(dir, { recursive: true }));
  return dir;
}

describe('the command run', () => {
  it('resumes with the same jobs when it is started again after it was killed during submission', async (t) => {
    const dir = temporaryDirectory(t);
    const served = await serve(t, 300);
    const file = join(dir, 'night.jsonl');
    const outbox = join(dir, 'night.outbox');
    const jobs = Array.from({ length: 30 }, (_, n) => ({
      ...REQUEST,
      name: `route-${n}`,
      ...(n === 7 ? { team: 'nobody' } : {}),
    }));
    writeFileSync(file, jobs.map((job) => JSON.stringify(job)).join('\n'));
    const args = ['run', file, '--node', served.addr, '--outbox', outbox, '--json'];
    const first = startProgram(t, args);
    served.onSubmission((count) => count === 9 && first.child.kill('SIGKILL'));
    await first.exited;
    served.onSubmission(() => {});
    const submittedBefore = [...served.service.jobs.keys()];
    assert.ok(submittedBefore.length >= 8);
    const second = await runProgram(t, ...args);
    assert.equal(second.code, 4, second.stderr);
    const printed = second.stdout
      .trim()
      .split('\n')
      .map((line) => JSON.parse(line));
    assert.equal(printed.length, 30);
    assert.equal(new Set(printed.map((job) => job.id)).size, 30);
    for (const job of printed) {
      assert.equal(job.kind, job.name === 'route-7' ? 'refused' : 'done');
      assert.equal(served.service.jobs.get(job.id)?.final ?? 'refused', job.kind);
    }
    assert.match(printed.find((job) => job.name === 'route-7').reason, /no team nobody/);
    assert.equal(served.service.jobs.size, 29, 'no job was submitted twice');
    for (const id of submittedBefore) assert.ok(printed.some((job) => job.id === id));
    // The third run reads all outcomes from the outbox and sends nothing: the service is closed.
    served.close();
    const third = await runProgram(t, ...args);
    assert.deepEqual(
      [third.code, third.stdout.trim().split('\n').sort()],
      [4, second.stdout.trim().split('\n').sort()],
    );
  });
});

describe('the commands of the client', () => {
  it('run pipelines, watch, cancel, and exit with the code of each outcome and of each wrong argument', async (t) => {
    const dir = temporaryDirectory(t);
    const served = await serve(t, 200);
    const hcl = join(dir, 'chain.hcl');
    const block = (name: string, more: string): string =>
      `job "${name}" {\n team = "vision"\n class = "train"\n cpus = 2\n memoryGb = 4\n image = "i"\n imageGb = 1\n estimateS = 5\n${more}}\n`;
    writeFileSync(hcl, block('last', 'awaits = ["first"]\n') + block('first', ''));
    const pipeline = await runProgram(t, 'run', hcl, '--node', served.addr);
    assert.equal(pipeline.code, 0, pipeline.stderr);
    assert.match(pipeline.stdout, /first {2}done\n.*last {2}done\n/);
    writeFileSync(hcl, block('a', 'awaits = ["b"]\n') + block('b', 'awaits = ["a"]\n'));
    const cycle = await runProgram(t, 'run', hcl, '--node', served.addr);
    assert.deepEqual([cycle.code, served.service.jobs.size], [2, 2]);
    assert.match(cycle.stderr, /a -> b -> a|b -> a -> b/);
    const oneJob = join(dir, 'one.json');
    writeFileSync(oneJob, JSON.stringify(REQUEST));
    const submitted = await runProgram(t, 'submit', oneJob, '--node', served.addr, '--json');
    const { id, kind } = JSON.parse(submitted.stdout);
    assert.equal(kind, 'accepted');
    const watched = await runProgram(t, 'watch', id, '--node', served.addr);
    assert.deepEqual([watched.code, watched.stdout.trim().split('\n').at(-1)], [0, `${id}  done`]);
    const cancelled = await runProgram(t, 'cancel', id, '--node', served.addr);
    assert.deepEqual([cancelled.code, cancelled.stdout], [0, `${id}  done\n`]);
    const unknown = await runProgram(t, 'watch', 'run-nobody', '--node', served.addr);
    assert.equal(unknown.code, 4);
    served.close();
    const unreachable = await runProgram(t, 'submit', oneJob, '--node', served.addr, '--accept-within', '1');
    assert.equal(unreachable.code, 5, unreachable.stderr);
    assert.match(unreachable.stdout, /given up: .* did not answer; submit it again under the id run-/);
    const node = ['--node', '127.0.0.1:1'];
    writeFileSync(join(dir, 'told.json'), JSON.stringify({ ...REQUEST, command: 'true' }));
    for (const [args, message] of [
      [['submit', join(dir, 'none.json'), ...node], /^swiftford: .*none.json: cannot be read: ENOENT\n$/],
      [['submit', join(dir, 'told.json'), ...node], /^swiftford: job 1: a command is run by a lab only/],
      [['watch', 'x', ...node], /^swiftford: x: a job id looks like run-000412\n$/],
      [['submit', oneJob], /^swiftford: name the nodes with --node/],
    ] as const) {
      const exit = await runProgram(t, ...args);
      assert.equal(exit.code, 2);
      assert.match(exit.stderr, message);
    }
    assert.throws(() => fromJson('f', '{"team":1}\nnonsense'), /f: line 2 is not JSON/);
  });

  it('accept the address of a local cluster with --local-cluster and with its older name --lab', async (t) => {
    const file = join(temporaryDirectory(t), 'one.json');
    writeFileSync(file, JSON.stringify(REQUEST));
    for (const option of ['--local-cluster', '--lab']) {
      const submitted = await runProgram(t, 'submit', file, option, '127.0.0.1:1');
      assert.deepEqual(submitted, {
        code: 1,
        stdout: '',
        stderr: 'swiftford: there is no lab at 127.0.0.1:1; start one with swiftford lab\n',
      });
    }
    const [current, alias] = [
      await runProgram(t, 'local-cluster', '--help'),
      await runProgram(t, 'lab', '--help'),
    ];
    assert.equal(current.code, 0);
    assert.deepEqual(current, alias);
  });
});

describe('the client library', () => {
  it('submits a job once per key, stops waiting on abort, and refuses a second writer of the outbox', async (t) => {
    const dir = temporaryDirectory(t);
    const served = await serve(t, 1500);
    const outbox = join(dir, 'lib.outbox');
    const client = await Client.open({ nodes: [served.addr], outbox, pending: 2 });
    const secondWriter = assert.rejects(
      Client.open({ nodes: [served.addr], outbox }),
      /lib.outbox, byte 0: another process is using it/,
    );
    const twice = await Promise.all([1, 2].map(() => client.submit(REQUEST, { key: 'a' })));
    assert.equal(twice[0]!.id, twice[1]!.id);
    const jobs = await Promise.all([1, 2, 3, 4, 5].map((n) => client.submit(REQUEST, { key: `m${n}` })));
    assert.equal(new Set(jobs.map((submitted) => submitted.id)).size, 5);
    const abort = new AbortController();
    const waiting = client.wait(jobs[0]!.id, { signal: abort.signal });
    abort.abort();
    await assert.rejects(waiting, { name: 'AbortError' });
    const ends = await Promise.all([client.cancel(jobs[1]!.id), client.wait(jobs[1]!.id)]);
    assert.deepEqual(ends[0], ends[1]);
    assert.equal(ends[0].kind, 'cancelled');
    const early = client.submit(REQUEST, { id: 'run-early' });
    const ended = await client.cancel('run-early');
    assert.deepEqual(
      [ended.kind, (await early).outcome],
      ['cancelled', ended],
      'cancelled before it was submitted',
    );
    const awaiting = (awaits: string[]): JobRequest => ({ ...REQUEST, awaits });
    const outcomes = await client.pipeline({
      z: awaiting(['y']),
      y: { ...REQUEST, team: 'nobody' },
      x: REQUEST,
    });
    assert.deepEqual([outcomes.x.kind, outcomes.y.kind, outcomes.z.kind], ['done', 'refused', 'refused']);
    assert.ok(
      outcomes.z.kind === 'refused' &&
        outcomes.z.status === null &&
        /awaits, was not accepted: there is no team/.test(outcomes.z.reason),
    );
    const phases: string[] = [];
    for await (const state of client.watch(twice[0]!.id)) phases.push(state.phase);
    assert.equal(phases.at(-1), 'done');
    await secondWriter;
    await client.close();
    const damaged = join(dir, 'damaged.outbox');
    const bytes = readFileSync(outbox);
    bytes[30]! ^= 1;
    writeFileSync(damaged, bytes);
    await assert.rejects(Client.open({ nodes: [served.addr], outbox: damaged }), (error) => {
      assert.ok(error instanceof OutboxError && error.file === damaged && error.offset === 19);
      return true;
    });
    assert.deepEqual(readFileSync(damaged), bytes);
    served.close();
  });
});
