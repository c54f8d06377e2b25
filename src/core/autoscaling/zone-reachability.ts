// Detects zones where most machines send no heartbeats, which most likely are cut off by a network partition.
// No machines are requested there: they would boot and be paid for, but their heartbeats would not arrive.
import { addMs, type Instant, type Millis, type ZoneName } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Machine } from '../machines/machine.ts';
import { CordonReason } from '../machines/machine-state-updater.ts';

/** A zone is unreachable if more than this fraction of its machines is silent, and at least this number. */
const MAX_SILENT_FRACTION = 0.7;
const MIN_SILENT_MACHINES = 3;
/** A zone stays unreachable for this time after its silent machines have been released. */
const UNREACHABLE_MS: Millis = 5_000;

interface ZoneMachineCounts {
  reporting: number;
  silent: number;
}

/** Tracks the zones that are considered unreachable. */
export class ZoneReachability {
  /** For each unreachable zone, the end of the time for which it is considered unreachable. */
  private readonly unreachableUntil = new Map<ZoneName, Instant>();

  constructor(private readonly io: ControllerIo) {}

  /** Whether the zone was considered unreachable at the last update. */
  isUnreachable(zone: ZoneName): boolean {
    return this.unreachableUntil.has(zone);
  }

  /**
   * Updates the state of the zones from their machines. A zone stays unreachable for a while after its silent
   * machines have been released, or until one of its machines sends a heartbeat. If most machines of every
   * zone are silent, the controller itself is cut off, and no zone is considered unreachable.
   */
  update(machines: Iterable<Machine>): void {
    const zones = countMachinesByZone(machines);
    if ([...zones.values()].every(isMostlySilent)) {
      this.unreachableUntil.clear();
      return;
    }
    const { now } = this.io;
    for (const [zone, counts] of zones) {
      if (isMostlySilent(counts)) this.unreachableUntil.set(zone, addMs(now, UNREACHABLE_MS));
      else if (counts.reporting > 0) this.unreachableUntil.delete(zone);
    }
    for (const [zone, until] of this.unreachableUntil) if (now >= until) this.unreachableUntil.delete(zone);
  }
}

const isMostlySilent = ({ reporting, silent }: ZoneMachineCounts): boolean =>
  silent >= MIN_SILENT_MACHINES && silent > (reporting + silent) * MAX_SILENT_FRACTION;

function countMachinesByZone(machines: Iterable<Machine>): Map<ZoneName, ZoneMachineCounts> {
  const zones = new Map<ZoneName, ZoneMachineCounts>();
  for (const machine of machines) {
    if (!machine.isUp || machine.isReleasing) continue;
    const counts = zones.get(machine.zone) ?? { reporting: 0, silent: 0 };
    zones.set(machine.zone, counts);
    if (machine.isOverdue || machine.cordonReason === CordonReason.silent) counts.silent++;
    else counts.reporting++;
  }
  return zones;
}
