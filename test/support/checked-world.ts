// Continuous checks of a simulated world against the users' rules, for scenarios with concurrent faults.
import assert from 'node:assert/strict';
import type { FakeWorker } from '../../packages/local-cluster/src/fake-worker.ts';
import type { JobSpec, UserRequest } from '../../src/core/base/model.ts';
import type { JobId } from '../../src/types/index.ts';
import {
  type FreeCapacity,
  type Limits,
  type PlacedTask,
  RuleChecker,
  ScannedPlacements,
  type TeamAmounts,
  UNLIMITED,
} from './rule-checker.ts';
import { LIMITED_TEAM, LIMITED_TEAM_CPUS } from './simulated-settings.ts';
import type { SimulatedWorld } from './simulated-world.ts';

/** How long tasks of a cancelled job may remain on machines after the cancellation is confirmed. */
export const CANCEL_MS = 40_000;
/** CPU quotas of the world's teams; teams that are not listed are unlimited. */
export const CPUS_MAX = new Map([[LIMITED_TEAM, LIMITED_TEAM_CPUS]]);
const CHECK_INTERVAL_MS = 500;
const POLL_INTERVAL_MS = 1000;
/** Fields that every job description must have. */
const REQUIRED_FIELDS = ['id', 'class', 'team', 'kind', 'tasks', 'cpus', 'memoryGb', 'image'] as const;

/** The quota of a team of the world. */
export const limitOf = (team: string): TeamAmounts => ({
  ...UNLIMITED,
  cpus: CPUS_MAX.get(team) ?? UNLIMITED.cpus,
});

/**
 * Isolates the leader: the key-value store refuses its requests, and its links to the other nodes are cut.
 * The given machines reach only the leader.
 */
export function cutLeader(world: SimulatedWorld, leader: string, machines: readonly string[] = []): void {
  world.state.refusedNodes.add(leader);
  for (const node of world.nodes.keys()) {
    if (node === leader) continue;
    world.cut(node, leader, 'drop');
    for (const machine of machines) world.cut(node, machine, 'drop');
  }
}

/** All tasks that are on machines which still exist. */
export function* tasksOnMachines(world: SimulatedWorld): Iterable<PlacedTask> {
  for (const machine of world.workers.values()) {
    if (machine.isTerminatedOrExpired) continue;
    for (const { task } of machine.activeTasks()) yield { task, machine };
  }
}

/** Whether the machine is up, can exchange messages with a node, and can run new tasks. */
function canTakeTasks(world: SimulatedWorld, machine: FakeWorker): boolean {
  if (!machine.up || machine.isTerminatedOrExpired || machine.faulty || machine.preemptionNoticeS !== null)
    return false;
  if (world.silencedMachines.has(machine.id) || world.unreachableMachines.has(machine.id)) return false;
  return ![...world.nodes.keys()].every((node) => world.isCut(machine.id, node));
}

/** Free capacity of each machine that can take tasks. */
export function* freeCapacities(world: SimulatedWorld): Iterable<FreeCapacity> {
  for (const machine of world.workers.values()) {
    if (!canTakeTasks(world, machine)) continue;
    const { cpus, gpus, memoryGb } = world.cloud.types.find((type) => type.name === machine.type)!;
    const free: FreeCapacity = { machine, cpus, gpus, memoryGb };
    for (const { job } of machine.activeTasks()) {
      const spec = world.jobs.get(job)?.spec;
      if (spec === undefined) continue;
      free.cpus -= spec.cpus;
      free.gpus -= spec.gpus;
      free.memoryGb -= spec.memoryGb;
    }
    yield free;
  }
}

/** Why a job can never run in this world, judged by its description alone; null if it can. */
export function impossibleReason(world: SimulatedWorld, spec: JobSpec): string | null {
  for (const field of REQUIRED_FIELDS)
    if (spec[field] === undefined) return `its description has no field ${field}`;
  const fits = world.cloud.types.some(
    (type) =>
      (spec.machineTypes === null || spec.machineTypes.includes(type.name)) &&
      (spec.zone === null || type.zones.includes(spec.zone)) &&
      spec.cpus <= type.cpus &&
      spec.gpus <= type.gpus &&
      spec.memoryGb <= type.memoryGb,
  );
  if (!fits) return 'no machine type satisfies its type, zone and size constraints';
  const minConcurrentTasks = spec.kind === 'array' ? 1 : spec.tasks;
  const max = CPUS_MAX.get(spec.team);
  if (max !== undefined && spec.cpus * minConcurrentTasks > max)
    return `it needs more than the ${max} CPUs of its team's quota`;
  return null;
}

/** A world's rule checker, with users that poll and retry. */
export interface RuleChecks {
  rules: RuleChecker;
  /** Asserts that neither the rule checker nor the world's own placement check found a violation. */
  assertNoViolations(): void;
  /** From now on requests the job's status every second, from each node in turn. */
  pollStatus(id: JobId): void;
  /**
   * Repeats a request every second, at each node in turn, until the response is not `retry`;
   * `isAnswered` is true from then on.
   */
  requestUntilAnswered(request: UserRequest): { isAnswered: boolean };
}

/** Attaches a rule checker to a world; the caller has to call `checkTimeLimits` regularly. */
export function ruleCheckerFor(world: SimulatedWorld, limitAt: Limits['limitOf'] = limitOf): RuleChecker {
  const limits: Limits = {
    cancelMs: CANCEL_MS,
    limitOf: limitAt,
    unfit: (spec) => impossibleReason(world, spec),
    rooms: () => freeCapacities(world),
  };
  world.rules = new RuleChecker(limits, new ScannedPlacements(() => tasksOnMachines(world)));
  return world.rules;
}

/** Attaches a rule checker to a world and schedules its checks. */
export function checkRules(world: SimulatedWorld): RuleChecks {
  const rules = ruleCheckerFor(world);
  const check = (): void => {
    rules.checkTimeLimits(world.now);
    world.after(CHECK_INTERVAL_MS, check);
  };
  check();
  let nodeIndex = 0;
  const nextNode = (): string => {
    const running = [...world.nodes.keys()];
    return running[nodeIndex++ % Math.max(1, running.length)] ?? world.nodeNames[0]!;
  };
  const pollStatus = (id: JobId): void => {
    world.sendRequest(nextNode(), { op: 'status', id });
    world.after(POLL_INTERVAL_MS, () => pollStatus(id));
  };
  const requestUntilAnswered = (request: UserRequest): { isAnswered: boolean } => {
    const state = { isAnswered: false };
    const sendRequest = (): void => {
      const pending = world.sendRequest(nextNode(), request);
      world.after(POLL_INTERVAL_MS, () => {
        if (pending.answer !== null && pending.answer.kind !== 'retry') state.isAnswered = true;
        else if (!state.isAnswered) sendRequest();
      });
    };
    sendRequest();
    return state;
  };
  return {
    rules,
    assertNoViolations: () => assert.deepEqual([...rules.violations, ...world.violations], []),
    pollStatus,
    requestUntilAnswered,
  };
}
