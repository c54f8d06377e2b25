// Registers machines in the store, so that the next leader knows every machine that tasks may be on. One
// record lists many machines: with one write for each, 1000 machines that boot at the same time would take
// half a minute to register, and no task can start on a machine before that.
import { type Instant, LONG_AGO, type MachineId, NO_REVISION, type Revision } from '../../types/index.ts';
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
 * Minimum interval between new records; machines to be registered meanwhile share the next record. The
 * interval grows with the writer's backlog, because new records are written before most other writes and
 * would delay them.
 */
const BATCH_INTERVAL_MS = 200;
const BATCH_INTERVAL_MS_PER_WRITE = 10;
const BATCH_INTERVAL_MAX_MS = 700;
/** Delay between a change to a record's machines and the write that stores it. */
const REWRITE_DELAY_MS = 1000;
/** Upper bound of the bytes of a stored value besides the lines of its machines. */
const RECORD_OVERHEAD_BYTES = 128;

interface RecordMember {
  line: MachineRecordLine;
  machine: Machine;
}

/** One stored record and the machines that it lists. */
export class RegistryRecord {
  readonly members = new Map<MachineId, RecordMember>();
  /** Time since which the stored record has differed from `members`; null if it does not. */
  dirtySince: Instant | null = null;
  /** A new record for some of the members is being written. */
  isSplitting = false;

  constructor(readonly sharedRecord: SharedRecord) {}

  /** Removes a machine from the record; the stored value is rewritten later. */
  removeMember(id: MachineId, now: Instant): void {
    this.members.delete(id);
    this.dirtySince ??= now;
  }

  /** Encodes the value to be stored. */
  encode(): MachineRecordValue {
    return encodeMachineRecord([...this.members.values()].map((member) => member.line));
  }
}

/** The records of all machines that tasks may be on, from this term and earlier ones. */
export class MachineRegistry {
  private readonly records = new Set<RegistryRecord>();
  /** Machines to be listed by the next new record. */
  private pendingMachines: Machine[] = [];
  private lastBatchAt: Instant = LONG_AGO;
  /** Number of records created in this term; part of their keys. */
  private recordsCreated = 0;
  private readonly maxLineBytes: number;
  private readonly io: ControllerIo;
  private readonly writer: FencedWriter;
  private readonly term: Revision;
  /** Called when a record that lists the machine has been stored. */
  onRegistered: (machine: Machine) => void = () => {};

  constructor(io: ControllerIo, writer: FencedWriter, term: Revision) {
    this.io = io;
    this.writer = writer;
    this.term = term;
    this.maxLineBytes = writer.maxValueBytes - RECORD_OVERHEAD_BYTES;
  }

  /**
   * Restores a record of an earlier term; `onFound` is called for each of its machines, except for those
   * known from another record.
   */
  load(
    item: StoreItem,
    isKnown: (id: MachineId) => boolean,
    onFound: (machine: RegisteredMachine, record: RegistryRecord) => Machine,
  ): void {
    const record = new RegistryRecord(new SharedRecord(this.writer, item.key, item.revision));
    this.records.add(record);
    for (const line of decodeMachineRecord(item.value)) {
      const registered = decodeMachineLine(line);
      if (isKnown(registered.id)) record.dirtySince = this.io.now;
      else record.members.set(registered.id, { line, machine: onFound(registered, record) });
    }
  }

  /** Adds the machine to the next new record; `onRegistered` is called when that record has been stored. */
  register(machine: Machine): void {
    if (machine.registryRecord !== null || machine.isRegistering) return;
    machine.isRegistering = true;
    this.pendingMachines.push(machine);
    this.writePending();
  }

  /** Removes a machine on which no task can be any more, so that the next leader need not reconcile it. */
  unregister(machine: Machine): void {
    const record = machine.registryRecord;
    machine.registryRecord = null;
    record?.removeMember(machine.id, this.io.now);
  }

  /** Writes new records for pending machines, and rewrites changed records, when their delays have passed. */
  tick(): void {
    this.writePending();
    for (const record of this.records) {
      if (record.dirtySince === null || record.sharedRecord.isWriting) continue;
      if (this.io.now - record.dirtySince >= REWRITE_DELAY_MS) this.rewrite(record);
    }
  }

  private writePending(): void {
    const intervalMs = Math.min(
      BATCH_INTERVAL_MAX_MS,
      BATCH_INTERVAL_MS + this.writer.backlog * BATCH_INTERVAL_MS_PER_WRITE,
    );
    if (this.pendingMachines.length === 0 || this.io.now - this.lastBatchAt < intervalMs) return;
    this.lastBatchAt = this.io.now;
    const members = this.pendingMachines.map((machine) => ({ line: encodeMachineLine(machine), machine }));
    const batch = this.longestFittingPrefix(members);
    this.pendingMachines.splice(0, batch.length);
    this.createRecord(batch, WritePriority.machineRegistry, (isWritten, record) => {
      for (const { machine } of batch) {
        machine.isRegistering = false;
        if (!isWritten) continue;
        machine.registryRecord = record;
        this.onRegistered(machine);
      }
    });
  }

  /** The longest prefix of the members that fits into one stored value, with at least one member. */
  private longestFittingPrefix(members: RecordMember[]): RecordMember[] {
    let bytes = 0;
    const end = members.findIndex((member, index) => {
      bytes += jsonBytes(member.line) + 1;
      return index > 0 && bytes > this.maxLineBytes;
    });
    return end < 0 ? members : members.slice(0, end);
  }

  private createRecord(
    batch: RecordMember[],
    priority: number,
    onWritten: (isWritten: boolean, record: RegistryRecord) => void,
  ): void {
    const key = `${MACHINE_PREFIX}${this.term}.${++this.recordsCreated}`;
    const record = new RegistryRecord(new SharedRecord(this.writer, key, NO_REVISION));
    for (const member of batch) record.members.set(member.machine.id, member);
    this.records.add(record);
    record.sharedRecord.write(record.encode(), priority, (isWritten) => {
      if (!isWritten) this.records.delete(record);
      onWritten(isWritten, record);
    });
  }

  /**
   * Moves members from a record that has become too large to a new record; happens if the maximum size of a
   * stored value was larger in an earlier term. The new record is written before the old one is rewritten
   * without these members, so that each machine is in the store at all times.
   */
  private split(record: RegistryRecord, keptCount: number): void {
    record.isSplitting = true;
    const moved = this.longestFittingPrefix([...record.members.values()].slice(keptCount));
    this.createRecord(moved, WritePriority.sharedRecord, (isWritten, newRecord) => {
      record.isSplitting = false;
      record.dirtySince = this.io.now;
      if (!isWritten) return;
      for (const { machine } of moved) {
        // A machine that was unregistered during the write must be removed from the new record too.
        if (record.members.delete(machine.id)) machine.registryRecord = newRecord;
        else newRecord.removeMember(machine.id, this.io.now);
      }
    });
  }

  private rewrite(record: RegistryRecord): void {
    if (record.isSplitting) return;
    const keptCount = this.longestFittingPrefix([...record.members.values()]).length;
    if (keptCount < record.members.size) return this.split(record, keptCount);
    record.dirtySince = null;
    const isEmpty = record.members.size === 0;
    record.sharedRecord.write(isEmpty ? null : record.encode(), WritePriority.sharedRecord, (isWritten) => {
      if (!isWritten) record.dirtySince ??= this.io.now;
      else if (isEmpty && record.members.size === 0) this.records.delete(record);
    });
  }
}
