// The cloud's list of machines, read every few seconds: what it says has failed is given up, and machines that nobody here has
// rented, or whose rental was never answered, are taken up.
import { addMs, type Instant, LONG_AGO, type MachineId, NEVER, type TypeName } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { ListedMachine, MachineType } from '../base/model.ts';
import type { MachineTable } from '../machines/machine-table.ts';

const LIST_MS = 5000;

export class CloudInventory {
  private nextList: Instant = LONG_AGO;
  private listing = false;

  constructor(
    private readonly io: ControllerIo,
    private readonly machines: MachineTable,
    private readonly types: ReadonlyMap<TypeName, MachineType>,
    /** Whether a rental is under way, whose machines may be listed before it is answered. */
    private readonly renting: () => boolean,
  ) {}

  /** `recovered`: all machines on record have been heard, so that one that is not known is new. */
  tick(recovered: boolean): void {
    if (this.listing || this.io.now < this.nextList) return;
    this.listing = true;
    this.nextList = addMs(this.io.now, LIST_MS);
    this.listPage(null, recovered);
  }

  private listPage(after: MachineId | null, recovered: boolean): void {
    this.io.cloud({ kind: 'list', after }, (r) => {
      if (r.kind !== 'listed') {
        this.listing = false;
        return;
      }
      for (const m of r.machines) this.onListed(m, recovered);
      const last = r.machines.at(-1);
      if (r.more && last !== undefined) this.listPage(last.id, recovered);
      else this.listing = false;
    });
  }

  private onListed(l: ListedMachine, recovered: boolean): void {
    const m = this.machines.byId.get(l.id);
    if (m !== undefined) {
      m.addr ??= l.addr;
      if (l.status === 'failed') {
        this.machines.removeAllTasks(m);
        m.drainReason ??= 'failed';
        m.isReconciled = true;
        m.isUp = true;
        this.machines.beginRelease(m);
      }
      return;
    }
    // Unanswered requests may have rented it, or it is from an earlier term: it is used or returned.
    if (!recovered || this.machines.tombstones.has(l.id) || this.renting()) return;
    const type = this.types.get(l.type);
    if (type === undefined) return;
    this.io.log('info', 'machine adopted from the list', { machine: l.id, status: l.status });
    const found = this.machines.addMachine(l.id, type, l.zone, l.spot, NEVER);
    found.addr = l.addr;
    if (l.status === 'failed') found.isReleasing = true;
  }
}
