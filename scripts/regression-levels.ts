// Compares what the bench played with the levels that the repository keeps. Pure, so that it is tested
// without the bench.
import { LEAST_SERVED } from './scenario-result.ts';

/**
 * A class or a team: its name, its part of the day's jobs, and the part of its own jobs of which a task was
 * started.
 */
export type ServedPart = [name: string, ofDay: number, started: number];

/** One day, as it stands in the bench's journal. */
export interface PlayedDay {
  name: string;
  seed: number;
  score: number | null;
  /** Rules that were broken, with how often. */
  rules: Record<string, number>;
  /** Why the day failed as a whole; null if it was played to its end. */
  fault: string | null;
  served?: ServedPart[];
}

/** The days of one site, as they stand in the bench's journal. */
export interface PlayedSite {
  site: string;
  score: number | null;
  error: string | null;
  days: PlayedDay[];
}

/**
 * A named day on a fixed seed, with no processor time charged, and the score that it had; null if it was not
 * played.
 */
export interface FixedDay {
  day: string;
  seed: number;
  score: number | null;
}

/**
 * What a site is held to. Quick and full scores move with the machine's processor time; fixed days mostly
 * repeat.
 */
export interface Level {
  /** Site file, from the kit's folder. */
  file: string;
  quick: number | null;
  full: number | null;
  fixed: FixedDay[];
}

/** Levels by site. */
export type Levels = Record<string, Level>;

/** A figure may move by this much from play to play of the same sources. */
export const NOISE = 0.03;

/** What is wrong with the days of a site. */
export type Finding =
  | { kind: 'broken'; site: string; text: string }
  /** Lower by more than noise: played again on fixed seeds before it is called a fall. */
  | { kind: 'lower'; site: string; score: number; level: number };

/** What is wrong with one play of a site's days. */
export function findingsOf(played: PlayedSite, level: number | null): Finding[] {
  const { site, score } = played;
  const texts = [...siteFailures(played), ...played.days.flatMap(dayFailures)];
  const findings: Finding[] = texts.map((text) => ({ kind: 'broken', site, text }));
  if (score !== null && level !== null && score < level - NOISE)
    findings.push({ kind: 'lower', site, score, level });
  return findings;
}

function siteFailures({ error, days }: PlayedSite): string[] {
  const failures: string[] = [];
  if (error !== null) failures.push(`the run failed: ${error}`);
  if (days.length === 0) failures.push('no day was played');
  return failures;
}

function dayFailures({ name, seed, rules, served, fault, score }: PlayedDay): string[] {
  const failures: string[] = [];
  const broken = Object.entries(rules).filter(([, times]) => times > 0);
  if (broken.length > 0) failures.push(broken.map(([rule, times]) => `${rule} ${times}`).join(', '));
  for (const [who, , started] of served ?? [])
    if (started < LEAST_SERVED) failures.push(`${who} served ${started.toFixed(2)}`);
  if (fault !== null) failures.push(`failed: ${fault}`);
  else if (score === null || score <= 0) failures.push('the day is worth nothing');
  return failures.map((failure) => `${name} (seed ${seed}): ${failure}`);
}

/** The mean fall on the fixed days that have a level; null when none of them has one. */
export function fixedFall(level: Level, played: readonly PlayedDay[]): number | null {
  const falls: number[] = [];
  for (const { day, seed, score } of level.fixed) {
    const result = played.find((candidate) => candidate.name === day && candidate.seed === seed);
    if (score !== null && result !== undefined) falls.push(score - (result.score ?? 0));
  }
  return falls.length === 0 ? null : falls.reduce((sum, fall) => sum + fall, 0) / falls.length;
}
