// The simulated world of the fleet experiment: runs the core with fakes of its surroundings on a simulated
// clock, without processes or sockets. It checks the users' rules while it runs, and records the outcome of
// each job and the share of each team.
import { FakeCloud } from '../../packages/local-cluster/src/fake-cloud.ts';
import { FakeStore } from '../../packages/local-cluster/src/fake-store.ts';
import {
  FakeWorker,
  type RunningTask,
  type WorkerEnvironment,
} from '../../packages/local-cluster/src/fake-worker.ts';
import type { Random } from '../../src/core/base/io.ts';
import type { Heartbeat, HeartbeatResponse } from '../../src/core/base/model.ts';
import type { MachineId, MachineTypeName, TaskId, ZoneName } from '../../src/types/index.ts';
import type { Uint64 } from '../../src/types/uint64.ts';
import { EventQueue } from '../../test/support/event-queue.ts';
import { type Arrival, arrivals } from './fleet-arrivals.ts';
import { type ControllerEnvironment, FleetControllers, NODES } from './fleet-controllers.ts';
import {
  type Day,
  type DayFault,
  HEARTBEAT_INTERVAL_MS,
  LEASE_MS,
  machinesToRent,
  TYPES,
  ZONES,
} from './fleet-days.ts';
import { FleetFairness } from './fleet-fairness.ts';
import { FleetJobs, type JobEnvironment } from './fleet-jobs.ts';
import { FleetMachines, type MachineEnvironment } from './fleet-machines.ts';
import { jainIndex, outcomesBy, workFigures } from './fleet-outcome.ts';
import type { Library, Outcome, Setup } from './fleet-types.ts';

/** Delay between the starts of successive controllers. */
const START_INTERVAL_MS = 7;
const FIRST_ARRIVAL_MS = 2000;
const SAMPLE_INTERVAL_MS = 5000;
const RETRY_DELAY_MS = 1000;
/** Time after which a crashed controller is restarted. */
const RESTART_DELAY_MS = 6000;

type Environment = WorkerEnvironment & ControllerEnvironment & JobEnvironment & MachineEnvironment;

/** Runs one day. */
export class FleetWorld implements Environment {
  /** The simulated time, in milliseconds. */
  now = 0;
  private readonly events = new EventQueue();
  readonly reportMs = HEARTBEAT_INTERVAL_MS;
  readonly leaseMs = LEASE_MS;
  readonly nodeNames = NODES;
  readonly workers = new Map<string, FakeWorker>();
  readonly state = new FakeStore(this);
  readonly cloud = new FakeCloud(this);
  readonly violations: string[] = [];
  readonly random: Random;
  readonly controllers: FleetControllers;
  readonly jobs = new FleetJobs(this);
  readonly machines = new FleetMachines(this);
  private readonly fairness: FleetFairness;
  /** All machines rented since the start, including released ones. */
  private readonly rented: FakeWorker[] = [];

  constructor(
    library: Library,
    day: Day,
    private readonly setup: Setup,
  ) {
    const { machines, teams, seed, arriveS } = setup;
    this.random = library.seededRandom(seed);
    this.controllers = new FleetControllers(this, library, setup);
    this.fairness = new FleetFairness(this, arriveS * 1000);
    this.cloud.types = structuredClone(TYPES);
    this.cloud.capacityOf = (type, zone) => machinesToRent(machines, type, zone);
    this.cloud.bootMs = (type) =>
      TYPES.find((candidate) => candidate.name === type)!.bootS * (700 + this.random.below(600));
    NODES.forEach((name, i) => {
      this.after(i * START_INTERVAL_MS, () => this.controllers.start(name));
    });
    for (const arrival of arrivals(day, machines, teams, arriveS, this.random))
      this.events.add(FIRST_ARRIVAL_MS + arrival.atS * 1000, () => this.arrive(arrival));
    for (const fault of day.faults) this.events.add(fault.atS * 1000, () => this.inject(fault));
  }

  /** Schedules `run` to be called `ms` milliseconds from now. */
  after(ms: number, run: () => void): void {
    this.events.add(this.now + ms, run);
  }

  /** Runs the day to its end. */
  play(): Outcome {
    const end = (this.setup.arriveS + this.setup.drainS) * 1000;
    this.after(SAMPLE_INTERVAL_MS, () => this.sample());
    const cpuAtStart = process.cpuUsage();
    for (let event = this.events.next(end); event !== null; event = this.events.next(end)) {
      this.now = Math.max(this.now, event.at);
      event.run();
    }
    const used = process.cpuUsage(cpuAtStart);
    return this.outcome((used.user + used.system) / 1e6);
  }

  // ---- machines

  createMachine(id: string, type: MachineTypeName, zone: ZoneName, spot: boolean): FakeWorker {
    const firstNode = this.random.below(NODES.length);
    const worker = new FakeWorker({
      environment: this,
      id: id as MachineId,
      type,
      zone,
      spot,
      firstNodeIndex: firstNode,
    });
    this.workers.set(id, worker);
    this.rented.push(worker);
    return worker;
  }

  sendHeartbeat(
    worker: FakeWorker,
    node: string,
    heartbeat: Heartbeat,
    timeoutMs: number,
    onReply: (response: HeartbeatResponse | null) => void,
  ): void {
    this.machines.sendHeartbeat(worker, node, heartbeat, timeoutMs, onReply);
  }

  launch(
    worker: FakeWorker,
    task: TaskId,
    attempt: Uint64,
    onExit: (reason: 'done') => void,
    onState: (state: 'fetching' | 'waiting' | 'running') => void,
  ): RunningTask {
    return this.machines.launch(worker, task, attempt, onExit, onState);
  }

  onTaskPlaced(worker: FakeWorker, task: TaskId): void {
    this.machines.onPlaced(worker, task);
  }

  onMachineTerminated(): void {}

  isReachable(worker: FakeWorker): boolean {
    return this.machines.isReachable(worker);
  }

  // ---- the day

  private arrive(arrival: Arrival): void {
    this.machines.describe(arrival);
    this.jobs.arrive(arrival);
  }

  private inject(fault: DayFault): void {
    switch (fault.kind) {
      case 'leader-crash':
        return this.crashLeader();
      case 'store-outage':
        return this.state.outage(fault.forS);
      case 'zone-cut':
        return this.cutZone(ZONES[fault.zone]!, fault.forS);
      default:
        return this.injectMachineFault(fault);
    }
  }

  private crashLeader(): void {
    const leader = this.controllers.leader;
    if (leader === null) return this.after(RETRY_DELAY_MS, () => this.crashLeader());
    this.controllers.crash(leader);
    this.after(RESTART_DELAY_MS, () => this.controllers.start(leader));
  }

  private cutZone(zone: ZoneName, seconds: number): void {
    this.machines.cutZones.add(zone);
    this.after(seconds * 1000, () => this.machines.cutZones.delete(zone));
  }

  private injectMachineFault(fault: Extract<DayFault, { fraction: number }>): void {
    const running = [...this.workers.values()].filter((worker) => worker.up && !worker.isTerminated);
    const count = Math.min(running.length, Math.round(running.length * fault.fraction));
    for (let i = 0; i < count; i++) {
      const [worker] = running.splice(this.random.below(running.length), 1);
      if (fault.kind === 'crash') worker!.terminate();
      else if (fault.kind === 'hang') worker!.hang(fault.forS * 1000);
      else this.machines.slowdown.set(worker!.id, fault.factor);
    }
  }

  private sample(): void {
    this.after(SAMPLE_INTERVAL_MS, () => this.sample());
    this.fairness.sample();
  }

  private outcome(cpuS: number): Outcome {
    const { jobs, now } = this;
    const teams = outcomesBy(jobs, (spec) => spec.team, now);
    return {
      classes: outcomesBy(jobs, (spec) => spec.class, now),
      teams,
      fair: this.fairness.meanShares(),
      jain: jainIndex(teams),
      ...workFigures(this.machines, jobs, now),
      killedByLease: this.rented.reduce((total, worker) => total + worker.lostByLease, 0),
      broken: this.violations,
      cpuS,
    };
  }
}
