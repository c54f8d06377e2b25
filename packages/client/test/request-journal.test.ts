// What a script has asked for outlives it, whatever is left of the journal's file.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { HEADER } from '../src/journal-frames.ts';
import { RequestJournal } from '../src/request-journal.ts';
import type { JournalEntry } from '../src/session-messages.ts';
import { JournalError } from '../src/types.ts';
import { FakeDisk, settle } from './support.ts';

const failTest = (error: JournalError): void => assert.fail(error.message);
const ignore = (): void => {};
const submitEntry = (n: number): JournalEntry => ({
  op: 'submit',
  id: `run-${n}`,
  key: `k${n}`,
  body: `{"n":${n}}`,
});
const doneEntry = (id: string): JournalEntry => ({ op: 'over', id, outcome: { kind: 'done', id } });

function diskWith(bytes: FakeDisk['bytes']): FakeDisk {
  const disk = new FakeDisk();
  disk.bytes = bytes;
  return disk;
}

/** Four submissions, two of them accepted, one of those done. */
async function writeJournal(): Promise<FakeDisk> {
  const disk = new FakeDisk();
  const journal = await RequestJournal.open(disk, failTest);
  for (let n = 0; n < 4; n++) {
    journal.append(submitEntry(n), ignore);
    if (n % 2 === 0) journal.append({ op: 'accepted', id: `run-${n}` }, ignore);
    await settle();
  }
  journal.append(doneEntry('run-2'), ignore);
  await settle();
  return disk;
}

const jobsAsText = (journal: RequestJournal): string[] => journal.all().map((job) => JSON.stringify(job));

describe('RequestJournal', () => {
  it('recovers what came before the cut from a file cut at any byte, and goes on writing to it', async () => {
    const whole = (await writeJournal()).bytes;
    let before = 0;
    for (let cut = 0; cut <= whole.length; cut++) {
      const disk = diskWith(whole.subarray(0, cut));
      const journal = await RequestJournal.open(disk, failTest);
      const count = journal.all().length;
      assert.ok(count >= before && count <= 4, `${cut}: ${count} jobs`);
      before = count;
      assert.equal(
        disk.bytes.length,
        journal.torn === null ? Math.max(cut, HEADER.length) : Math.max(HEADER.length, journal.torn.offset),
      );
      journal.append(submitEntry(9), ignore);
      await settle();
      const reopened = await RequestJournal.open(disk, failTest);
      assert.equal(reopened.torn, null);
      assert.deepEqual(jobsAsText(reopened), [...jobsAsText(journal)]);
      assert.equal(reopened.find('k9')?.id, 'run-9');
    }
    assert.equal(before, 4);
  });

  it('reports damage before the last record as an error that names file and byte, and leaves the file as it is', async () => {
    const whole = (await writeJournal()).bytes;
    const undamaged = await RequestJournal.open(diskWith(whole), failTest);
    let damaged = 0;
    for (let at = 0; at < whole.length; at++) {
      const disk = diskWith(Buffer.from(whole));
      disk.bytes[at] = disk.bytes[at]! ^ 0x41;
      const copy = Buffer.from(disk.bytes);
      try {
        const journal = await RequestJournal.open(disk, failTest);
        // Only the last record, which nobody may have been told of, can be taken for torn.
        assert.ok(journal.torn !== null && at >= journal.torn.offset, `byte ${at} went unseen`);
        assert.deepEqual(jobsAsText(journal).slice(0, 2), jobsAsText(undamaged).slice(0, 2));
        assert.equal(journal.get('run-3')?.body, '{"n":3}');
      } catch (error) {
        assert.ok(
          error instanceof JournalError && error.offset <= at && /outbox, byte \d+/.test(error.message),
          String(error),
        );
        assert.deepEqual(disk.bytes, copy);
        damaged++;
      }
    }
    assert.ok(damaged > whole.length / 2);
  });

  it('reports a full disk as an error that names the byte, keeps what was written and leaves no partial record', async () => {
    const disk = new FakeDisk();
    const errors: JournalError[] = [];
    const journal = await RequestJournal.open(disk, (error) => errors.push(error));
    let persisted = 0;
    const countPersisted = (): void => {
      persisted++;
    };
    journal.append(submitEntry(1), countPersisted);
    await settle();
    const length = disk.bytes.length;
    disk.freeBytes = 20;
    for (const n of [2, 3]) journal.append(submitEntry(n), countPersisted);
    await settle();
    disk.freeBytes = 1e6;
    journal.append(submitEntry(4), countPersisted);
    await settle();
    assert.equal(persisted, 1, 'after an error nothing more is reported as written');
    assert.equal(errors.length, 1);
    assert.equal(errors[0]!.message, `outbox, byte ${length}: the disk is full`);
    assert.equal(disk.bytes.length, length);
    assert.deepEqual(
      (await RequestJournal.open(disk, failTest)).all().map((job) => job.id),
      ['run-1'],
    );
  });

  it('compacts a file with little live data, and keeps every key and outcome', async () => {
    const disk = new FakeDisk();
    const journal = await RequestJournal.open(disk, failTest, 20_000);
    for (let n = 0; n < 60; n++) {
      journal.append({ op: 'submit', id: `run-${n}`, key: `k${n}`, body: 'x'.repeat(2000) }, ignore);
      if (n < 58) journal.append(doneEntry(`run-${n}`), ignore);
      await settle();
    }
    assert.ok(disk.bytes.length < 45_000, `${disk.bytes.length}`);
    const reopened = await RequestJournal.open(disk, failTest);
    assert.deepEqual(jobsAsText(reopened), jobsAsText(journal));
    assert.equal(reopened.find('k3')?.outcome?.kind, 'done');
    assert.equal(reopened.find('k59')?.body?.length, 2000);
  });
});
