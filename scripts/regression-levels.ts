// Compares the results of the bench with the levels stored in the repository. Free of I/O, so that it can be
// tested without the bench.
import { MIN_SERVED_FRACTION } from './scenario-result.ts';

/**
 * A class or a team: its name, its fraction of the day's jobs, and the fraction of its own jobs of which a
 * task was started.
 */
export type StartedGroup = [name: string, fractionOfDay: number, fractionStarted: number];

/** One day in a journal entry of the bench. */
export interface PlayedDay {
  name: string;
  seed: number;
  score: number | null;
  /** Numbers of violations, by rule. */
  rules: Record<string, number>;
  /** Reason why the day was aborted; null if it ran to its end. */
  fault: string | null;
  served?: StartedGroup[];
}

/** The days of one site in a journal entry of the bench. */
export interface PlayedSite {
  site: string;
  score: number | null;
  error: string | null;
  days: PlayedDay[];
}

/**
 * A named day with a fixed seed, run without charging processor time, and its level: the score that it had,
 * or null if it has not been run.
 */
export interface FixedDay {
  day: string;
  seed: number;
  score: number | null;
}

/**
 * The expected scores of a site. Quick and full scores vary with the processor time that the machine takes;
 * fixed days are mostly reproducible.
 */
export interface Level {
  /** Path of the site file, relative to the kit's folder. */
  file: string;
  quick: number | null;
  full: number | null;
  fixed: FixedDay[];
}

/** Levels by site. */
export type Levels = Record<string, Level>;

/** Scores may differ by this much between runs of the same sources. */
export const SCORE_NOISE = 0.03;

/** A problem found in the days of a site. */
export type Finding =
  | { kind: 'broken'; site: string; text: string }
  /**
   * The score is lower by more than noise; fixed days are run to confirm this before it counts as a failure.
   */
  | { kind: 'lower'; site: string; score: number; level: number };

/** The problems found in one run of a site's days. */
export function findingsOf(played: PlayedSite, level: number | null): Finding[] {
  const { site, score } = played;
  const texts = [...siteFailures(played), ...played.days.flatMap(dayFailures)];
  const findings: Finding[] = texts.map((text) => ({ kind: 'broken', site, text }));
  if (score !== null && level !== null && score < level - SCORE_NOISE)
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
    if (started < MIN_SERVED_FRACTION) failures.push(`${who} served ${started.toFixed(2)}`);
  if (fault !== null) failures.push(`failed: ${fault}`);
  else if (score === null || score <= 0) failures.push('the day is worth nothing');
  return failures.map((failure) => `${name} (seed ${seed}): ${failure}`);
}

/** The mean drop of the score on the fixed days that have a level; null if none of them has one. */
export function fixedFall(level: Level, played: readonly PlayedDay[]): number | null {
  const drops: number[] = [];
  for (const { day, seed, score } of level.fixed) {
    const result = played.find((candidate) => candidate.name === day && candidate.seed === seed);
    if (score !== null && result !== undefined) drops.push(score - (result.score ?? 0));
  }
  return drops.length === 0 ? null : drops.reduce((sum, drop) => sum + drop, 0) / drops.length;
}
