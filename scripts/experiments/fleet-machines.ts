// Simulates the machines of the fleet experiment: carries their heartbeats, runs their tasks, and checks the
// rules that the start of a task can break.
import type { SimulationClock } from '../../packages/local-cluster/src/clock.ts';
import type { FakeWorker, RunningTask } from '../../packages/local-cluster/src/fake-worker.ts';
import { Tasks } from '../../packages/local-cluster/src/task-runner.ts';
import type { Heartbeat, HeartbeatResponse } from '../../src/core/base/model.ts';
import type { TaskId, ZoneName } from '../../src/types/index.ts';
import type { Uint64 } from '../../src/types/uint64.ts';
import type { Arrival } from './fleet-arrivals.ts';
import type { FleetControllers } from './fleet-controllers.ts';
import { TYPES } from './fleet-days.ts';
import type { FleetJob, FleetJobs } from './fleet-jobs.ts';

/** The simulated surroundings of the machines. */
export interface MachineEnvironment extends SimulationClock {
  readonly controllers: FleetControllers;
  readonly jobs: FleetJobs;
  readonly violations: string[];
}

const NETWORK_DELAY_MS = 1;
/** Time after the confirmation of a cancellation in which tasks of the job may still start. */
const CANCEL_DEADLINE_MS = 49_000;
const GANG_TIMEOUTS = { gangWaitS: 35, gangPeerS: 6 };

/** Carries heartbeats, runs tasks and checks their starts. */
export class FleetMachines {
  readonly cutZones = new Set<ZoneName>();
  /** Factors by which slowed-down machines run tasks longer, by machine id. */
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

  /** Registers the properties of a job's tasks with the task runner. */
  describe({ spec, runS }: Arrival): void {
    const { id, kind, tasks, image, imageGb } = spec;
    this.tasks.describe(id, { kind, tasks, image, imageGb, runS, command: null });
  }

  /** Whether the machine can be reached over the network. */
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
    let isPending = true;
    const finish = (response: HeartbeatResponse | null): void => {
      if (isPending) onReply(response);
      isPending = false;
    };
    environment.after(timeoutMs, () => finish(null));
    if (!this.isReachable(worker)) return;
    environment.after(NETWORK_DELAY_MS, () => {
      if (!environment.controllers.nodes.has(node)) return finish(null);
      environment.controllers.request(
        node,
        (requestId) => ({ kind: 'heartbeat', requestId, heartbeat }),
        (response: HeartbeatResponse) =>
          environment.after(NETWORK_DELAY_MS, () => {
            if (this.isReachable(worker)) finish(response);
          }),
      );
    });
  }

  /** Runs a task on a machine. */
  launch(
    worker: FakeWorker,
    task: TaskId,
    attempt: Uint64,
    onExit: (reason: 'done') => void,
    onState: (state: 'fetching' | 'waiting' | 'running') => void,
  ): RunningTask {
    const job = this.environment.jobs.ofTask(task);
    const { fetchGbPerS, cacheGb } = TYPES.find((type) => type.name === worker.type)!;
    const machine = { id: worker.id, fetchGbPerS, cacheGb, slow: this.slowdown.get(worker.id) ?? 1 };
    const removeTask = (): void => {
      if (this.machineOf.get(task) === worker) this.machineOf.delete(task);
    };
    const running = this.tasks.launch(
      machine,
      task,
      attempt,
      (reason) => {
        removeTask();
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
        removeTask();
        running.kill();
      },
      stop: (graceS, onStopped) =>
        running.stop(graceS, (isSaved) => {
          removeTask();
          onStopped(isSaved);
        }),
    };
  }

  /** Checks the rules that the start of a task on a machine can break. */
  onPlaced(worker: FakeWorker, task: TaskId): void {
    const { now, jobs, violations } = this.environment;
    const report = (violation: string): void =>
      void violations.push(`${(now / 1000).toFixed(1)} ${violation}: ${task} on ${worker.id}`);
    const job = jobs.ofTask(task);
    if (job === undefined) return report('invented');
    const previous = this.machineOf.get(task);
    if (previous !== undefined && !previous.isTerminatedOrExpired) report(`ran_twice with ${previous.id}`);
    this.machineOf.set(task, worker);
    if (job.cancelledAt !== null && now > job.cancelledAt + CANCEL_DEADLINE_MS) report('ran_cancelled');
    for (const violation of this.zoneViolations(job, worker)) report(violation);
  }

  /** Violations of the job's zone rules by a task that was just put on the machine. */
  private zoneViolations({ arrival }: FleetJob, worker: FakeWorker): string[] {
    const { spec } = arrival;
    if (!spec.spread && !spec.oneZone) return [];
    const machines = this.machinesOf(spec.id, spec.tasks);
    const inZone = machines.filter((machine) => machine.zone === worker.zone).length;
    const violations: string[] = [];
    if (spec.spread && inZone > Math.ceil(spec.tasks / 2))
      violations.push(`wrong_place: ${inZone} in ${worker.zone}`);
    if (spec.oneZone)
      for (const machine of machines)
        if (machine.zone !== worker.zone) violations.push(`wrong_place beside ${machine.id}`);
    return violations;
  }

  /** The machines that run tasks of a job, one for each running task. */
  private machinesOf(job: string, tasks: number): FakeWorker[] {
    const machines: FakeWorker[] = [];
    for (let i = 0; i < tasks; i++) {
      const machine = this.machineOf.get(`${job}/${i}` as TaskId);
      if (machine !== undefined && !machine.isTerminatedOrExpired) machines.push(machine);
    }
    return machines;
  }
}
