// Counts the combinations of faults that a history meets, by what machines, users and the key-value store see
// of them.

import type { UserResponse } from '../../src/core/base/model.ts';
import type { MachineId } from '../../src/types/index.ts';
import { type HistoryRun, sumOf } from './history-run.ts';
import { LIMITED_TEAM_CPUS } from './simulated-settings.ts';

/** Leaders that begin within this are in a row. */
const LEADERS_IN_A_ROW_MS = 30_000;
const LEADERS_IN_A_ROW = 3;
/** Machines that have been up for less are young. */
const YOUNG_MACHINE_MS = 5000;
const QUICK_BOOT_S = 2;
/** A term is new for so long. */
const NEW_TERM_MS = 1500;
/** With so many tasks on each machine there is more work than room. */
const CROWDED_TASKS = 3;

/** Observes one history while it is played. */
export class FaultObserver {
  /** Of each job, the terms under which its tasks were seen to end. */
  private readonly endTerms = new Map<string, Set<number>>();
  private readonly endedOverTerms = new Set<string>();
  private readonly cancelledJobs = new Set<string>();
  private lastTerm = 0;
  private readonly termsBeganAt: number[] = [];
  private termBeganAt = 0;
  private machineUnheardAtTakeover = false;
  private noNodeSince: number | null = null;

  constructor(private readonly run: HistoryRun) {}

  /** Looks at the world; to be called every second. */
  observe(): void {
    const { term } = this.run;
    if (term > this.lastTerm) this.onNewTerm(term);
    this.observeNodes();
    this.observeMachines();
    this.observeEndedTasks(term);
  }

  /** A user asks for a cancellation. */
  onCancelRequested(): void {
    const { world, met } = this.run;
    if (world.ownerOnRecord === null || world.now - this.termBeganAt < NEW_TERM_MS)
      met['cancelled-in-a-hand-over']++;
    if (world.state.down || world.stateSlowMs > 0) met['state-away-while-cancelling']++;
  }

  /**
   * Counts cancellations that are confirmed while tasks run on machines that follow a leader whose term is
   * over.
   */
  onResponse(response: UserResponse): void {
    if (response.kind !== 'ended' || response.status !== 'cancelled') return;
    const { id } = response;
    if (this.cancelledJobs.has(id)) return;
    this.cancelledJobs.add(id);
    const { world, term, met } = this.run;
    for (const machine of world.workers.values()) {
      const followsEarlierTerm = !machine.over && machine.token > 0 && machine.token < term;
      if (followsEarlierTerm && machine.live().some((running) => running.job === id))
        met['leader-cut-cancelled-elsewhere']++;
    }
  }

  /** Counts jobs bound to one zone that lose machines. */
  onMachinesLost(ids: readonly MachineId[]): void {
    const { world, met } = this.run;
    for (const id of ids)
      for (const { job } of world.workers.get(id)!.live()) {
        const spec = world.jobs.get(job)?.spec;
        if (spec?.oneZone === true || spec?.zone != null) met['bound-job-loses-machine']++;
      }
  }

  /** Counts what the world itself has counted. */
  finish(): void {
    const { world, met } = this.run;
    met['late-writes'] = world.state.lateAfterNewer;
    met['old-reports'] = world.oldCopies;
    met['late-commands'] = sumOf([...world.workers.values()].map((machine) => machine.lateCommands));
    met['answers-lost-others-read'] = world.state.answersLost;
    met['reports-kept-for-the-next-leader'] = world.keptDelivered;
    met['tasks-apart-over-terms'] = this.endedOverTerms.size;
    met['leader-ended-machines-away'] = this.machineUnheardAtTakeover ? 1 : 0;
  }

  private onNewTerm(term: number): void {
    const { world, met } = this.run;
    const isFirst = this.lastTerm === 0;
    this.lastTerm = term;
    this.termBeganAt = world.now;
    this.termsBeganAt.push(world.now);
    const recent = this.termsBeganAt.filter((at) => world.now - at < LEADERS_IN_A_ROW_MS);
    if (recent.length >= LEADERS_IN_A_ROW) met['leaders-in-a-row']++;
    if (this.isLimitedTeamUnheard()) met['team-at-limit-machines-away']++;
    if (isFirst) return;
    const machines = [...world.workers.values()];
    const hasYoungMachine = machines.some(
      (machine) => machine.up && machine.upSince > world.now - YOUNG_MACHINE_MS,
    );
    if (hasYoungMachine && world.cloud.bootS <= QUICK_BOOT_S) met['quick-boot-leader-ends']++;
    if (machines.some((machine) => this.run.isUnheard(machine.id) && machine.live().length > 0))
      this.machineUnheardAtTakeover = true;
  }

  /** Whether the limited team uses all that it may, on machines that are not all heard. */
  private isLimitedTeamUnheard(): boolean {
    const use = this.run.limitedTeamUse();
    if (sumOf(use.values()) < LIMITED_TEAM_CPUS) return false;
    return [...use.keys()].some((machine) => this.run.isUnheard(machine));
  }

  private observeNodes(): void {
    const { world, met } = this.run;
    if (world.nodes.size > 0 || world.workers.size === 0) {
      this.noNodeSince = null;
      return;
    }
    this.noNodeSince ??= world.now;
    if (world.now - this.noNodeSince > world.leaseMs) met['all-away-for-a-lease']++;
  }

  private observeMachines(): void {
    const { world, met } = this.run;
    if (world.workers.size < world.cloud.capacity) return;
    const running = [...world.workers.values()].filter((machine) => machine.up && !machine.over);
    if (running.length > 0 && running.every((machine) => machine.live().length >= CROWDED_TASKS))
      met['work-beyond-room']++;
  }

  private observeEndedTasks(term: number): void {
    for (const machine of this.run.world.workers.values())
      for (const task of machine.tasks.values()) {
        if (task.state !== 'exited' || task.why !== 'done') continue;
        const terms = this.endTerms.get(task.job) ?? new Set();
        this.endTerms.set(task.job, terms.add(term));
        if (terms.size > 1) this.endedOverTerms.add(task.job);
      }
  }
}
