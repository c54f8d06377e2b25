// Running work that gives way to waiting work of a higher priority (PROTOCOL, "Preemption").
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec } from '../src/core/base/model.ts';
import type { JobId, TypeName, ZoneName } from '../src/types/index.ts';
import { job, SimulatedWorld } from './support/simulated-world.ts';

const quiet = (w: SimulatedWorld) => assert.deepEqual(w.broken, []);
const BOX = 'box' as TypeName;
const NORTH = 'north' as ZoneName;
/** Four machines, no more to be had, filled with an array of the lowest priority. */
const full = (over: Partial<JobSpec> = {}): SimulatedWorld => {
  const w = new SimulatedWorld();
  w.cloud.capacity = 0;
  w.runS = 400;
  for (let i = 0; i < 4; i++) w.machine(`i-${900_000 + i}` as never, BOX, NORTH, false).boot();
  w.submit(
    job('run-0', {
      class: 'bulk',
      tasks: 16,
      priority: 1,
      checkpointIntervalS: 10,
      checkpointDurationS: 2,
      estimatedRunS: 400,
      ...over,
    }),
  );
  assert.ok(w.until(() => w.holders('run-0').length === 4, 20));
  w.run(35);
  return w;
};
const stops = (w: SimulatedWorld) => [...w.workers.values()].flatMap((x) => x.stops);
const live = (w: SimulatedWorld, id: string): number =>
  [...w.workers.values()].reduce((n, x) => n + x.live().filter((t) => t.job === id).length, 0);

test('tasks that save give way to a service of a higher priority, as many as it needs, and go on elsewhere later', () => {
  const w = full();
  w.submit(job('run-1', { class: 'watch', kind: 'service', tasks: 3, priority: 3 }));
  assert.ok(w.until(() => live(w, 'run-1') === 3, 15));
  assert.equal(stops(w).length, 3);
  assert.ok(stops(w).every((s) => s.graceS >= 2 && s.task.startsWith('run-0/')));
  w.insist({ op: 'cancel', id: 'run-1' as JobId });
  assert.ok(w.until(() => live(w, 'run-0') === 16, 30));
  quiet(w);
});

test('nothing gives way to work of the same priority, to what is urgent when it cannot save, or when it has only begun', () => {
  const same = full();
  same.submit(job('run-1', { class: 'watch', kind: 'service', tasks: 3, priority: 1 }));
  same.run(15);
  assert.equal(stops(same).length, 0);
  const unsaved = full({ checkpointIntervalS: 0 });
  unsaved.submit(job('run-1', { class: 'watch', kind: 'service', tasks: 3, priority: 3 }));
  unsaved.run(15);
  assert.equal(stops(unsaved).length, 0);
});

test('a task gives way twice and no more, however long urgent work goes on coming', () => {
  const w = full({ tasks: 4, cpus: 8 });
  for (let i = 1; i < 5; i++) {
    w.submit(job(`run-${i}`, { class: 'watch', kind: 'service', tasks: 4, priority: 3, cpus: 8 }));
    w.run(45);
    w.insist({ op: 'cancel', id: `run-${i}` as JobId });
    w.run(45);
  }
  const times = new Map<string, number>();
  for (const l of w.logs) {
    const task = /task preempted .*"task":"([^"]+)"/.exec(l)?.[1];
    if (task !== undefined) times.set(task, (times.get(task) ?? 0) + 1);
  }
  assert.equal(Math.max(...times.values()), 2);
  quiet(w);
});

test('an owner that ends while tasks give way leaves nothing running twice, and the urgent work starts', () => {
  for (const after of [0.3, 1.2, 2.5]) {
    const w = full();
    w.submit(job('run-1', { class: 'watch', kind: 'service', tasks: 4, priority: 3 }));
    w.run(1.6 + after);
    const { owner } = w;
    w.crash(owner!);
    w.run(0.3);
    w.start(owner!);
    assert.ok(
      w.until(() => live(w, 'run-1') === 4, 60),
      `${after}`,
    );
    quiet(w);
  }
});

test('room made for a spread service is never more than its part of a zone', () => {
  const w = full();
  w.submit(job('run-1', { class: 'watch', kind: 'service', tasks: 2, priority: 3, spread: true }));
  w.run(25);
  // All machines are in one zone, and half of two is one.
  assert.equal(live(w, 'run-1'), 1);
  quiet(w);
});
