// What all parts of the player of a history share.
import type { seededRandom } from '../../src/runtime/random.ts';
import type { MachineId } from '../../src/types/index.ts';
import { type CombinationCounts, FAULT_COMBINATIONS } from './history-model.ts';
import { LIMITED_TEAM } from './simulated-settings.ts';
import type { SimulatedWorld } from './simulated-world.ts';

type Random = ReturnType<typeof seededRandom>;

/** The world that a history is played in, its random numbers, and what was met. */
export class HistoryRun {
  readonly met = Object.fromEntries(FAULT_COMBINATIONS.map((name) => [name, 0])) as CombinationCounts;

  constructor(
    readonly world: SimulatedWorld,
    /** All nodes of the history, whether they run or not. */
    readonly names: readonly string[],
    readonly random: Random,
  ) {}

  /** The term on record; 0 if there is none. */
  get term(): number {
    return this.world.ownerOnRecord?.term ?? 0;
  }

  /** Whether something of a given probability happens, in thousandths. */
  happens(share: number): boolean {
    return this.random.below(1000) < share * 1000;
  }

  /** A node that runs. */
  anyNode(): string {
    const running = [...this.world.nodes.keys()];
    return running[this.random.below(running.length)] ?? this.names[0]!;
  }

  /** A node by its number; 0 is the leader, if there is one. */
  nodeOf(who: number): string {
    const leader = this.world.ownerOnRecord?.node;
    return who === 0 && leader !== undefined ? leader : this.names[who % this.names.length]!;
  }

  /** So many machines that run tasks. */
  busyMachines(count: number): MachineId[] {
    return [...this.world.workers.values()]
      .filter((machine) => machine.up && machine.live().length > 0)
      .slice(0, count)
      .map((machine) => machine.id);
  }

  /** Whether the machine does not hear controllers, or does not reach them. */
  isUnheard(machine: string): boolean {
    return this.world.deaf.has(machine) || this.names.every((node) => this.world.isCut(machine, node));
  }

  /** CPUs that tasks of the limited team use now, by machine. */
  limitedTeamUse(): Map<string, number> {
    const use = new Map<string, number>();
    for (const machine of this.world.workers.values())
      for (const { job } of machine.live()) {
        const spec = this.world.jobs.get(job)?.spec;
        if (spec?.team === LIMITED_TEAM) use.set(machine.id, (use.get(machine.id) ?? 0) + spec.cpus);
      }
    return use;
  }

  /** Cuts one end from others; returns what heals it. */
  cutOff(from: string, others: Iterable<string>, mode: 'drop' | 'hold'): () => void {
    const cut = [...others].filter((other) => other !== from);
    for (const other of cut) this.world.cut(from, other, mode);
    return () => {
      for (const other of cut) this.world.heal(from, other);
    };
  }

  /** Does something now and again and again, until what is returned is called. */
  repeat(everyMs: number, action: () => void): () => void {
    let isOn = true;
    const again = (): void => {
      if (!isOn) return;
      action();
      this.world.after(everyMs, again);
    };
    again();
    return () => {
      isOn = false;
    };
  }
}

/** Adds up all values. */
export const sumOf = (values: Iterable<number>): number => {
  let sum = 0;
  for (const value of values) sum += value;
  return sum;
};
