// Runs a history in a simulated world of its own and checks it against the users' rules.
import { seededRandom } from '../../src/runtime/random.ts';
import { CPUS_MAX, ruleCheckerFor } from './checked-world.ts';
import type { FaultInjector, FaultInjectors, FaultTargets, Recovery } from './fault-injection.ts';
import { FaultObserver } from './fault-observer.ts';
import { faultFreeS, faultsEndS } from './history-jobs.ts';
import type { Fault, History, Verdict } from './history-model.ts';
import { HistoryRun } from './history-run.ts';
import { HistoryUsers } from './history-users.ts';
import { MACHINE_FAULTS } from './machine-faults.ts';
import { NODE_FAULTS } from './node-faults.ts';
import { Operator } from './operator.ts';
import { type RuleChecker, UNLIMITED } from './rule-checker.ts';
import { SERVICE_FAULTS } from './service-faults.ts';
import { type EffectListener, SimulatedWorld } from './simulated-world.ts';
import { USER_FAULTS } from './user-faults.ts';

/** Maximum number of machines that the cloud provides. */
const MAX_MACHINES = 8;
const DEFAULT_BOOT_S = 2;
/** Simulated time before the history starts. */
const WARM_UP_S = 4;
/** Time from the end of the last fault until rules that require a fault-free world are checked. */
const RECOVERY_S = 12;
/** Minimum time that is simulated after the recovery. */
const MIN_FAULT_FREE_S = 45;
/** How often rules with time limits are checked in a simulated second. */
const CHECKS_PER_S = 2;

const INJECTORS: FaultInjectors<Fault['kind']> = {
  ...NODE_FAULTS,
  ...MACHINE_FAULTS,
  ...SERVICE_FAULTS,
  ...USER_FAULTS,
};

function beginFault(targets: FaultTargets, fault: Fault): Recovery {
  const inject = INJECTORS[fault.kind] as FaultInjector<Fault['kind']>;
  return inject(targets, fault);
}

/** Runs one history in a world of its own. */
export class HistoryPlayer {
  readonly world: SimulatedWorld;
  private readonly rules: RuleChecker;
  private readonly run: HistoryRun;
  private readonly observer: FaultObserver;
  private readonly users: HistoryUsers;
  private readonly operator: Operator;

  constructor(
    private readonly history: History,
    onEffect: EffectListener | null = null,
  ) {
    const names = Array.from({ length: history.nodes }, (_, i) => `node-${i}`);
    this.world = new SimulatedWorld({}, names, onEffect);
    // Ends nodes that the world has started but the history does not have.
    for (const name of [...this.world.nodes.keys()]) if (!names.includes(name)) this.world.crash(name);
    this.run = new HistoryRun(this.world, names, seededRandom(history.seed));
    this.operator = new Operator(this.world);
    this.rules = ruleCheckerFor(this.world, (team) => ({ ...UNLIMITED, cpus: this.limitOf(team) }));
    this.observer = new FaultObserver(this.run);
    this.users = new HistoryUsers(history, this.run, this.observer);
    this.world.onUserResponse = (response) => this.users.onResponse(response);
    this.world.onTaskDone = (task) => this.users.onTaskEnd(task);
    this.world.cloud.capacity = MAX_MACHINES;
    this.world.cloud.bootS = history.bootS ?? DEFAULT_BOOT_S;
  }

  /** Runs the history to its end. */
  play(): Verdict {
    const { world, history, rules } = this;
    world.run(WARM_UP_S);
    history.jobs.forEach((_job, index) => {
      this.users.submitJob(index);
    });
    this.scheduleFaults();
    for (let s = 0; s < faultsEndS(history); s++) this.playSecond();
    world.run(RECOVERY_S);
    rules.onFaultsEnded(world.now);
    const unfinished = this.playUntilFinished();
    rules.checkAnyTaskStarted(world.now);
    this.observer.finish();
    const { latestGoneMs, longestSilenceMs, longestNeedlessMs, latestStartMs } = rules;
    return {
      broken: [
        ...rules.violations,
        ...unfinished.map((id) => `not ended ${faultFreeS(history)} s after the recovery: ${id}`),
      ],
      met: this.run.met,
      latestGoneMs,
      longestSilenceMs,
      longestNeedlessMs,
      latestStartMs,
      played: rules.started > 0,
    };
  }

  private limitOf(team: string): number {
    const configuredCpus = CPUS_MAX.get(team);
    return configuredCpus === undefined
      ? Number.POSITIVE_INFINITY
      : this.operator.limitOf(team, configuredCpus);
  }

  private scheduleFaults(): void {
    const { world, history, run, users, observer, operator } = this;
    const targets: FaultTargets = { run, users, observer, operator };
    const startMs = world.now;
    for (const fault of history.troubles)
      world.at(startMs + fault.atS * 1000, () => {
        const recover = beginFault(targets, fault);
        world.after(fault.forS * 1000, recover);
      });
  }

  /** Runs until all jobs have ended or the time limit is reached; returns the jobs that have not ended. */
  private playUntilFinished(): string[] {
    let unfinished: string[] = [];
    for (let s = 0; s < faultFreeS(this.history); s++) {
      this.playSecond();
      unfinished = this.rules.unfinishedJobs();
      if (unfinished.length === 0 && s > MIN_FAULT_FREE_S) break;
    }
    return unfinished;
  }

  private playSecond(): void {
    for (let i = 0; i < CHECKS_PER_S; i++) {
      this.world.run(1 / CHECKS_PER_S);
      this.rules.checkTimeLimits(this.world.now);
    }
    this.observer.observe();
  }
}

/** Runs one history; deterministic for a given history. */
export const playHistory = (history: History, onLogs?: (lines: string[]) => void): Verdict => {
  const player = new HistoryPlayer(history);
  const verdict = player.play();
  onLogs?.(player.world.logs);
  return verdict;
};
