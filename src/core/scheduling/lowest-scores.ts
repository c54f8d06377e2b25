// Collects, of the machines that are offered, those with the lowest score, within a tolerance.
import type { Machine } from '../machines/machine.ts';

/** Scores closer than this count as equal, so that the choice among them is random. */
const SCORE_TOLERANCE = 0.05;

/** The machines whose scores are within the tolerance of the lowest score so far. */
export class LowestScores {
  /** In the order in which they were offered. */
  machines: Machine[] = [];
  private scores: number[] = [];
  private lowest = Number.POSITIVE_INFINITY;

  /** Adds the machine if its score is low enough; a machine with an infinite score is never added. */
  offer(machine: Machine, score: number): void {
    if (score > this.lowest + SCORE_TOLERANCE || !Number.isFinite(score)) return;
    if (score < this.lowest) {
      this.lowest = score;
      this.dropAbove(score + SCORE_TOLERANCE);
    }
    this.machines.push(machine);
    this.scores.push(score);
  }

  private dropAbove(limit: number): void {
    if (!this.scores.some((score) => score > limit)) return;
    this.machines = this.machines.filter((_, index) => this.scores[index]! <= limit);
    this.scores = this.scores.filter((score) => score <= limit);
  }
}
