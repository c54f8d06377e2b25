// State of a running history that its users, faults and observer share.
import type { seededRandom } from '../../src/runtime/random.ts';
import type { MachineId } from '../../src/types/index.ts';
import type { Uint64 } from '../../src/types/uint64.ts';
import { type CombinationCounts, FAULT_COMBINATIONS } from './history-model.ts';
import { LIMITED_TEAM } from './simulated-settings.ts';
import type { SimulatedWorld } from './simulated-world.ts';

type Random = ReturnType<typeof seededRandom>;

/** The world that a history runs in, its random numbers, and counters of fault combinations. */
export class HistoryRun {
  readonly met = Object.fromEntries(FAULT_COMBINATIONS.map((name) => [name, 0])) as CombinationCounts;

  constructor(
    readonly world: SimulatedWorld,
    /** All nodes of the history, whether they run or not. */
    readonly names: readonly string[],
    readonly random: Random,
  ) {}

  /** The leader term recorded in the store; 0 if there is none. */
  get term(): Uint64 {
    return this.world.recordedLeader?.term ?? 0;
  }

  /** Draws whether an event of a given probability occurs, with a resolution of one thousandth. */
  occursWithProbability(probability: number): boolean {
    return this.random.below(1000) < probability * 1000;
  }

  /** A random running node; the first node of the history if none runs. */
  randomRunningNode(): string {
    const running = [...this.world.nodes.keys()];
    return running[this.random.below(running.length)] ?? this.names[0]!;
  }

  /** The node with a number; 0 is the recorded leader, if there is one. */
  nodeByNumber(number: number): string {
    const leader = this.world.recordedLeader?.node;
    return number === 0 && leader !== undefined ? leader : this.names[number % this.names.length]!;
  }

  /** The first `count` machines that are up and run tasks. */
  busyMachines(count: number): MachineId[] {
    return [...this.world.workers.values()]
      .filter((machine) => machine.up && machine.activeTasks().length > 0)
      .slice(0, count)
      .map((machine) => machine.id);
  }

  /** Whether the machine receives no messages from controllers, or is cut off from all nodes. */
  isUnreachable(machine: string): boolean {
    return (
      this.world.unreachableMachines.has(machine) ||
      this.names.every((node) => this.world.isCut(machine, node))
    );
  }

  /** CPUs that tasks of the limited team use now, by machine. */
  limitedTeamUse(): Map<string, number> {
    const use = new Map<string, number>();
    for (const machine of this.world.workers.values())
      for (const { job } of machine.activeTasks()) {
        const spec = this.world.jobs.get(job)?.spec;
        if (spec?.team === LIMITED_TEAM) use.set(machine.id, (use.get(machine.id) ?? 0) + spec.cpus);
      }
    return use;
  }

  /** Cuts the links from one endpoint to others; returns a function that heals them. */
  isolate(from: string, others: Iterable<string>, mode: 'drop' | 'hold'): () => void {
    const cutEndpoints = [...others].filter((other) => other !== from);
    for (const other of cutEndpoints) this.world.cut(from, other, mode);
    return () => {
      for (const other of cutEndpoints) this.world.heal(from, other);
    };
  }

  /** Runs an action now and then periodically; returns a function that stops it. */
  repeat(intervalMs: number, action: () => void): () => void {
    let isActive = true;
    const runAndReschedule = (): void => {
      if (!isActive) return;
      action();
      this.world.after(intervalMs, runAndReschedule);
    };
    runAndReschedule();
    return () => {
      isActive = false;
    };
  }
}

/** Adds up all values. */
export const sumOf = (values: Iterable<number>): number => {
  let sum = 0;
  for (const value of values) sum += value;
  return sum;
};
