// A simulated world whose store and machines have counted far, and whose messages are encoded as on the wire.
import type { Revision, TaskId } from '../../src/types/index.ts';
import { toUint64, type Uint64 } from '../../src/types/uint64.ts';
import type { SimulatedWorld } from './simulated-world.ts';
import { wireTransport } from './transport.ts';

/** First agent epoch and heartbeat number of each machine. */
const MACHINE_COUNT = 2n ** 63n;

/** A start of a task on a machine. */
export interface Start {
  task: TaskId;
  attempt: Uint64;
  /** The leader's term; 0 if there is none at that time. */
  term: Uint64;
}

/**
 * Has the world's store count from this revision on, and its machines from 2^63; to be called before the world
 * runs. Returns the starts of tasks, to which later ones are added.
 */
export function countFrom(world: SimulatedWorld, firstRevision: bigint): Start[] {
  world.transport = wireTransport;
  world.state.restore(toUint64(firstRevision) as Revision, [], []);
  const createMachine = world.createMachine.bind(world);
  world.createMachine = (...args) => {
    const worker = createMachine(...args);
    worker.agentEpoch = MACHINE_COUNT;
    worker.seq = MACHINE_COUNT;
    return worker;
  };
  const starts: Start[] = [];
  const launch = world.launch.bind(world);
  world.launch = (worker, task, attempt, onExit, onState) => {
    starts.push({ task, attempt, term: world.recordedLeader?.term ?? 0 });
    return launch(worker, task, attempt, onExit, onState);
  };
  return starts;
}

/** The first start whose attempt is out of range or not above the one before of its task; null if there is none. */
export function findFallingAttempt(starts: readonly Start[]): string | null {
  const last = new Map<TaskId, Uint64>();
  for (const { task, attempt } of starts) {
    const previous = last.get(task) ?? 0;
    if (attempt <= previous || attempt >= 2n ** 64n)
      return `${task} is started as attempt ${attempt} after attempt ${previous}`;
    last.set(task, attempt);
  }
  return null;
}
