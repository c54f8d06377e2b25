// The machines of the fleet experiment: their heartbeats, the tasks that run on them, and the rules that a
// start can break.
import type { SimulationClock } from '../../packages/local-cluster/src/clock.ts';
import type { FakeWorker, RunningTask } from '../../packages/local-cluster/src/fake-worker.ts';
import { Tasks } from '../../packages/local-cluster/src/task-runner.ts';
import type { Heartbeat, HeartbeatResponse } from '../../src/core/base/model.ts';
import type { TaskId, ZoneName } from '../../src/types/index.ts';
import type { Arrival } from './fleet-arrivals.ts';
import type { FleetControllers } from './fleet-controllers.ts';
import { TYPES } from './fleet-days.ts';
import type { FleetJob, FleetJobs } from './fleet-jobs.ts';

/** What the world offers its machines. */
export interface MachineEnvironment extends SimulationClock {
  readonly controllers: FleetControllers;
  readonly jobs: FleetJobs;
  readonly broken: string[];
}

const HEARTBEAT_MS = 1;
/** A task of a cancelled job may start no later than this after its user was told. */
const CANCEL_MS = 49_000;
const GANG_TIMEOUTS = { gangWaitS: 35, gangPeerS: 6 };

/** Carries heartbeats, runs tasks and checks starts. */
export class FleetMachines {
  readonly cutZones = new Set<ZoneName>();
  /** Machines that run tasks slower, by this factor. */
  readonly slowdown = new Map<string, number>();
  /** The machine that each task runs on. */
  readonly machineOf = new Map<TaskId, FakeWorker>();
  private readonly tasks: Tasks;

  constructor(private readonly environment: MachineEnvironment) {
    const noProcesses = { add: () => {} } as never;
    this.tasks = new Tasks(environment, '', noProcesses, { speed: 1, ...GANG_TIMEOUTS });
  }

  /** All tasks that have run. */
  get runs(): Tasks['runs'] {
    return this.tasks.runs;
  }

  /** Says what the tasks of a job are like. */
  describe({ spec, runS }: Arrival): void {
    const { id, kind, tasks, image, imageGb } = spec;
    this.tasks.describe(id, { kind, tasks, image, imageGb, runS, command: null });
  }

  /** Whether the machine is reached over the network. */
  isReachable(worker: FakeWorker): boolean {
    return !this.cutZones.has(worker.zone);
  }

  /** Sends a heartbeat; `onReply` gets null if no response came in time. */
  sendHeartbeat(
    worker: FakeWorker,
    node: string,
    heartbeat: Heartbeat,
    timeoutMs: number,
    onReply: (response: HeartbeatResponse | null) => void,
  ): void {
    const { environment } = this;
    let isOpen = true;
    const finish = (response: HeartbeatResponse | null): void => {
      if (isOpen) onReply(response);
      isOpen = false;
    };
    environment.after(timeoutMs, () => finish(null));
    if (!this.isReachable(worker)) return;
    environment.after(HEARTBEAT_MS, () => {
      if (!environment.controllers.nodes.has(node)) return finish(null);
      environment.controllers.request(
        node,
        (requestId) => ({ kind: 'heartbeat', requestId, heartbeat }),
        (response: HeartbeatResponse) =>
          environment.after(HEARTBEAT_MS, () => {
            if (this.isReachable(worker)) finish(response);
          }),
      );
    });
  }

  /** Runs a task on a machine. */
  launch(
    worker: FakeWorker,
    task: TaskId,
    attempt: number,
    onExit: (reason: 'done') => void,
    onState: (state: 'fetching' | 'waiting' | 'running') => void,
  ): RunningTask {
    const job = this.environment.jobs.ofTask(task);
    const { fetchGbPerS, cacheGb } = TYPES.find((type) => type.name === worker.type)!;
    const machine = { id: worker.id, fetchGbPerS, cacheGb, slow: this.slowdown.get(worker.id) ?? 1 };
    const leave = (): void => {
      if (this.machineOf.get(task) === worker) this.machineOf.delete(task);
    };
    const running = this.tasks.launch(
      machine,
      task,
      attempt,
      (reason) => {
        leave();
        if (reason === 'done') this.environment.jobs.onCompleted(task);
        onExit(reason as 'done');
      },
      (state) => {
        if (state === 'running' && job !== undefined) job.startedAt ??= this.environment.now;
        onState(state);
      },
    );
    return {
      kill: () => {
        leave();
        running.kill();
      },
      stop: (graceS, onStopped) =>
        running.stop(graceS, (isSaved) => {
          leave();
          onStopped(isSaved);
        }),
    };
  }

  /** A task is put on a machine: checks the rules that a start can break. */
  onPlaced(worker: FakeWorker, task: TaskId): void {
    const { now, jobs, broken } = this.environment;
    const report = (fault: string): void =>
      void broken.push(`${(now / 1000).toFixed(1)} ${fault}: ${task} on ${worker.id}`);
    const job = jobs.ofTask(task);
    if (job === undefined) return report('invented');
    const before = this.machineOf.get(task);
    if (before !== undefined && !before.over) report(`ran_twice with ${before.id}`);
    this.machineOf.set(task, worker);
    if (job.cancelledAt !== null && now > job.cancelledAt + CANCEL_MS) report('ran_cancelled');
    for (const fault of this.wrongPlaces(job, worker)) report(fault);
  }

  /** What is wrong about the zone of a task that is on the machine by now. */
  private wrongPlaces({ arrival }: FleetJob, worker: FakeWorker): string[] {
    const { spec } = arrival;
    if (!spec.spread && !spec.oneZone) return [];
    const machines = this.machinesOf(spec.id, spec.tasks);
    const inZone = machines.filter((machine) => machine.zone === worker.zone).length;
    const faults: string[] = [];
    if (spec.spread && inZone > Math.ceil(spec.tasks / 2))
      faults.push(`wrong_place: ${inZone} in ${worker.zone}`);
    if (spec.oneZone)
      for (const machine of machines)
        if (machine.zone !== worker.zone) faults.push(`wrong_place beside ${machine.id}`);
    return faults;
  }

  /** Machines that tasks of a job are on: one for each task. */
  private machinesOf(job: string, tasks: number): FakeWorker[] {
    const machines: FakeWorker[] = [];
    for (let i = 0; i < tasks; i++) {
      const machine = this.machineOf.get(`${job}/${i}` as TaskId);
      if (machine !== undefined && !machine.over) machines.push(machine);
    }
    return machines;
  }
}
