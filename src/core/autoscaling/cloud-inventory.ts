// Reads the cloud's list of machines every few seconds. Machines listed as failed are released. Machines that
// the leader has no record of, because the response to their request was lost, are adopted.
import {
  addMs,
  type Instant,
  LONG_AGO,
  type MachineId,
  type MachineTypeName,
  type Millis,
  NEVER,
} from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { CloudReply, ListedMachine, MachineType } from '../base/model.ts';
import type { Machine } from '../machines/machine.ts';
import type { MachineTable } from '../machines/machine-table.ts';

const LIST_INTERVAL_MS: Millis = 5000;

/** Reconciles the machine table with the cloud's list of machines. */
export class CloudInventory {
  private nextListAt: Instant = LONG_AGO;
  private isListing = false;

  constructor(
    private readonly io: ControllerIo,
    private readonly machines: MachineTable,
    private readonly types: ReadonlyMap<MachineTypeName, MachineType>,
    /**
     * Whether a request for machines is in flight: its machines may be listed before the response arrives.
     */
    private readonly isRequestInFlight: () => boolean,
  ) {}

  /**
   * Reads the list when the interval has passed. `recovered`: all machines on record have been loaded, so
   * that a listed machine that is not in the machine table has no record.
   */
  tick(recovered: boolean): void {
    if (this.isListing || this.io.now < this.nextListAt) return;
    this.isListing = true;
    this.nextListAt = addMs(this.io.now, LIST_INTERVAL_MS);
    this.requestPage(null, recovered);
  }

  private requestPage(after: MachineId | null, recovered: boolean): void {
    this.io.sendCloudRequest({ kind: 'list', after }, (reply) => this.onPage(reply, recovered));
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
    if (listed.status === 'failed') this.releaseFailedMachine(machine);
  }

  private releaseFailedMachine(machine: Machine): void {
    this.machines.removeAllTasks(machine);
    machine.cordonReason ??= 'failed';
    machine.isReconciled = true;
    machine.isUp = true;
    this.machines.beginRelease(machine);
  }

  /**
   * Adds a machine whose request got no response or was made in an earlier term. It is used for tasks, or
   * released later as idle; a failed machine is only added to be released.
   */
  private adopt(listed: ListedMachine, recovered: boolean): void {
    if (!recovered || this.machines.tombstones.has(listed.id) || this.isRequestInFlight()) return;
    const type = this.types.get(listed.type);
    if (type === undefined) return;
    this.io.log('info', "machine adopted from the cloud's list of machines", {
      machine: listed.id,
      status: listed.status,
    });
    const machine = this.machines.addMachine(listed.id, type, listed.zone, listed.spot, NEVER);
    machine.addr = listed.addr;
    if (listed.status === 'failed') machine.isReleasing = true;
  }
}
