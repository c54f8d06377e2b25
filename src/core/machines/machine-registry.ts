// Machines recorded in the store, so that the next leader knows all that tasks may be on. Many machines share
// a record: at a write each, a boot wave of a thousand would take half a minute before anything could start.
import { type Instant, LONG_AGO, type MachineId, type Revision } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { StoreItem } from '../base/model.ts';
import { type FencedWriter, jsonBytes, WritePriority } from '../storage/fenced-writer.ts';
import { SharedRecord } from '../storage/shared-record.ts';
import type { Machine } from './machine.ts';
import {
  decodeMachineLine,
  decodeMachineRecord,
  encodeMachineLine,
  encodeMachineRecord,
  MACHINE_PREFIX,
  type MachineRecordLine,
  type MachineRecordValue,
  type RegisteredMachine,
} from './machine-record.ts';

export { MACHINE_PREFIX, type RegisteredMachine } from './machine-record.ts';

/**
 * New pages are begun no more often than this; machines that come up meanwhile share the next one. While much
 * else waits to be written, less often, as they go before it.
 */
const BATCH_INTERVAL_MS = 200;
const BATCH_INTERVAL_MS_PER_WRITE = 10;
const BATCH_INTERVAL_MAX_MS = 700;
/** Machines that are unregistered leave the stored record after this time. */
const REWRITE_DELAY_MS = 1000;
/** Bytes of a stored value that are not lines of machines. */
const RECORD_OVERHEAD_BYTES = 128;

interface Member {
  line: MachineRecordLine;
  machine: Machine;
}

/** One stored record with the machines that it lists. */
export class RegistryPage {
  readonly members = new Map<MachineId, Member>();
  /** Since when the stored record differs from `members`; null if it does not. */
  dirtySince: Instant | null = null;
  /** Another page that takes over some of the members is being written. */
  isSplitting = false;

  constructor(readonly record: SharedRecord) {}

  /** Takes a machine off the page; the stored record follows. */
  removeMember(id: MachineId, now: Instant): void {
    this.members.delete(id);
    this.dirtySince ??= now;
  }

  /** The value to be stored. */
  encode(): MachineRecordValue {
    return encodeMachineRecord([...this.members.values()].map((member) => member.line));
  }
}

/** The pages of all machines that tasks may be on, of this term and of earlier ones. */
export class MachineRegistry {
  private readonly pages = new Set<RegistryPage>();
  /** Machines that go onto the next new page. */
  private pending: Machine[] = [];
  private lastBatchAt: Instant = LONG_AGO;
  /** Pages made in this term; numbers their keys. */
  private pagesCreated = 0;
  private readonly maxLineBytes: number;
  private readonly io: ControllerIo;
  private readonly writer: FencedWriter;
  private readonly term: Revision;
  /** Called when a machine is on record. */
  onRegistered: (machine: Machine) => void = () => {};

  constructor(io: ControllerIo, writer: FencedWriter, term: Revision) {
    this.io = io;
    this.writer = writer;
    this.term = term;
    this.maxLineBytes = writer.maxValueBytes - RECORD_OVERHEAD_BYTES;
  }

  /**
   * Reads a page of an earlier term; `found` is called for its machines, except for those known from another
   * page.
   */
  load(
    item: StoreItem,
    isKnown: (id: MachineId) => boolean,
    found: (machine: RegisteredMachine, page: RegistryPage) => Machine,
  ): void {
    const page = new RegistryPage(new SharedRecord(this.writer, item.key, item.revision));
    this.pages.add(page);
    for (const line of decodeMachineRecord(item.value)) {
      const registered = decodeMachineLine(line);
      if (isKnown(registered.id)) page.dirtySince = this.io.now;
      else page.members.set(registered.id, { line, machine: found(registered, page) });
    }
  }

  /** Puts the machine on record; `onRegistered` is called when it is there. */
  register(machine: Machine): void {
    if (machine.registryPage !== null || machine.isRegistering) return;
    machine.isRegistering = true;
    this.pending.push(machine);
    this.writePending();
  }

  /** Nothing is on the machine for certain: the next leader need not ask for it. */
  unregister(machine: Machine): void {
    const page = machine.registryPage;
    machine.registryPage = null;
    page?.removeMember(machine.id, this.io.now);
  }

  /** Writes what is due. */
  tick(): void {
    this.writePending();
    for (const page of this.pages) {
      if (page.dirtySince === null || page.record.isWriting) continue;
      if (this.io.now - page.dirtySince >= REWRITE_DELAY_MS) this.rewrite(page);
    }
  }

  private writePending(): void {
    const interval = Math.min(
      BATCH_INTERVAL_MAX_MS,
      BATCH_INTERVAL_MS + this.writer.backlog * BATCH_INTERVAL_MS_PER_WRITE,
    );
    if (this.pending.length === 0 || this.io.now - this.lastBatchAt < interval) return;
    this.lastBatchAt = this.io.now;
    const members = this.pending.map((machine) => ({ line: encodeMachineLine(machine), machine }));
    const batch = this.firstThatFit(members);
    this.pending.splice(0, batch.length);
    this.createPage(batch, WritePriority.machineRegistry, (written, page) => {
      for (const { machine } of batch) {
        machine.isRegistering = false;
        if (!written) continue;
        machine.registryPage = page;
        this.onRegistered(machine);
      }
    });
  }

  /** As many of the members, from the first on, as one stored value holds; at least one. */
  private firstThatFit(members: Member[]): Member[] {
    let bytes = 0;
    const end = members.findIndex((member, index) => {
      bytes += jsonBytes(member.line) + 1;
      return index > 0 && bytes > this.maxLineBytes;
    });
    return end < 0 ? members : members.slice(0, end);
  }

  private createPage(
    batch: Member[],
    priority: number,
    onWritten: (written: boolean, page: RegistryPage) => void,
  ): void {
    const key = `${MACHINE_PREFIX}${this.term}.${++this.pagesCreated}`;
    const page = new RegistryPage(new SharedRecord(this.writer, key, 0 as Revision));
    for (const member of batch) page.members.set(member.machine.id, member);
    this.pages.add(page);
    page.record.write(page.encode(), priority, (written) => {
      if (!written) this.pages.delete(page);
      onWritten(written, page);
    });
  }

  /**
   * A page of an earlier term may be larger than a value may be by now: what does not fit is recorded on a
   * new page before this one is written without it, so that no machine is missing in between.
   */
  private split(page: RegistryPage, keep: number): void {
    page.isSplitting = true;
    const moved = this.firstThatFit([...page.members.values()].slice(keep));
    this.createPage(moved, WritePriority.sharedRecord, (written, newPage) => {
      page.isSplitting = false;
      page.dirtySince = this.io.now;
      if (!written) return;
      for (const { machine } of moved) {
        // Unregistered meanwhile, a machine leaves the new page as it left the old one.
        if (page.members.delete(machine.id)) machine.registryPage = newPage;
        else newPage.removeMember(machine.id, this.io.now);
      }
    });
  }

  private rewrite(page: RegistryPage): void {
    if (page.isSplitting) return;
    const keep = this.firstThatFit([...page.members.values()]).length;
    if (keep < page.members.size) return this.split(page, keep);
    page.dirtySince = null;
    const isEmpty = page.members.size === 0;
    page.record.write(isEmpty ? null : page.encode(), WritePriority.sharedRecord, (written) => {
      if (!written) page.dirtySince ??= this.io.now;
      else if (isEmpty && page.members.size === 0) this.pages.delete(page);
    });
  }
}
