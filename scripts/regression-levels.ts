// Compares what the bench played with the levels that the repository keeps. Pure, so that it is tested without the bench.

import { HALF } from './least-served.ts';

/** One day as the bench's journal tells it. */
export interface PlayedDay {
  name: string;
  seed: number;
  score: number | null;
  /** Rules that were broken, with how often. */
  rules: Record<string, number>;
  /** Why the day failed as a whole; null if it was played to its end. */
  fault: string | null;
  /** Classes and teams: name, part of the day's jobs, part of its own jobs of which anything was started. */
  served?: [string, number, number][];
}
export interface PlayedSite {
  site: string;
  score: number | null;
  error: string | null;
  days: PlayedDay[];
}

/** What a site is held to. Quick and full scores move with the machine's processor time; fixed plays mostly repeat. */
export interface Level {
  /** Site file, from the kit's folder. */
  file: string;
  quick: number | null;
  full: number | null;
  /** Plays of named days on fixed seeds, with no processor time charged. */
  fixed: { day: string; seed: number; score: number | null }[];
}
export type Levels = Record<string, Level>;

/** A figure may move by this much from play to play of the same sources. */
export const NOISE = 0.03;

export type Finding =
  | { kind: 'broken'; site: string; text: string }
  /** Lower by more than noise: played again on fixed seeds before it is called a fall. */
  | { kind: 'lower'; site: string; score: number; level: number };

/** What is wrong with one play of a site's days. */
export function judge(p: PlayedSite, level: number | null): Finding[] {
  const out: Finding[] = [];
  const broken = (text: string) => out.push({ kind: 'broken', site: p.site, text });
  if (p.error !== null) broken(`the run failed: ${p.error}`);
  if (p.days.length === 0) broken('no day was played');
  for (const d of p.days) {
    const rules = Object.entries(d.rules).filter(([, n]) => n > 0);
    if (rules.length > 0)
      broken(`${d.name} (seed ${d.seed}): ${rules.map(([r, n]) => `${r} ${n}`).join(', ')}`);
    for (const [who, , part] of d.served ?? [])
      if (part < HALF) broken(`${d.name} (seed ${d.seed}): ${who} served ${part.toFixed(2)}`);
    if (d.fault !== null) broken(`${d.name} (seed ${d.seed}): failed: ${d.fault}`);
    else if (d.score === null || d.score <= 0) broken(`${d.name} (seed ${d.seed}): the day is worth nothing`);
  }
  if (p.score !== null && level !== null && p.score < level - NOISE)
    out.push({ kind: 'lower', site: p.site, score: p.score, level });
  return out;
}

/** The mean fall on the fixed plays that have a level; null when none of them has one. */
export function fixedFall(level: Level, played: PlayedDay[]): number | null {
  const falls: number[] = [];
  for (const f of level.fixed) {
    const d = played.find((p) => p.name === f.day && p.seed === f.seed);
    if (f.score !== null && d !== undefined) falls.push(f.score - (d.score ?? 0));
  }
  return falls.length === 0 ? null : falls.reduce((a, b) => a + b, 0) / falls.length;
}
