// Zones from whose machines hardly any heartbeat arrives: most likely cut off by a network partition.
// Machines requested there would boot and never be heard from.
import { addMs, type Instant, type Millis, type ZoneName } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Machine } from '../machines/machine.ts';
import { CordonReason } from '../machines/machine-state-updater.ts';

/** A zone is unreachable when more than this fraction of its machines, and at least so many, are silent. */
const MAX_SILENT_FRACTION = 0.7;
const MIN_SILENT_MACHINES = 3;
/** How long it counts as such once its silent machines have been released and nothing more is known of it. */
const UNREACHABLE_MS: Millis = 5_000;

interface ZoneHeartbeats {
  heard: number;
  silent: number;
}

/** The zones that seem to be unreachable. */
export class ZoneReachability {
  /** Until when each zone counts as unreachable. */
  private readonly unreachableUntil = new Map<ZoneName, Instant>();

  constructor(private readonly io: ControllerIo) {}

  /** Whether the zone seemed to be unreachable at the last update. */
  isUnreachable(zone: ZoneName): boolean {
    return this.unreachableUntil.has(zone);
  }

  /**
   * Brings the zones up to date with the machines. A zone stays unreachable for a while, or until one of its
   * machines sends a heartbeat. A controller that hears from no zone at all is itself cut off, and takes none
   * for unreachable.
   */
  update(machines: Iterable<Machine>): void {
    const zones = countHeartbeats(machines);
    if ([...zones.values()].every(isMostlySilent)) {
      this.unreachableUntil.clear();
      return;
    }
    const { now } = this.io;
    for (const [zone, heartbeats] of zones) {
      if (isMostlySilent(heartbeats)) this.unreachableUntil.set(zone, addMs(now, UNREACHABLE_MS));
      else if (heartbeats.heard > 0) this.unreachableUntil.delete(zone);
    }
    for (const [zone, until] of this.unreachableUntil) if (now >= until) this.unreachableUntil.delete(zone);
  }
}

const isMostlySilent = ({ heard, silent }: ZoneHeartbeats): boolean =>
  silent >= MIN_SILENT_MACHINES && silent > (heard + silent) * MAX_SILENT_FRACTION;

function countHeartbeats(machines: Iterable<Machine>): Map<ZoneName, ZoneHeartbeats> {
  const zones = new Map<ZoneName, ZoneHeartbeats>();
  for (const machine of machines) {
    if (!machine.isUp || machine.isReleasing) continue;
    const heartbeats = zones.get(machine.zone) ?? { heard: 0, silent: 0 };
    zones.set(machine.zone, heartbeats);
    if (machine.isOverdue || machine.drainReason === CordonReason.silent) heartbeats.silent++;
    else heartbeats.heard++;
  }
  return zones;
}
