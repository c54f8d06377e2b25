// Machines on record, so that a later owner knows all that may hold tasks. Many machines share a page: at a
// change each, a boot wave of a thousand would take half a minute before anything could start.
import {
  type Instant,
  LONG_AGO,
  type MachineId,
  type Revision,
  type TypeName,
  type ZoneName,
} from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { StoreItem } from '../base/model.ts';
import { type FencedWriter, jsonBytes, WritePriority } from '../storage/fenced-writer.ts';
import { SharedRecord } from '../storage/shared-record.ts';
import type { Machine } from './machine.ts';

export const MACHINE_PREFIX = 'm/';
/**
 * Pages are begun no more often than this; machines that come up meanwhile share the next. While much else waits to be
 * written, less often, as they go before it.
 */
const GATHER_MS = 200;
const GATHER_MS_PER_WRITE = 10;
const GATHER_MAX_MS = 700;
/** Machines that are gone leave their page within this. */
const TIDY_MS = 1000;
/** A page's own part of the value. */
const OVERHEAD = 128;

type Line = [MachineId, TypeName, ZoneName, 0 | 1];

export interface RegisteredMachine {
  id: MachineId;
  type: TypeName;
  zone: ZoneName;
  spot: boolean;
}

interface Member {
  line: Line;
  machine: Machine;
}

export class RegistryPage {
  readonly members = new Map<MachineId, Member>();
  dirtySince: Instant | null = null;
  /** A page that takes over a part of this one is being written. */
  splitting = false;
  constructor(readonly page: SharedRecord) {}
}

export class MachineRegistry {
  private readonly pages = new Set<RegistryPage>();
  private gathering: Machine[] = [];
  private begunAt: Instant = LONG_AGO;
  private made = 0;
  private readonly room: number;
  private readonly io: ControllerIo;
  private readonly writer: FencedWriter;
  private readonly term: Revision;
  onRegistered: (m: Machine) => void = () => {};

  constructor(io: ControllerIo, store: FencedWriter, term: Revision) {
    this.io = io;
    this.writer = store;
    this.term = term;
    this.room = store.maxValueBytes - OVERHEAD;
  }

  /** A page of an earlier term; tells its machines, but those already known from another page. */
  load(
    item: StoreItem,
    known: (id: MachineId) => boolean,
    found: (m: RegisteredMachine, page: RegistryPage) => Machine,
  ): void {
    const p = new RegistryPage(new SharedRecord(this.writer, item.key, item.revision));
    this.pages.add(p);
    for (const line of (item.value as { m: Line[] }).m) {
      const [id, type, zone, spot] = line;
      if (known(id)) {
        p.dirtySince = this.io.now;
        continue;
      }
      p.members.set(id, { line, machine: found({ id, type, zone, spot: spot === 1 }, p) });
    }
  }

  register(m: Machine): void {
    if (m.registryPage !== null || m.isRegistering) return;
    m.isRegistering = true;
    this.gathering.push(m);
    this.begin();
  }

  /** The machine holds nothing for certain: a later owner need not ask for it. */
  unregister(m: Machine): void {
    const p = m.registryPage;
    m.registryPage = null;
    if (p === null) return;
    p.members.delete(m.id);
    p.dirtySince ??= this.io.now;
  }

  tick(): void {
    this.begin();
    for (const p of this.pages)
      if (p.dirtySince !== null && !p.page.isWriting && this.io.now - p.dirtySince >= TIDY_MS)
        this.rewrite(p);
  }

  private begin(): void {
    const gap = Math.min(GATHER_MAX_MS, GATHER_MS + this.writer.backlog * GATHER_MS_PER_WRITE);
    if (this.gathering.length === 0 || this.io.now - this.begunAt < gap) return;
    this.begunAt = this.io.now;
    const all = this.gathering.map((machine) => ({ line: lineOf(machine), machine }));
    const batch = this.upToRoom(all);
    this.gathering.splice(0, batch.length);
    this.make(batch, WritePriority.machineRegistry, (ok, p) => {
      for (const { machine } of batch) {
        machine.isRegistering = false;
        if (!ok) continue;
        machine.registryPage = p;
        this.onRegistered(machine);
      }
    });
  }

  /** As many as one value holds, by what they take; at least one. */
  private upToRoom(members: Member[]): Member[] {
    let bytes = 0;
    const n = members.findIndex((m, i) => {
      bytes += jsonBytes(m.line) + 1;
      return i > 0 && bytes > this.room;
    });
    return n < 0 ? members : members.slice(0, n);
  }

  private make(batch: Member[], priority: number, done: (ok: boolean, p: RegistryPage) => void): void {
    const p = new RegistryPage(
      new SharedRecord(this.writer, `${MACHINE_PREFIX}${this.term}.${++this.made}`, 0 as Revision),
    );
    for (const m of batch) p.members.set(m.machine.id, m);
    this.pages.add(p);
    p.page.write(recordOf(p), priority, (ok) => {
      if (!ok) this.pages.delete(p);
      done(ok, p);
    });
  }

  /**
   * A page of an earlier term may be larger than a value may be by now: a part of it is put on record elsewhere
   * before it is written without that part, so that no machine is missing in between.
   */
  private split(p: RegistryPage, keep: number): void {
    p.splitting = true;
    const rest = this.upToRoom([...p.members.values()].slice(keep));
    this.make(rest, WritePriority.sharedRecord, (ok, heir) => {
      p.splitting = false;
      p.dirtySince = this.io.now;
      if (!ok) return;
      for (const { machine } of rest) {
        // Emptied for certain meanwhile: it leaves the new page as it left the old one.
        if (p.members.delete(machine.id)) machine.registryPage = heir;
        else {
          heir.members.delete(machine.id);
          heir.dirtySince ??= this.io.now;
        }
      }
    });
  }

  private rewrite(p: RegistryPage): void {
    if (p.splitting) return;
    const keep = this.upToRoom([...p.members.values()]).length;
    if (keep < p.members.size) return this.split(p, keep);
    p.dirtySince = null;
    const empty = p.members.size === 0;
    p.page.write(empty ? null : recordOf(p), WritePriority.sharedRecord, (ok) => {
      if (!ok) p.dirtySince ??= this.io.now;
      else if (empty && p.members.size === 0) this.pages.delete(p);
    });
  }
}

const lineOf = (m: Machine): Line => [m.id, m.type.name, m.zone, m.spot ? 1 : 0];

const recordOf = (p: RegistryPage): { m: Line[] } => ({ m: [...p.members.values()].map((m) => m.line) });
