// Starting points of scenarios with a job whose tasks run longer than the scenario lasts.
import assert from 'node:assert/strict';
import type { JobSpec } from '../../src/core/base/model.ts';
import { checkRules, type RuleChecks } from './checked-world.ts';
import { job, SimulatedWorld } from './simulated-world.ts';

const JOB_ID = 'run-1';
const TASK_RUN_S = 500;
const DEFAULT_BOOT_S = 5;

/** The controllers of a world by role. */
export interface Roles {
  leader: string;
  others: string[];
}

/** Asserts that the world's own checks found no violation. */
export const assertUnbroken = (world: SimulatedWorld): void => assert.deepEqual(world.violations, []);

/** Starts a world and the array `run-1` of eight tasks in it; machines boot in `bootS` seconds. */
export function startLongArray(
  overrides: Partial<JobSpec> = {},
  bootS = DEFAULT_BOOT_S,
): Roles & { world: SimulatedWorld } {
  const world = new SimulatedWorld();
  return { world, ...startLongJob(world, job(JOB_ID, { tasks: 8, ...overrides }), bootS) };
}

/**
 * Starts a world and the one-task job `run-1` in it, with a rule checker and with all agents connected to the
 * first leader.
 */
export function startCheckedLongJob(
  overrides: Partial<JobSpec> = {},
  bootS = DEFAULT_BOOT_S,
): Roles & { world: SimulatedWorld; checks: RuleChecks } {
  const world = new SimulatedWorld();
  const checks = checkRules(world);
  // Agents connect to the first controller, which is the first leader.
  world.connectsRoundRobin = false;
  return { world, checks, ...startLongJob(world, job(JOB_ID, overrides), bootS) };
}

function startLongJob(world: SimulatedWorld, spec: JobSpec, bootS: number): Roles {
  for (const type of world.cloud.types) type.bootS = bootS;
  world.runS = TASK_RUN_S;
  assert.equal(world.submit(spec)?.kind, 'accepted');
  assert.ok(world.until(() => world.machinesRunning(spec.id).length > 0));
  world.run(3);
  const leader = world.leader!;
  return { leader, others: [...world.nodes.keys()].filter((node) => node !== leader) };
}
