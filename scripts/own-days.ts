// Days of our own (folder days/), made to fit a site of the users' kit.
import { parse, stringify } from 'smol-toml';
import { parseSite, type Site } from './site-changes.ts';

/** In place of a zone's name: the last zone of the site, and that of its first controller. */
const LAST_ZONE = '@zone';
const FIRST_ZONE = '@first';
/** In place of a class's name: each class of the site in turn. */
const EACH_CLASS = '@each';
const EACH_CLASS_INTERVAL_S = 60;

interface DayFault {
  at_s: number;
  zone?: string;
  class?: string;
}

function zoneOf(name: string | undefined, site: Site): string | undefined {
  if (name === LAST_ZONE) return site.capacity.at(-1)!.zone;
  if (name === FIRST_ZONE) return site.nodes.zones[0]!;
  return name;
}

function faultFor(fault: DayFault, site: Site): DayFault[] {
  const zone = zoneOf(fault.zone, site);
  const fitted = zone === undefined ? fault : { ...fault, zone };
  if (fault.class !== EACH_CLASS) return [fitted];
  return site.jobs.map((jobs, i) => ({
    ...fitted,
    class: jobs.name,
    at_s: fault.at_s + i * EACH_CLASS_INTERVAL_S,
  }));
}

/**
 * The text of a day of our own, made to fit a site: a zone called "@zone" is its last one, "@first" that of
 * the first controller, and a fault for the class "@each" strikes each class, a minute apart.
 */
export function dayFor(dayText: string, siteText: string): string {
  const site = parseSite(siteText);
  const file = parse(dayText) as unknown as { day: { faults: DayFault[] }[] };
  for (const day of file.day) day.faults = day.faults.flatMap((fault) => faultFor(fault, site));
  return stringify(file);
}
