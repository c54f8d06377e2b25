// Tests the scale experiment: its index of placements, its line fit, the runs and options that it rejects,
// and that it leaves no process running.
import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { readdirSync, readFileSync } from 'node:fs';
import { describe, it } from 'node:test';
import { fitLine } from '../scripts/experiments/scale/line-fit.ts';
import { ObservationQueue } from '../scripts/experiments/scale/observation-queue.ts';
import { LastingFreeCapacity, TrackedPlacements } from '../scripts/experiments/scale/placements.ts';
import { findResourceShortage } from '../scripts/experiments/scale/resources.ts';
import { sleep } from '../scripts/experiments/scale/time.ts';
import { teamsFor } from '../scripts/experiments/scale/workload.ts';
import type { JobSpec } from '../src/core/base/model.ts';
import type { JobId, TeamName } from '../src/types/index.ts';
import { type FreeCapacity, type MachineInfo, RuleChecker, UNLIMITED } from './support/rule-checker.ts';
import { job } from './support/simulated-world.ts';

const RUN = ['--import', 'tsx', 'scripts/experiments/run.ts', 'scale'];
const createMachine = (id: string): MachineInfo => ({ id, type: 'plain', zone: 'zone-0', spot: false });
const machines = new Map(['i-1', 'i-2'].map((id) => [id, createMachine(id)]));

function createFixture(limitCpus: number, freeCapacity: () => FreeCapacity[] = () => []) {
  const specs = new Map<string, JobSpec>([
    ['run-1', job('run-1', { team: 'small' as TeamName, tasks: 3, cpus: 2 })],
  ]);
  const placements = new TrackedPlacements(
    (id) => machines.get(id),
    (id) => specs.get(id),
  );
  const limits = {
    cancelMs: 40_000,
    limitOf: () => ({ ...UNLIMITED, cpus: limitCpus }),
    rooms: freeCapacity,
  };
  const rules = new RuleChecker(limits, placements);
  const observations = new ObservationQueue(rules, placements, (id) => machines.get(id));
  const request = { op: 'submit' as const, spec: specs.get('run-1')! };
  observations.add([
    { at: 0, kind: 'asked', request },
    { at: 1, kind: 'told', sentAt: 0, request, answer: { kind: 'accepted', id: 'run-1' as JobId } },
  ]);
  return { rules, observations, placements };
}

/** The ids of all processes that descend from the process `pid`. */
function descendants(pid: number): number[] {
  const childrenByParent = new Map<number, number[]>();
  for (const name of readdirSync('/proc').filter((n) => /^\d+$/.test(n)))
    try {
      const stat = readFileSync(`/proc/${name}/stat`, 'utf8');
      const parent = Number(stat.slice(stat.lastIndexOf(')') + 2).split(' ')[1]);
      childrenByParent.set(parent, [...(childrenByParent.get(parent) ?? []), Number(name)]);
    } catch {
      // The process ended after the directory was listed.
    }
  const found: number[] = [];
  for (const unvisited = [pid]; unvisited.length > 0; ) {
    const children = childrenByParent.get(unvisited.pop()!) ?? [];
    found.push(...children);
    unvisited.push(...children);
  }
  return found;
}

describe('the scale experiment', () => {
  it('observations of workers are checked in the order of their times, in whatever order their batches arrive', () => {
    const { rules, observations, placements } = createFixture(4);
    observations.add([{ at: 300, kind: 'on', task: 'run-1/0', machine: 'i-2' }]);
    observations.add([
      { at: 100, kind: 'on', task: 'run-1/0', machine: 'i-1' },
      { at: 200, kind: 'off', task: 'run-1/0', machine: 'i-1' },
    ]);
    observations.advance(5000);
    assert.deepEqual(rules.violations, []);
    assert.deepEqual([placements.size, placements.usedBy('small').cpus], [1, 2]);
    assert.equal(placements.freeCapacityOf(createMachine('i-2'), { cpus: 8, gpus: 0, memoryGb: 8 }).cpus, 6);
  });

  it('a task on two machines and a team above its limit are reported', () => {
    const { rules, observations } = createFixture(4);
    observations.add([
      { at: 100, kind: 'on', task: 'run-1/0', machine: 'i-1' },
      { at: 200, kind: 'on', task: 'run-1/0', machine: 'i-2' },
      { at: 300, kind: 'on', task: 'run-1/1', machine: 'i-2' },
    ]);
    observations.advance(5000);
    assert.match(rules.violations.join('\n'), /ran_twice: run-1\/0 on i-2 and i-1/);
    assert.match(rules.violations.join('\n'), /quota: small uses 6 of 4 CPUs/);
  });

  it('capacity of a machine counts as free only if it has been free at several checks in a row', () => {
    const lastingCapacity = new LastingFreeCapacity();
    const freeCapacity = (id: string, cpus: number) => ({
      machine: createMachine(id),
      cpus,
      gpus: 0,
      memoryGb: 8,
    });
    let found: string[] = [];
    for (let check = 0; check < 20; check++)
      found = [
        ...lastingCapacity.sample([freeCapacity('i-1', 4), freeCapacity('i-2', check % 5 === 0 ? 4 : 0)]),
      ].map((free) => `${free.machine.id} ${free.cpus}`);
    assert.deepEqual(found, ['i-1 4', 'i-2 0']);
  });

  it('a job that waits though a machine has lasting free capacity is reported', () => {
    const { rules, observations } = createFixture(4, () => [
      { machine: createMachine('i-1'), cpus: 8, gpus: 0, memoryGb: 8 },
    ]);
    observations.add([{ at: 2, kind: 'over' }]);
    for (let seconds = 2; seconds < 120; seconds++) observations.advance(seconds * 1000);
    assert.match(rules.violations.join('\n'), /left_waiting: run-1/);
  });

  it('a fitted line has the slope and intercept of the points, and a residual that shows how well it fits', () => {
    const straight = fitLine([1, 2, 3].map((x) => ({ x, y: 5 + 2 * x })));
    assert.deepEqual(
      [straight.slope, straight.intercept, straight.residual].map((n) => Math.round(n * 1e9)),
      [2e9, 5e9, 0],
    );
    assert.ok(fitLine([1, 2, 3].map((x) => ({ x, y: x ** 4 }))).residual > 0.2);
  });

  it('teams have the same limits for the same seed, and none is guaranteed more than it may use', () => {
    const demand = {
      workers: 2000,
      teams: 57,
      running: 14_000,
      jobsPerS: 0.4,
      urgentPerS: 0.2,
      waitingJobs: 0,
    };
    assert.deepEqual(teamsFor(demand, 7), teamsFor(demand, 7));
    for (const { name, cpus, cpus_max } of teamsFor(demand, 7))
      assert.ok(cpus_max === 0 || cpus <= cpus_max, name);
  });

  it('a run that exceeds the resources of the machine is rejected with a reason, invalid options with exit code 2', async () => {
    assert.match(findResourceShortage(40_000, 15) ?? '', /processes|MB/);
    const { code, text } = await new Promise<{ code: number | null; text: string }>((resolve) => {
      const child = spawn(process.execPath, [...RUN, '--workers', 'many']);
      let text = '';
      child.stderr.on('data', (chunk) => {
        text += chunk;
      });
      child.once('exit', (code) => resolve({ code, text }));
    });
    assert.equal(code, 2);
    assert.match(text, /a whole number from 10 to 4000 is expected/);
  });

  it('an interrupted experiment ends all processes that it started', async (t) => {
    const child = spawn(process.execPath, [...RUN, '--workers', '20', '--controllers', '2', '--quick'], {
      stdio: 'ignore',
    });
    t.after(() => child.kill('SIGINT'));
    const deadline = Date.now() + 30_000;
    // Expected: two controllers, the services, a host of simulated workers, and the process guard.
    while (descendants(child.pid!).length < 5 && Date.now() < deadline) await sleep(100);
    const started = descendants(child.pid!);
    assert.ok(started.length >= 5, `${started.length} processes`);
    const ended = new Promise<void>((resolve) => child.once('exit', () => resolve()));
    child.kill('SIGINT');
    await ended;
    await sleep(500);
    const alive = started.filter((pid) => {
      try {
        process.kill(pid, 0);
        return !readFileSync(`/proc/${pid}/stat`, 'utf8').includes(') Z ');
      } catch {
        return false;
      }
    });
    assert.deepEqual(alive, []);
  });
});
