// The cloud's machine types: every node asks the cloud for them, and the leader keeps them in the store under
// keys that begin with `t/`, so that the next leader can begin while the cloud's API is down.
import { addMs, type Instant, LONG_AGO, type Revision, type TypeName } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { CloudReply, MachineType } from '../base/model.ts';
import { type FencedWriter, WritePriority } from '../storage/fenced-writer.ts';

/** Prefix of the keys of stored machine types. */
export const MACHINE_TYPE_PREFIX = 't/';
/** At least this long, and up to twice as long, after a request that failed. */
const RETRY_DELAY_MS = 1500;
/** Spot prices move; the leader asks again this often. */
const REFRESH_INTERVAL_MS = 60_000;

/** A machine type as it is stored: the type, and the id of the write. */
export interface MachineTypeRecord {
  v: MachineType;
  w: string;
}

/** The machine types that are known to this node. */
export class MachineTypeCatalog {
  readonly types = new Map<TypeName, MachineType>();
  private readonly recorded = new Set<TypeName>();
  private isRequestPending = false;
  private nextRequestAt: Instant = LONG_AGO;
  private readonly io: ControllerIo;

  constructor(io: ControllerIo) {
    this.io = io;
  }

  /** Whether any type is known; without one nothing can be decided about jobs. */
  get isLoaded(): boolean {
    return this.types.size > 0;
  }

  /** Asks the cloud until it has answered once; the leader goes on asking for the prices. */
  tick(isLeader: boolean): void {
    if (this.isRequestPending || this.io.now < this.nextRequestAt) return;
    if (this.isLoaded && !isLeader) return;
    this.isRequestPending = true;
    this.io.cloud({ kind: 'types' }, (reply) => this.onReply(reply));
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

  /** Machines keep the object of their type, so that a new price must reach them through the same object. */
  private update(type: MachineType): void {
    const known = this.types.get(type.name);
    if (known === undefined) this.types.set(type.name, type);
    else Object.assign(known, type);
  }

  /** Takes a type from the store; one that the cloud has listed prevails. */
  restore(name: TypeName, type: MachineType): void {
    this.recorded.add(name);
    if (!this.types.has(name)) this.types.set(name, type);
  }

  /** Writes the types that are not in the store yet. */
  persist(writer: FencedWriter): void {
    for (const type of this.types.values()) {
      if (this.recorded.has(type.name)) continue;
      this.recorded.add(type.name);
      const writeId = writer.nextWriteId();
      const key = MACHINE_TYPE_PREFIX + type.name;
      const value: MachineTypeRecord = { v: type, w: writeId };
      writer.write({
        conditions: [{ key, revision: 0 as Revision }],
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
