// Adds machines that are not in the machine table: rented by a request whose response was lost, or by an
// earlier leader.
import { NEVER } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Heartbeat } from '../base/model.ts';
import type { Machine } from '../machines/machine.ts';
import type { MachineTable } from '../machines/machine-table.ts';
import type { MachineTypeCatalog } from '../machines/machine-type-catalog.ts';
import type { TermAuthority } from './term-authority.ts';

/** Adds unknown machines that send heartbeats to the machine table. */
export class MachineAdoption {
  constructor(
    private readonly io: ControllerIo,
    private readonly machines: MachineTable,
    private readonly machineTypes: MachineTypeCatalog,
    private readonly authority: TermAuthority,
  ) {}

  /** The machine that sent the heartbeat, added to the table; null if it is not to be used. */
  adopt(heartbeat: Heartbeat): Machine | null {
    const { machine, zone, spot } = heartbeat;
    const type = this.machineTypes.types.get(heartbeat.type);
    if (type === undefined || this.machines.tombstones.has(machine)) return null;
    // A leader that may start no tasks adopts no machines: another leader may already be using the machine.
    if (!this.authority.mayStart()) return null;
    this.io.log('info', 'machine adopted from its heartbeat', { machine });
    return this.machines.addMachine(machine, type, zone, spot, NEVER);
  }
}
