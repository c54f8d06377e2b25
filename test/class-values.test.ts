// The value of free capacity to the classes of the open jobs: capacity is kept for waiting work that may use it,
// and for no other.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { JobSpec } from '../src/core/base/model.ts';
import type { Job } from '../src/core/jobs/job.ts';
import { capacityOfType } from '../src/core/jobs/task-capacity.ts';
import { CapacityIndex } from '../src/core/machines/capacity-index.ts';
import { MachinePool } from '../src/core/machines/machine.ts';
import { ClassValues } from '../src/core/scheduling/class-values.ts';
import type { Instant, MachineId, MachineTypeName, ZoneName } from '../src/types/index.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';
import { waitingJob } from './support/waiting-job.ts';

const NORTH = 'north' as ZoneName;
const SOUTH = 'south' as ZoneName;
const NOW = 100_000 as Instant;
const [boxType] = new SimulatedWorld().cloud.types;
const machine = { id: 'i-1' as MachineId, type: boxType!, zone: NORTH, spot: false };

const largeJob = (id: string, overrides: Partial<JobSpec> = {}): Job =>
  waitingJob(job(id, { class: 'large', cpus: 8, ...overrides }));

/** The value of an empty machine, in a fleet of two zones with these open jobs. */
function valueOfMachine(source: typeof machine, ...jobs: Job[]): number {
  const capacityIndex = new CapacityIndex();
  for (const zone of [NORTH, SOUTH]) capacityIndex.pools.set(zone, new MachinePool(boxType!, zone, false));
  const values = new ClassValues(new Map([['box' as MachineTypeName, boxType!]]));
  values.refresh({ now: NOW, jobs, capacityIndex, expectedTasks: () => 0, allowedTasks: () => 1 });
  return values.valueOfCapacity(capacityOfType(boxType!), source, 1);
}

const fullValue = valueOfMachine(machine, largeJob('run-1'));

describe('the value of capacity to a class', () => {
  // A small job waited beside a machine that the waiting large job avoided because it had failed there.
  it('is none on a machine that all its waiting jobs avoid, and as before elsewhere', () => {
    const avoiding = largeJob('run-1');
    avoiding.failures.record(machine.id, NOW);
    assert.equal(valueOfMachine(machine, avoiding), 0);
    assert.equal(valueOfMachine({ ...machine, id: 'i-2' as MachineId }, avoiding), fullValue);
    assert.equal(valueOfMachine(machine, avoiding, largeJob('run-2')), fullValue);
  });

  // The same beside a machine while the large job backed off.
  it('is that of expected work only while all its waiting jobs back off', () => {
    const backingOff = largeJob('run-1');
    backingOff.retryAt = (NOW + 1) as Instant;
    assert.ok(valueOfMachine(machine, backingOff) < fullValue);
  });

  // The same beside a machine in a zone that the large job's constraints did not allow.
  it('is none in a zone that none of its waiting jobs may use', () => {
    const inSouth = largeJob('run-1', { zone: SOUTH });
    assert.equal(valueOfMachine(machine, inSouth), 0);
    assert.equal(valueOfMachine({ ...machine, zone: SOUTH }, inSouth), fullValue);
    assert.equal(valueOfMachine(machine, inSouth, largeJob('run-2', { zone: NORTH })), fullValue);
    const begunInSouth = largeJob('run-1', { oneZone: true, tasks: 2 });
    begunInSouth.countInZone(SOUTH, 1);
    assert.equal(valueOfMachine(machine, begunInSouth), 0);
  });
});
