// The cloud's list of machines, read every few seconds: machines that it lists as failed are given up, and
// machines that are not known here, from requests that were never answered, are adopted.
import {
  addMs,
  type Instant,
  LONG_AGO,
  type MachineId,
  type Millis,
  NEVER,
  type TypeName,
} from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { CloudReply, ListedMachine, MachineType } from '../base/model.ts';
import type { Machine } from '../machines/machine.ts';
import type { MachineTable } from '../machines/machine-table.ts';

const LIST_INTERVAL_MS: Millis = 5000;

/** Reads the cloud's list. */
export class CloudInventory {
  private nextList: Instant = LONG_AGO;
  private isListing = false;

  constructor(
    private readonly io: ControllerIo,
    private readonly machines: MachineTable,
    private readonly types: ReadonlyMap<TypeName, MachineType>,
    /** Whether a request for machines is in flight, whose machines may be listed before it is answered. */
    private readonly isRequestInFlight: () => boolean,
  ) {}

  /**
   * Reads the list when it is time; `recovered`: all machines on record are known, so an unknown one is new.
   */
  tick(recovered: boolean): void {
    if (this.isListing || this.io.now < this.nextList) return;
    this.isListing = true;
    this.nextList = addMs(this.io.now, LIST_INTERVAL_MS);
    this.requestPage(null, recovered);
  }

  private requestPage(after: MachineId | null, recovered: boolean): void {
    this.io.cloud({ kind: 'list', after }, (reply) => this.onPage(reply, recovered));
  }

  private onPage(reply: CloudReply, recovered: boolean): void {
    if (reply.kind !== 'listed') {
      this.isListing = false;
      return;
    }
    for (const listed of reply.machines) this.onListed(listed, recovered);
    const last = reply.machines.at(-1);
    if (reply.more && last !== undefined) this.requestPage(last.id, recovered);
    else this.isListing = false;
  }

  private onListed(listed: ListedMachine, recovered: boolean): void {
    const machine = this.machines.byId.get(listed.id);
    if (machine === undefined) {
      this.adopt(listed, recovered);
      return;
    }
    machine.addr ??= listed.addr;
    if (listed.status === 'failed') this.giveUp(machine);
  }

  private giveUp(machine: Machine): void {
    this.machines.removeAllTasks(machine);
    machine.drainReason ??= 'failed';
    machine.isReconciled = true;
    machine.isUp = true;
    this.machines.beginRelease(machine);
  }

  /** From a request that was not answered, or from an earlier term: it is used, or released again. */
  private adopt(listed: ListedMachine, recovered: boolean): void {
    if (!recovered || this.machines.tombstones.has(listed.id) || this.isRequestInFlight()) return;
    const type = this.types.get(listed.type);
    if (type === undefined) return;
    this.io.log('info', 'machine adopted from the list', { machine: listed.id, status: listed.status });
    const machine = this.machines.addMachine(listed.id, type, listed.zone, listed.spot, NEVER);
    machine.addr = listed.addr;
    if (listed.status === 'failed') machine.isReleasing = true;
  }
}
