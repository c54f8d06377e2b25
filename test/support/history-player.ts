// Plays a history in a simulated world of its own, and has it checked by the users' rules.
import { seededRandom } from '../../src/runtime/random.ts';
import { CPUS_MAX, ruleCheckerFor } from './checked-world.ts';
import type { FaultInjector, FaultInjectors, FaultTargets, Recovery } from './fault-injection.ts';
import { FaultObserver } from './fault-observer.ts';
import { calmS, faultsEndS } from './history-jobs.ts';
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

/** Machines that the cloud of a history has. */
const CAPACITY = 8;
const DEFAULT_BOOT_S = 2;
/** Before the first job. */
const WARM_UP_S = 4;
/** From the end of the last fault until the rules hold that need a world without faults. */
const RECOVERY_S = 12;
/** The least that is played after the last fault. */
const LEAST_CALM_S = 45;
/** Rules that depend on time are checked so often in a second. */
const LOOKS_PER_S = 2;

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

/** Plays one history in a world of its own. */
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
    // Two nodes are fewer than the world begins with.
    for (const name of [...this.world.nodes.keys()]) if (!names.includes(name)) this.world.crash(name);
    this.run = new HistoryRun(this.world, names, seededRandom(history.seed));
    this.operator = new Operator(this.world);
    this.rules = ruleCheckerFor(this.world, (team) => ({ ...UNLIMITED, cpus: this.limitOf(team) }));
    this.observer = new FaultObserver(this.run);
    this.users = new HistoryUsers(history, this.run, this.observer);
    this.world.onTold = (response) => this.users.onResponse(response);
    this.world.onEnd = (task) => this.users.onTaskEnd(task);
    this.world.cloud.capacity = CAPACITY;
    this.world.cloud.bootS = history.bootS ?? DEFAULT_BOOT_S;
  }

  /** Plays the history to its end. */
  play(): Verdict {
    const { world, history, rules } = this;
    world.run(WARM_UP_S);
    history.jobs.forEach((_, index) => {
      this.users.submitJob(index);
    });
    this.scheduleFaults();
    for (let s = 0; s < faultsEndS(history); s++) this.playSecond();
    world.run(RECOVERY_S);
    rules.troublesOver(world.now);
    const unfinished = this.playUntilFinished();
    rules.close(world.now);
    this.observer.finish();
    const { latestGoneMs, longestSilenceMs, longestNeedlessMs, latestStartMs } = rules;
    return {
      broken: [...rules.broken, ...unfinished.map((id) => `never over: ${id}`)],
      met: this.run.met,
      latestGoneMs,
      longestSilenceMs,
      longestNeedlessMs,
      latestStartMs,
      played: rules.started > 0,
    };
  }

  private limitOf(team: string): number {
    const first = CPUS_MAX.get(team);
    return first === undefined ? Number.POSITIVE_INFINITY : this.operator.limitOf(team, first);
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

  /** Jobs that were not over by the end. */
  private playUntilFinished(): string[] {
    let unfinished: string[] = [];
    for (let s = 0; s < calmS(this.history); s++) {
      this.playSecond();
      unfinished = this.rules.unfinished();
      if (unfinished.length === 0 && s > LEAST_CALM_S) break;
    }
    return unfinished;
  }

  private playSecond(): void {
    for (let i = 0; i < LOOKS_PER_S; i++) {
      this.world.run(1 / LOOKS_PER_S);
      this.rules.look(this.world.now);
    }
    this.observer.observe();
  }
}

/** Plays one history; the same history always ends the same way. */
export const playHistory = (history: History, onLogs?: (lines: string[]) => void): Verdict => {
  const player = new HistoryPlayer(history);
  const verdict = player.play();
  onLogs?.(player.world.logs);
  return verdict;
};
