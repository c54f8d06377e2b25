// Counts the combinations of faults that occur in a history, as observed at machines, users and the key-value
// store.

import type { UserResponse } from '../../src/core/base/model.ts';
import type { MachineId } from '../../src/types/index.ts';
import type { Uint64 } from '../../src/types/uint64.ts';
import { type HistoryRun, sumOf } from './history-run.ts';
import { LIMITED_TEAM_CPUS } from './simulated-settings.ts';

/** At least `LEADERS_IN_A_ROW` terms that start within this period count as leaders in a row. */
const LEADERS_IN_A_ROW_MS = 30_000;
const LEADERS_IN_A_ROW = 3;
/** A machine that has been up for less than this counts as young. */
const YOUNG_MACHINE_MS = 5000;
const QUICK_BOOT_S = 2;
/** A term counts as new for this long. */
const NEW_TERM_MS = 1500;
/** With at least this many tasks on each machine, there is more work than capacity. */
const CROWDED_TASKS_PER_MACHINE = 3;

/** Observes one history while it runs. */
export class FaultObserver {
  /** The leader terms during which completed tasks were observed, by job. */
  private readonly completionTermsByJob = new Map<string, Set<Uint64>>();
  private readonly jobsCompletedOverTerms = new Set<string>();
  private readonly cancelledJobs = new Set<string>();
  private lastTerm: Uint64 = 0;
  private readonly termsBeganAt: number[] = [];
  private termBeganAt = 0;
  private wasBusyMachineUnreachableAtTakeover = false;
  private allNodesDownSince: number | null = null;

  constructor(private readonly run: HistoryRun) {}

  /** Observes the state of the world; must be called every second. */
  observe(): void {
    const { term } = this.run;
    if (term > this.lastTerm) this.onNewTerm(term);
    this.observeNodes();
    this.observeMachines();
    this.observeEndedTasks(term);
  }

  /** Counts a cancellation that is requested around a leader change or while the store is down or slow. */
  onCancelRequested(): void {
    const { world, met } = this.run;
    if (world.recordedLeader === null || world.now - this.termBeganAt < NEW_TERM_MS)
      met['cancelled-in-a-hand-over']++;
    if (world.state.down || world.storeDelayMs > 0) met['state-away-while-cancelling']++;
  }

  /** Counts cancellations confirmed while tasks of the job run on machines that follow a former leader. */
  onResponse(response: UserResponse): void {
    if (response.kind !== 'ended' || response.status !== 'cancelled') return;
    const { id } = response;
    if (this.cancelledJobs.has(id)) return;
    this.cancelledJobs.add(id);
    const { world, term, met } = this.run;
    for (const machine of world.workers.values()) {
      const followsEarlierTerm =
        !machine.isTerminatedOrExpired && machine.fencingToken > 0 && machine.fencingToken < term;
      if (followsEarlierTerm && machine.activeTasks().some((running) => running.job === id))
        met['leader-cut-cancelled-elsewhere']++;
    }
  }

  /** Counts lost tasks of jobs that are bound to one zone. */
  onMachinesLost(ids: readonly MachineId[]): void {
    const { world, met } = this.run;
    for (const id of ids)
      for (const { job } of world.workers.get(id)!.activeTasks()) {
        const spec = world.jobs.get(job)?.spec;
        if (spec?.oneZone === true || spec?.zone != null) met['bound-job-loses-machine']++;
      }
  }

  /** Adds the counters that the world and its services keep. */
  finish(): void {
    const { world, met } = this.run;
    met['late-writes'] = world.state.executedAfterNewer;
    met['old-reports'] = world.outdatedHeartbeatCopies;
    met['late-commands'] = sumOf([...world.workers.values()].map((machine) => machine.lateCommands));
    met['answers-lost-others-read'] = world.state.answersLost;
    met['reports-kept-for-the-next-leader'] = world.outdatedKeptHeartbeats;
    met['tasks-apart-over-terms'] = this.jobsCompletedOverTerms.size;
    met['leader-ended-machines-away'] = this.wasBusyMachineUnreachableAtTakeover ? 1 : 0;
  }

  private onNewTerm(term: Uint64): void {
    const { world, met } = this.run;
    const isFirst = this.lastTerm === 0;
    this.lastTerm = term;
    this.termBeganAt = world.now;
    this.termsBeganAt.push(world.now);
    const recent = this.termsBeganAt.filter((at) => world.now - at < LEADERS_IN_A_ROW_MS);
    if (recent.length >= LEADERS_IN_A_ROW) met['leaders-in-a-row']++;
    if (this.isLimitedTeamPartlyUnreachable()) met['team-at-limit-machines-away']++;
    if (isFirst) return;
    const machines = [...world.workers.values()];
    const hasYoungMachine = machines.some(
      (machine) => machine.up && machine.upSince > world.now - YOUNG_MACHINE_MS,
    );
    if (hasYoungMachine && world.cloud.bootS <= QUICK_BOOT_S) met['quick-boot-leader-ends']++;
    if (machines.some((machine) => this.run.isUnreachable(machine.id) && machine.activeTasks().length > 0))
      this.wasBusyMachineUnreachableAtTakeover = true;
  }

  /** Whether the limited team uses its whole quota, in part on unreachable machines. */
  private isLimitedTeamPartlyUnreachable(): boolean {
    const use = this.run.limitedTeamUse();
    if (sumOf(use.values()) < LIMITED_TEAM_CPUS) return false;
    return [...use.keys()].some((machine) => this.run.isUnreachable(machine));
  }

  private observeNodes(): void {
    const { world, met } = this.run;
    if (world.nodes.size > 0 || world.workers.size === 0) {
      this.allNodesDownSince = null;
      return;
    }
    this.allNodesDownSince ??= world.now;
    if (world.now - this.allNodesDownSince > world.leaseMs) met['all-away-for-a-lease']++;
  }

  private observeMachines(): void {
    const { world, met } = this.run;
    if (world.workers.size < world.cloud.capacity) return;
    const running = [...world.workers.values()].filter(
      (machine) => machine.up && !machine.isTerminatedOrExpired,
    );
    if (
      running.length > 0 &&
      running.every((machine) => machine.activeTasks().length >= CROWDED_TASKS_PER_MACHINE)
    )
      met['work-beyond-room']++;
  }

  private observeEndedTasks(term: Uint64): void {
    for (const machine of this.run.world.workers.values())
      for (const task of machine.tasks.values()) {
        if (task.state !== 'exited' || task.exitReason !== 'done') continue;
        const terms = this.completionTermsByJob.get(task.job) ?? new Set();
        this.completionTermsByJob.set(task.job, terms.add(term));
        if (terms.size > 1) this.jobsCompletedOverTerms.add(task.job);
      }
  }
}
