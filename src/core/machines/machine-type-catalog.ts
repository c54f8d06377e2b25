// Catalog of the cloud's machine types. Every node requests them from the cloud, and the leader stores them
// under keys that begin with `t/`, so that the next leader can start work during an outage of the
// cloud's API.
import { addMs, type Instant, LONG_AGO, type MachineTypeName, NO_REVISION } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { CloudReply, MachineType } from '../base/model.ts';
import { type FencedWriter, WritePriority } from '../storage/fenced-writer.ts';

/** Prefix of the keys of stored machine types. */
export const MACHINE_TYPE_PREFIX = 't/';
/** Minimum delay after a failed request; the actual delay is random, up to twice as long. */
const RETRY_DELAY_MS = 1500;
/** Interval at which the leader requests the types again, as spot prices change. */
const REFRESH_INTERVAL_MS = 60_000;

/** Stored record of a machine type: the type, and the id of the write. */
export interface MachineTypeRecord {
  v: MachineType;
  w: string;
}

/** The machine types known to this node. */
export class MachineTypeCatalog {
  readonly types = new Map<MachineTypeName, MachineType>();
  private readonly storedTypes = new Set<MachineTypeName>();
  private isRequestPending = false;
  private nextRequestAt: Instant = LONG_AGO;
  private readonly io: ControllerIo;

  constructor(io: ControllerIo) {
    this.io = io;
  }

  /** Whether any type is known; until then, no decision about jobs is possible. */
  get isLoaded(): boolean {
    return this.types.size > 0;
  }

  /** Requests the types until the cloud has returned them once; the leader repeats it to update prices. */
  tick(isLeader: boolean): void {
    if (this.isRequestPending || this.io.now < this.nextRequestAt) return;
    if (this.isLoaded && !isLeader) return;
    this.isRequestPending = true;
    this.io.sendCloudRequest({ kind: 'types' }, (reply) => this.onReply(reply));
  }

  private onReply(reply: CloudReply): void {
    this.isRequestPending = false;
    if (reply.kind !== 'types') {
      this.nextRequestAt = addMs(this.io.now, RETRY_DELAY_MS + this.io.random.below(RETRY_DELAY_MS));
      return;
    }
    this.nextRequestAt = addMs(this.io.now, REFRESH_INTERVAL_MS);
    for (const type of reply.types) this.update(type);
  }

  /** Updates a known type in place, because machines hold a reference to its object. */
  private update(type: MachineType): void {
    const existing = this.types.get(type.name);
    if (existing === undefined) this.types.set(type.name, type);
    else Object.assign(existing, type);
  }

  /** Adds a type read from the store, unless the cloud has listed it already. */
  restore(name: MachineTypeName, type: MachineType): void {
    this.storedTypes.add(name);
    if (!this.types.has(name)) this.types.set(name, type);
  }

  /** Writes the types that are not in the store yet. */
  persist(writer: FencedWriter): void {
    for (const type of this.types.values()) {
      if (this.storedTypes.has(type.name)) continue;
      this.storedTypes.add(type.name);
      const writeId = writer.nextWriteId();
      const key = MACHINE_TYPE_PREFIX + type.name;
      const value: MachineTypeRecord = { v: type, w: writeId };
      writer.write({
        conditions: [{ key, revision: NO_REVISION }],
        puts: [{ key, value }],
        deletes: [],
        verifyKey: key,
        writeId,
        priority: WritePriority.sharedRecord,
        onResult: () => {},
      });
    }
  }
}
