// A world judged by the users' rules all the time, for stories of troubles that meet.
import assert from 'node:assert/strict';
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
import type { SimulatedWorld } from './simulated-world.ts';

export const CANCEL_MS = 40_000;
/** CPUs that each team of the world may use. */
export const CPUS_MAX = new Map([['small', 6]]);
export const limitOf = (team: string): TeamAmounts => ({
  ...UNLIMITED,
  cpus: CPUS_MAX.get(team) ?? UNLIMITED.cpus,
});
const LOOK_MS = 500;

/** The leader alone is refused by the state service and cut from the other controllers; these machines stay with it. */
export function cutLeader(w: SimulatedWorld, leader: string, machines: readonly string[] = []): void {
  w.state.refused.add(leader);
  for (const n of w.nodes.keys()) {
    if (n === leader) continue;
    w.cut(n, leader, 'drop');
    for (const m of machines) w.cut(n, m, 'drop');
  }
}

export function* onMachines(w: SimulatedWorld): Iterable<OnMachine> {
  for (const m of w.workers.values()) {
    if (m.over) continue;
    for (const t of m.live()) yield { task: t.task, machine: m };
  }
}

/** What machines have free that are up, reach a controller, hear it and run what they are given. */
export function* rooms(w: SimulatedWorld): Iterable<Room> {
  const nodes = [...w.nodes.keys()];
  for (const m of w.workers.values()) {
    if (!m.up || m.over || m.faulty || m.noticeS !== null || w.mute.has(m.id) || w.deaf.has(m.id)) continue;
    if (nodes.every((n) => w.isCut(m.id, n))) continue;
    const type = w.cloud.types.find((t) => t.name === m.type)!;
    const room: Room = { machine: m, cpus: type.cpus, gpus: type.gpus, memoryGb: type.memoryGb };
    for (const t of m.live()) {
      const spec = w.jobs.get(t.job)?.spec;
      if (spec === undefined) continue;
      room.cpus -= spec.cpus;
      room.gpus -= spec.gpus;
      room.memoryGb -= spec.memoryGb;
    }
    yield room;
  }
}

/** Why a job can never run in this world, by its description alone. */
export function unfit(w: SimulatedWorld, spec: JobSpec): string | null {
  const fields = ['id', 'class', 'team', 'kind', 'tasks', 'cpus', 'memoryGb', 'image'] as const;
  for (const f of fields) if (spec[f] === undefined) return `it has no ${f}`;
  const fits = w.cloud.types.some(
    (t) =>
      (spec.machineTypes === null || spec.machineTypes.includes(t.name)) &&
      (spec.zone === null || t.zones.includes(spec.zone)) &&
      spec.cpus <= t.cpus &&
      spec.gpus <= t.gpus &&
      spec.memoryGb <= t.memoryGb,
  );
  if (!fits) return 'no machine is large enough';
  const atOnce = spec.kind === 'array' ? 1 : spec.tasks;
  const max = CPUS_MAX.get(spec.team);
  if (max !== undefined && spec.cpus * atOnce > max) return 'its team may not use so much';
  return null;
}

export interface Judged {
  rules: RuleChecker;
  /** Nothing was broken, by the rules nor by the world's own checks. */
  sound(): void;
  /** The job is asked about every second, at each node in turn, from now on. */
  follow(id: JobId): void;
  /** Repeated every second, at each node in turn, until it is answered with something else than to come back. */
  insist(request: UserRequest): { over: boolean };
}

/** The rules of this world, told of all that happens in it; to be looked at by whoever plays it. */
export function ruleCheckerFor(w: SimulatedWorld, limitAt: Limits['limitOf'] = limitOf): RuleChecker {
  const limits = {
    cancelMs: CANCEL_MS,
    limitOf: limitAt,
    unfit: (s: JobSpec) => unfit(w, s),
    rooms: () => rooms(w),
  };
  w.rules = new RuleChecker(limits, new ScannedPlacements(() => onMachines(w)));
  return w.rules;
}

export function judge(w: SimulatedWorld): Judged {
  const rules = ruleCheckerFor(w);
  const look = (): void => {
    rules.look(w.now);
    w.after(LOOK_MS, look);
  };
  look();
  let turn = 0;
  const names = (): string => {
    const up = [...w.nodes.keys()];
    return up[turn++ % Math.max(1, up.length)] ?? w.nodeNames[0]!;
  };
  const follow = (id: JobId): void => {
    w.ask(names(), { op: 'status', id });
    w.after(1000, () => follow(id));
  };
  const insist = (request: UserRequest): { over: boolean } => {
    const state = { over: false };
    const again = (): void => {
      const box = w.ask(names(), request);
      w.after(1000, () => {
        if (box.answer !== null && box.answer.kind !== 'retry') state.over = true;
        else if (!state.over) again();
      });
    };
    again();
    return state;
  };
  return {
    rules,
    sound: () => assert.deepEqual([...rules.broken, ...w.broken], []),
    follow,
    insist,
  };
}
