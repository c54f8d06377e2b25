// A simulated world that is checked by the users' rules all the time, for scenarios of faults that coincide.
import assert from 'node:assert/strict';
import type { FakeWorker } from '../../packages/local-cluster/src/fake-worker.ts';
import type { JobSpec, UserRequest } from '../../src/core/base/model.ts';
import type { JobId } from '../../src/types/index.ts';
import {
  type Limits,
  type OnMachine,
  type Room,
  RuleChecker,
  ScannedPlacements,
  type TeamAmounts,
  UNLIMITED,
} from './rule-checker.ts';
import { LIMITED_TEAM, LIMITED_TEAM_CPUS } from './simulated-settings.ts';
import type { SimulatedWorld } from './simulated-world.ts';

/** How long after the confirmation tasks of a cancelled job may be on machines. */
export const CANCEL_MS = 40_000;
/** CPUs that each team of the world may use. */
export const CPUS_MAX = new Map([[LIMITED_TEAM, LIMITED_TEAM_CPUS]]);
const LOOK_INTERVAL_MS = 500;
const ASK_INTERVAL_MS = 1000;
/** Without these a job's description is incomplete. */
const REQUIRED_FIELDS = ['id', 'class', 'team', 'kind', 'tasks', 'cpus', 'memoryGb', 'image'] as const;

/** What a team of the world may use. */
export const limitOf = (team: string): TeamAmounts => ({
  ...UNLIMITED,
  cpus: CPUS_MAX.get(team) ?? UNLIMITED.cpus,
});

/**
 * The leader alone is refused by the key-value store and cut from the other nodes; these machines stay with
 * it.
 */
export function cutLeader(world: SimulatedWorld, leader: string, machines: readonly string[] = []): void {
  world.state.refused.add(leader);
  for (const node of world.nodes.keys()) {
    if (node === leader) continue;
    world.cut(node, leader, 'drop');
    for (const machine of machines) world.cut(node, machine, 'drop');
  }
}

/** The tasks that are on machines. */
export function* onMachines(world: SimulatedWorld): Iterable<OnMachine> {
  for (const machine of world.workers.values()) {
    if (machine.over) continue;
    for (const { task } of machine.live()) yield { task, machine };
  }
}

/** Whether the machine is up, reaches a node, hears it and runs what it is given. */
function canTakeTasks(world: SimulatedWorld, machine: FakeWorker): boolean {
  if (!machine.up || machine.over || machine.faulty || machine.noticeS !== null) return false;
  if (world.mute.has(machine.id) || world.deaf.has(machine.id)) return false;
  return ![...world.nodes.keys()].every((node) => world.isCut(machine.id, node));
}

/** What machines have free that can take tasks. */
export function* rooms(world: SimulatedWorld): Iterable<Room> {
  for (const machine of world.workers.values()) {
    if (!canTakeTasks(world, machine)) continue;
    const { cpus, gpus, memoryGb } = world.cloud.types.find((type) => type.name === machine.type)!;
    const room: Room = { machine, cpus, gpus, memoryGb };
    for (const { job } of machine.live()) {
      const spec = world.jobs.get(job)?.spec;
      if (spec === undefined) continue;
      room.cpus -= spec.cpus;
      room.gpus -= spec.gpus;
      room.memoryGb -= spec.memoryGb;
    }
    yield room;
  }
}

/** Why a job can never run in this world, by its description alone. */
export function unfit(world: SimulatedWorld, spec: JobSpec): string | null {
  for (const field of REQUIRED_FIELDS) if (spec[field] === undefined) return `it has no ${field}`;
  const fits = world.cloud.types.some(
    (type) =>
      (spec.machineTypes === null || spec.machineTypes.includes(type.name)) &&
      (spec.zone === null || type.zones.includes(spec.zone)) &&
      spec.cpus <= type.cpus &&
      spec.gpus <= type.gpus &&
      spec.memoryGb <= type.memoryGb,
  );
  if (!fits) return 'no machine is large enough';
  const atOnce = spec.kind === 'array' ? 1 : spec.tasks;
  const max = CPUS_MAX.get(spec.team);
  if (max !== undefined && spec.cpus * atOnce > max) return 'its team may not use so much';
  return null;
}

/** A world's rule checker, and users who go on asking. */
export interface Judged {
  rules: RuleChecker;
  /** Nothing was broken, by the rules nor by the world's own checks. */
  sound(): void;
  /** The job is asked about every second, at each node in turn, from now on. */
  follow(id: JobId): void;
  /**
   * Repeated every second, at each node in turn, until it is answered with something else than to come back.
   */
  insist(request: UserRequest): { over: boolean };
}

/** The rules of this world, told of all that happens in it; whoever plays the world calls `look`. */
export function ruleCheckerFor(world: SimulatedWorld, limitAt: Limits['limitOf'] = limitOf): RuleChecker {
  const limits: Limits = {
    cancelMs: CANCEL_MS,
    limitOf: limitAt,
    unfit: (spec) => unfit(world, spec),
    rooms: () => rooms(world),
  };
  world.rules = new RuleChecker(limits, new ScannedPlacements(() => onMachines(world)));
  return world.rules;
}

/** Has a world checked by its rules from now on. */
export function judge(world: SimulatedWorld): Judged {
  const rules = ruleCheckerFor(world);
  const look = (): void => {
    rules.look(world.now);
    world.after(LOOK_INTERVAL_MS, look);
  };
  look();
  let turn = 0;
  const nextNode = (): string => {
    const running = [...world.nodes.keys()];
    return running[turn++ % Math.max(1, running.length)] ?? world.nodeNames[0]!;
  };
  const follow = (id: JobId): void => {
    world.ask(nextNode(), { op: 'status', id });
    world.after(ASK_INTERVAL_MS, () => follow(id));
  };
  const insist = (request: UserRequest): { over: boolean } => {
    const state = { over: false };
    const again = (): void => {
      const pending = world.ask(nextNode(), request);
      world.after(ASK_INTERVAL_MS, () => {
        if (pending.answer !== null && pending.answer.kind !== 'retry') state.over = true;
        else if (!state.over) again();
      });
    };
    again();
    return state;
  };
  return {
    rules,
    sound: () => assert.deepEqual([...rules.broken, ...world.broken], []),
    follow,
    insist,
  };
}
