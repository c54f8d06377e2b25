// Adapts days that are defined in this repository (folder days/) to a site of the users' kit.
import { parse, stringify } from 'smol-toml';
import { parseSite, type Site } from './site-changes.ts';

/** Placeholders for a zone's name: the last zone of the site, and the zone of its first controller. */
const LAST_ZONE = '@zone';
const FIRST_ZONE = '@first';
/** Placeholder for a class's name: the fault is repeated for each class of the site, at this interval. */
const EACH_CLASS = '@each';
const EACH_CLASS_INTERVAL_S = 60;

interface DayFault {
  at_s: number;
  zone?: string;
  class?: string;
}

function resolveZone(name: string | undefined, site: Site): string | undefined {
  if (name === LAST_ZONE) return site.capacity.at(-1)!.zone;
  if (name === FIRST_ZONE) return site.nodes.zones[0]!;
  return name;
}

function adaptFault(fault: DayFault, site: Site): DayFault[] {
  const zone = resolveZone(fault.zone, site);
  const adapted = zone === undefined ? fault : { ...fault, zone };
  if (fault.class !== EACH_CLASS) return [adapted];
  return site.jobs.map((jobs, i) => ({
    ...adapted,
    class: jobs.name,
    at_s: fault.at_s + i * EACH_CLASS_INTERVAL_S,
  }));
}

/**
 * Returns the text of a day adapted to a site: the zone "@zone" becomes the site's last zone, "@first" the
 * zone of its first controller, and a fault for the class "@each" is repeated for each class, one minute
 * apart.
 */
export function dayFor(dayText: string, siteText: string): string {
  const site = parseSite(siteText);
  const file = parse(dayText) as unknown as { day: { faults: DayFault[] }[] };
  for (const day of file.day) day.faults = day.faults.flatMap((fault) => adaptFault(fault, site));
  return stringify(file);
}
