// The cloud's machine types: asked of the cloud by every node, and kept in the state service so that a
// new owner can begin while the cloud's interface is down.
import { addMs, type Instant, LONG_AGO, type Revision, type TypeName } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { MachineType } from '../base/model.ts';
import { type FencedWriter, WritePriority } from '../storage/fenced-writer.ts';

export const MACHINE_TYPE_PREFIX = 't/';
const RETRY_MS = 1500;
/** Spot prices move; the owner asks again this often. */
const REFRESH_MS = 60_000;

export class MachineTypeCatalog {
  readonly types = new Map<TypeName, MachineType>();
  private readonly recorded = new Set<TypeName>();
  private asking = false;
  private nextAsk: Instant = LONG_AGO;
  private readonly io: ControllerIo;

  constructor(io: ControllerIo) {
    this.io = io;
  }

  get isLoaded(): boolean {
    return this.types.size > 0;
  }

  /** Asks the cloud until it has answered once; the owner goes on asking for the prices. */
  tick(owner: boolean): void {
    if (this.asking || this.io.now < this.nextAsk || (this.isLoaded && !owner)) return;
    this.asking = true;
    this.io.cloud({ kind: 'types' }, (r) => {
      this.asking = false;
      this.nextAsk = addMs(
        this.io.now,
        r.kind === 'types' ? REFRESH_MS : RETRY_MS + this.io.random.below(RETRY_MS),
      );
      if (r.kind === 'types') for (const t of r.types) this.learn(t);
    });
  }

  /** Known machines hold on to their type, so a new price must reach them through the same object. */
  learn(t: MachineType): void {
    const old = this.types.get(t.name);
    if (old === undefined) this.types.set(t.name, t);
    else Object.assign(old, t);
  }

  /** From the record: only what the cloud has not told yet. */
  restore(name: TypeName, t: MachineType): void {
    this.recorded.add(name);
    if (!this.types.has(name)) this.types.set(name, t);
  }

  persist(store: FencedWriter): void {
    for (const t of this.types.values()) {
      if (this.recorded.has(t.name)) continue;
      this.recorded.add(t.name);
      const writeId = store.nextWriteId();
      const key = MACHINE_TYPE_PREFIX + t.name;
      store.write({
        conditions: [{ key, revision: 0 as Revision }],
        puts: [{ key, value: { v: t, w: writeId } }],
        deletes: [],
        verifyKey: key,
        writeId,
        priority: WritePriority.sharedRecord,
        onResult: () => {},
      });
    }
  }
}
