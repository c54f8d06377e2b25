// What a script has asked for outlives it, whatever is left of the file.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HEAD } from '../src/journal-frames.ts';
import { RequestJournal } from '../src/request-journal.ts';
import type { Entry } from '../src/session.ts';
import { JournalError } from '../src/types.ts';
import { FakeDisk, settle } from './support.ts';

const fail = (e: JournalError): void => assert.fail(e.message);
const submit = (n: number): Entry => ({ op: 'submit', id: `run-${n}`, key: `k${n}`, body: `{"n":${n}}` });

async function written(): Promise<FakeDisk> {
  const disk = new FakeDisk();
  const outbox = await RequestJournal.open(disk, fail);
  for (let n = 0; n < 4; n++) {
    outbox.keep(submit(n), () => {});
    if (n % 2 === 0) outbox.keep({ op: 'accepted', id: `run-${n}` }, () => {});
    await settle();
  }
  outbox.keep({ op: 'over', id: 'run-2', outcome: { kind: 'done', id: 'run-2' } }, () => {});
  await settle();
  return disk;
}
const asText = (o: RequestJournal): string[] => o.all().map((k) => JSON.stringify(k));

test('a file cut at any byte gives back what came before, and can be written on', async () => {
  const whole = (await written()).bytes;
  let before = 0;
  for (let cut = 0; cut <= whole.length; cut++) {
    const disk = new FakeDisk();
    disk.bytes = whole.subarray(0, cut);
    const outbox = await RequestJournal.open(disk, fail);
    const n = outbox.all().length;
    assert.ok(n >= before && n <= 4, `${cut}: ${n} jobs`);
    before = n;
    assert.equal(
      disk.bytes.length,
      outbox.torn === null ? Math.max(cut, HEAD.length) : Math.max(HEAD.length, outbox.torn.offset),
    );
    outbox.keep(submit(9), () => {});
    await settle();
    const again = await RequestJournal.open(disk, fail);
    assert.equal(again.torn, null);
    assert.deepEqual(asText(again), [...asText(outbox)]);
    assert.equal(again.find('k9')?.id, 'run-9');
  }
  assert.equal(before, 4);
});

test('damage before the last record is an error that names file and byte, and the file stays as it is', async () => {
  const whole = (await written()).bytes;
  const last = await RequestJournal.open(Object.assign(new FakeDisk(), { bytes: whole }), fail);
  let damaged = 0;
  for (let at = 0; at < whole.length; at++) {
    const disk = new FakeDisk();
    disk.bytes = Buffer.from(whole);
    disk.bytes[at] = disk.bytes[at]! ^ 0x41;
    const copy = Buffer.from(disk.bytes);
    try {
      const outbox = await RequestJournal.open(disk, fail);
      // Only the last record, which nobody may have been told of, can be taken for torn.
      assert.ok(outbox.torn !== null && at >= outbox.torn.offset, `byte ${at} went unseen`);
      assert.deepEqual(asText(outbox).slice(0, 2), asText(last).slice(0, 2));
      assert.equal(outbox.get('run-3')?.body, '{"n":3}');
    } catch (e) {
      assert.ok(e instanceof JournalError && e.offset <= at && /outbox, byte \d+/.test(e.message), String(e));
      assert.deepEqual(disk.bytes, copy);
      damaged++;
    }
  }
  assert.ok(damaged > whole.length / 2);
});

test('a full disk is an error that names the byte; what was kept stays, and nothing half written is left', async () => {
  const disk = new FakeDisk();
  const errors: JournalError[] = [];
  const outbox = await RequestJournal.open(disk, (e) => errors.push(e));
  let kept = 0;
  outbox.keep(submit(1), () => kept++);
  await settle();
  const length = disk.bytes.length;
  disk.room = 20;
  for (const n of [2, 3]) outbox.keep(submit(n), () => kept++);
  await settle();
  disk.room = 1e6;
  outbox.keep(submit(4), () => kept++);
  await settle();
  assert.equal(kept, 1, 'after an error nothing more is said to be kept');
  assert.equal(errors.length, 1);
  assert.equal(errors[0]!.message, `outbox, byte ${length}: the disk is full`);
  assert.equal(disk.bytes.length, length);
  assert.deepEqual(
    (await RequestJournal.open(disk, fail)).all().map((k) => k.id),
    ['run-1'],
  );
});

test('a file in which little is of use any more is written anew, with every key and outcome', async () => {
  const disk = new FakeDisk();
  const outbox = await RequestJournal.open(disk, fail, 20_000);
  for (let n = 0; n < 60; n++) {
    outbox.keep({ op: 'submit', id: `run-${n}`, key: `k${n}`, body: 'x'.repeat(2000) }, () => {});
    if (n < 58)
      outbox.keep({ op: 'over', id: `run-${n}`, outcome: { kind: 'done', id: `run-${n}` } }, () => {});
    await settle();
  }
  assert.ok(disk.bytes.length < 45_000, `${disk.bytes.length}`);
  const again = await RequestJournal.open(disk, fail);
  assert.deepEqual(asText(again), asText(outbox));
  assert.equal(again.find('k3')?.outcome?.kind, 'done');
  assert.equal(again.find('k59')?.body?.length, 2000);
});
