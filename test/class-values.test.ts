// The value of free capacity to the classes of the open jobs: capacity is kept for waiting work that may use it,
// and for no other.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { JobSpec } from '../src/core/base/model.ts';
import { Job } from '../src/core/jobs/job.ts';
import { capacityOfType } from '../src/core/jobs/task-capacity.ts';
import { CapacityIndex } from '../src/core/machines/capacity-index.ts';
import { MachinePool } from '../src/core/machines/machine.ts';
import { ClassValues } from '../src/core/scheduling/class-values.ts';
import type {
  Instant,
  MachineId,
  MachineTypeName,
  Revision,
  WallTime,
  ZoneName,
} from '../src/types/index.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

const NORTH = 'north' as ZoneName;
const SOUTH = 'south' as ZoneName;
const NOW = 100_000 as Instant;
const [boxType] = new SimulatedWorld().cloud.types;
const machine = { id: 'i-1' as MachineId, type: boxType!, zone: NORTH, spot: false };

const waitingJob = (id: string, overrides: Partial<JobSpec> = {}): Job =>
  new Job({
    spec: job(id, { class: 'large', cpus: 8, ...overrides }),
    revision: 1 as Revision,
    acceptedAt: 0 as WallTime,
    seenAt: 0 as Instant,
    mayHaveUnlocatedTasks: false,
  });

/** The value of an empty machine, in a fleet of two zones with these open jobs. */
function valueOfMachine(source: typeof machine, ...jobs: Job[]): number {
  const capacityIndex = new CapacityIndex();
  for (const zone of [NORTH, SOUTH]) capacityIndex.pools.set(zone, new MachinePool(boxType!, zone, false));
  const values = new ClassValues(new Map([['box' as MachineTypeName, boxType!]]));
  values.refresh({ now: NOW, jobs, capacityIndex, expectedTasks: () => 0, allowedTasks: () => 1 });
  return values.valueOfCapacity(capacityOfType(boxType!), source, 1);
}

const fullValue = valueOfMachine(machine, waitingJob('run-1'));

describe('the value of capacity to a class', () => {
  // A small job waited beside a machine that the waiting large job avoided because it had failed there.
  it('is none on a machine that all its waiting jobs avoid, and as before elsewhere', () => {
    const avoiding = waitingJob('run-1');
    avoiding.failures.record(machine.id, NOW);
    assert.equal(valueOfMachine(machine, avoiding), 0);
    assert.equal(valueOfMachine({ ...machine, id: 'i-2' as MachineId }, avoiding), fullValue);
    assert.equal(valueOfMachine(machine, avoiding, waitingJob('run-2')), fullValue);
  });

  // The same beside a machine while the large job backed off.
  it('is that of expected work only while all its waiting jobs back off', () => {
    const backingOff = waitingJob('run-1');
    backingOff.retryAt = (NOW + 1) as Instant;
    assert.ok(valueOfMachine(machine, backingOff) < fullValue);
  });

  // The same beside a machine in a zone that the large job's constraints did not allow.
  it('is none in a zone that none of its waiting jobs may use', () => {
    const inSouth = waitingJob('run-1', { zone: SOUTH });
    assert.equal(valueOfMachine(machine, inSouth), 0);
    assert.equal(valueOfMachine({ ...machine, zone: SOUTH }, inSouth), fullValue);
    assert.equal(valueOfMachine(machine, inSouth, waitingJob('run-2', { zone: NORTH })), fullValue);
    const begunInSouth = waitingJob('run-1', { oneZone: true, tasks: 2 });
    begunInSouth.countInZone(SOUTH, 1);
    assert.equal(valueOfMachine(machine, begunInSouth), 0);
  });
});
