// The client library on real sockets, files and processes: one short run.
import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { Client, type JobRequest, OutboxError } from '../packages/client/src/index.ts';
import { REQUEST, Service } from '../packages/client/test/support.ts';
import { fromJson } from '../src/cli/job-file.ts';
import { serveHttp } from '../src/http/server.ts';

const servers: { close(): void }[] = [];
test.after(() => {
  for (const s of servers) s.close();
});

/** The stand-in of a service on a port of its own. */
async function serve(runMs: number) {
  const service = new Service(runMs);
  let submissions = 0;
  /** Called before a submission is answered. */
  let tap = (_n: number): void => {};
  const limits = { maxConnections: 100, maxBody: 1 << 16, requestMs: 10_000, idleMs: 60_000 };
  const { server } = serveHttp({
    host: '127.0.0.1',
    port: 0,
    limits,
    handler: (m, answer) => {
      const call = { method: m.method, path: m.target, body: m.body.toString('utf8') };
      const { status, body } = service.answer(performance.now(), call);
      if (m.target === '/work') tap(++submissions);
      answer({ status, body });
    },
    classify: () => ({ urgency: 0, uselessAfterMs: 10_000 }),
  });
  await new Promise((r) => server.once('listening', r));
  const addr = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const onSubmission = (f: (n: number) => void): void => {
    tap = f;
  };
  servers.push(server);
  return { service, addr, onSubmission, close: () => server.close() };
}

function swiftford(args: string[]) {
  const child = spawn(process.execPath, ['target/main.js', ...args], { stdio: ['ignore', 'pipe', 'pipe'] });
  let out = '';
  child.stdout.on('data', (d) => {
    out += d;
  });
  let err = '';
  child.stderr.on('data', (d) => {
    err += d;
  });
  const ended = new Promise<{ code: number | null; out: string; err: string }>((r) =>
    child.once('close', (code) => r({ code, out, err })),
  );
  return { child, ended };
}

const dir = mkdtempSync(join(tmpdir(), 'swiftford-'));
test.after(() => rmSync(dir, { recursive: true }));

test('a command that is killed while it submits goes on with the same jobs when it is started again', async () => {
  const s = await serve(300);
  const file = join(dir, 'night.jsonl');
  const outbox = join(dir, 'night.outbox');
  const jobs = Array.from({ length: 30 }, (_, n) => ({
    ...REQUEST,
    name: `route-${n}`,
    ...(n === 7 ? { team: 'nobody' } : {}),
  }));
  writeFileSync(file, jobs.map((j) => JSON.stringify(j)).join('\n'));
  const args = ['run', file, '--node', s.addr, '--outbox', outbox, '--json'];
  const first = swiftford(args);
  s.onSubmission((n) => n === 9 && first.child.kill('SIGKILL'));
  await first.ended;
  s.onSubmission(() => {});
  const before = [...s.service.jobs.keys()];
  assert.ok(before.length >= 8);
  const second = await swiftford(args).ended;
  assert.equal(second.code, 4, second.err);
  const told = second.out
    .trim()
    .split('\n')
    .map((l) => JSON.parse(l));
  assert.equal(told.length, 30);
  assert.equal(new Set(told.map((t) => t.id)).size, 30);
  for (const t of told) {
    assert.equal(t.kind, t.name === 'route-7' ? 'refused' : 'done');
    assert.equal(s.service.jobs.get(t.id)?.final ?? 'refused', t.kind);
  }
  assert.match(told.find((t) => t.name === 'route-7').reason, /no team nobody/);
  assert.equal(s.service.jobs.size, 29, 'none twice');
  for (const id of before) assert.ok(told.some((t) => t.id === id));
  // A third time everything is known, and nothing is sent.
  s.close();
  const third = await swiftford(args).ended;
  assert.deepEqual(
    [third.code, third.out.trim().split('\n').sort()],
    [4, second.out.trim().split('\n').sort()],
  );
});

test('pipelines, watching, cancelling and mistakes on the command line, with their exit codes', async () => {
  const s = await serve(200);
  const hcl = join(dir, 'chain.hcl');
  const block = (name: string, more: string): string =>
    `job "${name}" {\n team = "vision"\n class = "train"\n cpus = 2\n memoryGb = 4\n image = "i"\n imageGb = 1\n estimateS = 5\n${more}}\n`;
  writeFileSync(hcl, block('last', 'awaits = ["first"]\n') + block('first', ''));
  const chain = await swiftford(['run', hcl, '--node', s.addr]).ended;
  assert.equal(chain.code, 0, chain.err);
  assert.match(chain.out, /first {2}done\n.*last {2}done\n/);
  writeFileSync(hcl, block('a', 'awaits = ["b"]\n') + block('b', 'awaits = ["a"]\n'));
  const cycle = await swiftford(['run', hcl, '--node', s.addr]).ended;
  assert.deepEqual([cycle.code, s.service.jobs.size], [2, 2]);
  assert.match(cycle.err, /a -> b -> a|b -> a -> b/);
  const one = join(dir, 'one.json');
  writeFileSync(one, JSON.stringify(REQUEST));
  const sent = await swiftford(['submit', one, '--node', s.addr, '--json']).ended;
  const { id, kind } = JSON.parse(sent.out);
  assert.equal(kind, 'accepted');
  const watch = await swiftford(['watch', id, '--node', s.addr]).ended;
  assert.deepEqual([watch.code, watch.out.trim().split('\n').at(-1)], [0, `${id}  done`]);
  const late = await swiftford(['cancel', id, '--node', s.addr]).ended;
  assert.deepEqual([late.code, late.out], [0, `${id}  done\n`]);
  const unknown = await swiftford(['watch', 'run-nobody', '--node', s.addr]).ended;
  assert.equal(unknown.code, 4);
  s.close();
  const gone = await swiftford(['submit', one, '--node', s.addr, '--accept-within', '1']).ended;
  assert.equal(gone.code, 5, gone.err);
  assert.match(gone.out, /given up: .* did not answer; submit it again under the id run-/);
  const nodes = ['--node', '127.0.0.1:1'];
  writeFileSync(join(dir, 'told.json'), JSON.stringify({ ...REQUEST, command: 'true' }));
  for (const [args, said] of [
    [['submit', join(dir, 'none.json'), ...nodes], /^swiftford: .*none.json: cannot be read: ENOENT\n$/],
    [['submit', join(dir, 'told.json'), ...nodes], /^swiftford: job 1: a command is run by a lab only/],
    [['watch', 'x', ...nodes], /^swiftford: x: a job id looks like run-000412\n$/],
    [['submit', one], /^swiftford: name the nodes with --node/],
  ] as const) {
    const r = await swiftford([...args]).ended;
    assert.equal(r.code, 2);
    assert.match(r.err, said);
  }
  assert.throws(() => fromJson('f', '{"team":1}\nnonsense'), /f: line 2 is not JSON/);
});

test('the library: the same submission made twice at once is one job, waiting can be ended, a second writer is refused', async () => {
  const s = await serve(1500);
  const outbox = join(dir, 'lib.outbox');
  const client = await Client.open({ nodes: [s.addr], outbox, pending: 2 });
  const second = assert.rejects(
    Client.open({ nodes: [s.addr], outbox }),
    /lib.outbox, byte 0: another process is using it/,
  );
  const twice = await Promise.all([1, 2].map(() => client.submit(REQUEST, { key: 'a' })));
  assert.equal(twice[0]!.id, twice[1]!.id);
  const many = await Promise.all([1, 2, 3, 4, 5].map((n) => client.submit(REQUEST, { key: `m${n}` })));
  assert.equal(new Set(many.map((m) => m.id)).size, 5);
  const stop = new AbortController();
  const waiting = client.wait(many[0]!.id, { signal: stop.signal });
  stop.abort();
  await assert.rejects(waiting, { name: 'AbortError' });
  const ends = await Promise.all([client.cancel(many[1]!.id), client.wait(many[1]!.id)]);
  assert.deepEqual(ends[0], ends[1]);
  assert.equal(ends[0].kind, 'cancelled');
  const early = client.submit(REQUEST, { id: 'run-early' });
  const ended = await client.cancel('run-early');
  assert.deepEqual([ended.kind, (await early).outcome], ['cancelled', ended], 'asked for before it was sent');
  const awaiting = (awaits: string[]): JobRequest => ({ ...REQUEST, awaits });
  const out = await client.pipeline({ z: awaiting(['y']), y: { ...REQUEST, team: 'nobody' }, x: REQUEST });
  assert.deepEqual([out.x.kind, out.y.kind, out.z.kind], ['done', 'refused', 'refused']);
  assert.ok(
    out.z.kind === 'refused' &&
      out.z.status === null &&
      /awaits, was not accepted: there is no team/.test(out.z.reason),
  );
  const states: string[] = [];
  for await (const x of client.watch(twice[0]!.id)) states.push(x.phase);
  assert.equal(states.at(-1), 'done');
  await second;
  await client.close();
  const damaged = join(dir, 'damaged.outbox');
  const bytes = readFileSync(outbox);
  bytes[30]! ^= 1;
  writeFileSync(damaged, bytes);
  await assert.rejects(Client.open({ nodes: [s.addr], outbox: damaged }), (e) => {
    assert.ok(e instanceof OutboxError && e.file === damaged && e.offset === 19);
    return true;
  });
  assert.deepEqual(readFileSync(damaged), bytes);
  s.close();
});
