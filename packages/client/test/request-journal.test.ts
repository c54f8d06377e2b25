// Tests that the journal keeps the jobs of a script that was killed: after truncation or damage of the file,
// on a full disk and after compaction.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { HEADER } from '../src/journal-frames.ts';
import { RequestJournal } from '../src/request-journal.ts';
import type { JournalEntry } from '../src/session-messages.ts';
import { JournalError } from '../src/types.ts';
import { FakeDisk, waitForWrites } from './support.ts';

const failTest = (error: JournalError): void => assert.fail(error.message);
const ignorePersisted = (): void => {};
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

/** A journal of four submissions, two of them accepted and one of those done. */
async function writeJournal(): Promise<FakeDisk> {
  const disk = new FakeDisk();
  const journal = await RequestJournal.open(disk, failTest);
  for (let n = 0; n < 4; n++) {
    journal.append(submitEntry(n), ignorePersisted);
    if (n % 2 === 0) journal.append({ op: 'accepted', id: `run-${n}` }, ignorePersisted);
    await waitForWrites();
  }
  journal.append(doneEntry('run-2'), ignorePersisted);
  await waitForWrites();
  return disk;
}

const jobsAsText = (journal: RequestJournal): string[] => journal.all().map((job) => JSON.stringify(job));

describe('RequestJournal', () => {
  it('recovers the records before the cut from a file truncated at any byte, and appends to it', async () => {
    const whole = (await writeJournal()).bytes;
    let previousCount = 0;
    for (let cut = 0; cut <= whole.length; cut++) {
      const disk = diskWith(whole.subarray(0, cut));
      const journal = await RequestJournal.open(disk, failTest);
      const count = journal.all().length;
      assert.ok(count >= previousCount && count <= 4, `cut at ${cut}: ${count} jobs`);
      previousCount = count;
      assert.equal(
        disk.bytes.length,
        journal.torn === null ? Math.max(cut, HEADER.length) : Math.max(HEADER.length, journal.torn.offset),
      );
      journal.append(submitEntry(9), ignorePersisted);
      await waitForWrites();
      const reopened = await RequestJournal.open(disk, failTest);
      assert.equal(reopened.torn, null);
      assert.deepEqual(jobsAsText(reopened), [...jobsAsText(journal)]);
      assert.equal(reopened.getByKey('k9')?.id, 'run-9');
    }
    assert.equal(previousCount, 4);
  });

  it('reports damage before the last record as an error with file and byte offset, and leaves the file unchanged', async () => {
    const whole = (await writeJournal()).bytes;
    const undamaged = await RequestJournal.open(diskWith(whole), failTest);
    let damaged = 0;
    for (let damagedByte = 0; damagedByte < whole.length; damagedByte++) {
      const disk = diskWith(Buffer.from(whole));
      disk.bytes[damagedByte] = disk.bytes[damagedByte]! ^ 0x41;
      const copy = Buffer.from(disk.bytes);
      try {
        const journal = await RequestJournal.open(disk, failTest);
        // Only damage in the last record, which may never have been reported as persisted, is taken for an
        // incomplete write.
        assert.ok(
          journal.torn !== null && damagedByte >= journal.torn.offset,
          `damage at byte ${damagedByte} was not detected`,
        );
        assert.deepEqual(jobsAsText(journal).slice(0, 2), jobsAsText(undamaged).slice(0, 2));
        assert.equal(journal.get('run-3')?.body, '{"n":3}');
      } catch (error) {
        assert.ok(
          error instanceof JournalError &&
            error.offset <= damagedByte &&
            /outbox, byte \d+/.test(error.message),
          String(error),
        );
        assert.deepEqual(disk.bytes, copy);
        damaged++;
      }
    }
    assert.ok(damaged > whole.length / 2);
  });

  it('reports a full disk as an error with the byte offset, keeps earlier records and leaves no partial record', async () => {
    const disk = new FakeDisk();
    const errors: JournalError[] = [];
    const journal = await RequestJournal.open(disk, (error) => errors.push(error));
    let persisted = 0;
    const countPersisted = (): void => {
      persisted++;
    };
    journal.append(submitEntry(1), countPersisted);
    await waitForWrites();
    const length = disk.bytes.length;
    disk.freeBytes = 20;
    for (const n of [2, 3]) journal.append(submitEntry(n), countPersisted);
    await waitForWrites();
    disk.freeBytes = 1e6;
    journal.append(submitEntry(4), countPersisted);
    await waitForWrites();
    assert.equal(persisted, 1, 'after an error no entry is reported as persisted');
    assert.equal(errors.length, 1);
    assert.equal(errors[0]!.message, `outbox, byte ${length}: the disk is full`);
    assert.equal(disk.bytes.length, length);
    assert.deepEqual(
      (await RequestJournal.open(disk, failTest)).all().map((job) => job.id),
      ['run-1'],
    );
  });

  it('compacts a file with little live data and keeps all keys and outcomes', async () => {
    const disk = new FakeDisk();
    const journal = await RequestJournal.open(disk, failTest, 20_000);
    for (let n = 0; n < 60; n++) {
      journal.append({ op: 'submit', id: `run-${n}`, key: `k${n}`, body: 'x'.repeat(2000) }, ignorePersisted);
      if (n < 58) journal.append(doneEntry(`run-${n}`), ignorePersisted);
      await waitForWrites();
    }
    assert.ok(disk.bytes.length < 45_000, `${disk.bytes.length} bytes after compaction`);
    const reopened = await RequestJournal.open(disk, failTest);
    assert.deepEqual(jobsAsText(reopened), jobsAsText(journal));
    assert.equal(reopened.getByKey('k3')?.outcome?.kind, 'done');
    assert.equal(reopened.getByKey('k59')?.body?.length, 2000);
  });
});
