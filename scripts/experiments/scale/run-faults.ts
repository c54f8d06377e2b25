// Injects the faults of a run of the scale experiment at their times, and measures how long takeovers take.
import { seededRandom } from '../../../src/runtime/random.ts';
import type { ScaleCluster } from './cluster.ts';
import type { ControllerProcess } from './controller-group.ts';
import type { Figures, Meter } from './measure.ts';
import type { ScaleOperator } from './operator.ts';
import type { ScaleFault } from './run-setup.ts';
import { sleep } from './time.ts';
import type { Users } from './users.ts';
import { ZONES } from './workload.ts';

const TAKEOVER_POLL_INTERVAL_MS = 100;
const TAKEOVER_TIMEOUT_S = 60;

/** Components that faults act on. */
export interface FaultTargets {
  readonly cluster: ScaleCluster;
  readonly users: Users;
  readonly operator: ScaleOperator;
  readonly meter: Meter;
  readonly seed: number;
  readonly onProgress: (line: string) => void;
}

/** Injects the faults of one run. */
export class RunFaults {
  /** Seconds from each loss of a leader until the next one has received heartbeats of all machines. */
  readonly takeoversS: number[] = [];
  /** Figures during the first burst of starts; null if there was none. */
  burstFigures: Figures | null = null;
  private readonly random: ReturnType<typeof seededRandom>;

  constructor(private readonly targets: FaultTargets) {
    this.random = seededRandom(targets.seed + 1);
  }

  /** Injects all faults, and resolves when the last of them is over. */
  async injectAll(faults: readonly ScaleFault[]): Promise<void> {
    const startedAt = performance.now();
    const sleepUntil = (seconds: number): Promise<void> =>
      sleep(Math.max(0, seconds * 1000 - (performance.now() - startedAt)));
    const activeFaults: Promise<void>[] = [];
    let endS = 0;
    for (const fault of [...faults].sort((a, b) => a.atS - b.atS)) {
      await sleepUntil(fault.atS);
      this.targets.onProgress(`fault: ${JSON.stringify(fault)}`);
      activeFaults.push(this.inject(fault));
      endS = Math.max(endS, fault.atS + ('forS' in fault ? fault.forS : 0));
    }
    await Promise.all(activeFaults);
    await sleepUntil(endS);
  }

  private inject(fault: ScaleFault): Promise<void> {
    switch (fault.kind) {
      case 'burst':
        return this.burst(fault.startsPerS, fault.forS);
      case 'owner-ends':
        return this.killLeader();
      case 'all-end':
        return this.killAllControllers();
      case 'freeze-owner':
        return this.freezeLeader(fault.forS);
      case 'outage':
        return this.beginStoreOutage(fault.forS);
      case 'rack':
        return this.loseRack(fault.workers);
      case 'zone-cut':
        return this.cutZone(fault.forS);
      case 'config-burst':
        return this.targets.operator.burst(fault.documents, fault.forS);
      case 'restarts':
        return this.restartWorkers(fault.workers, fault.forS);
    }
  }

  private async burst(startsPerS: number, seconds: number): Promise<void> {
    const { users, meter } = this.targets;
    users.burst(startsPerS, seconds);
    meter.reset();
    await sleep(seconds * 1000);
    this.burstFigures ??= meter.figures();
  }

  private leader(): Promise<ControllerProcess | null> {
    const { controllers } = this.targets.cluster;
    return controllers.leaderOf(controllers.all);
  }

  private async killLeader(): Promise<void> {
    const leader = await this.leader();
    if (leader === null) return;
    this.targets.cluster.controllers.kill(leader);
    await this.measureTakeover();
  }

  private async killAllControllers(): Promise<void> {
    const { controllers } = this.targets.cluster;
    for (const controller of controllers.all) controllers.kill(controller);
    await this.measureTakeover();
  }

  private async freezeLeader(seconds: number): Promise<void> {
    const leader = await this.leader();
    if (leader === null) return;
    this.targets.cluster.controllers.freeze(leader, seconds * 1000);
    await this.measureTakeover(leader);
  }

  private async beginStoreOutage(seconds: number): Promise<void> {
    const { cluster, operator } = this.targets;
    cluster.beginStoreOutage(seconds);
    operator.recordOutage(seconds * 1000);
    await sleep(seconds * 1000);
  }

  private async loseRack(workers: number): Promise<void> {
    const { cluster } = this.targets;
    const zone = this.drawZone();
    const rack = cluster.upMachines.filter((machine) => machine.zone === zone).slice(0, workers);
    cluster.killMachines(rack.map((machine) => machine.id));
  }

  private async cutZone(seconds: number): Promise<void> {
    this.targets.cluster.cutZone(this.drawZone(), seconds * 1000);
    await sleep(seconds * 1000);
  }

  private async restartWorkers(workers: number, seconds: number): Promise<void> {
    const { cluster } = this.targets;
    for (let i = 0; i < workers; i++) {
      const { upMachines } = cluster;
      const machine = upMachines[this.random.below(Math.max(1, upMachines.length))];
      if (machine !== undefined) cluster.restartMachine(machine.id);
      await sleep((seconds * 1000) / workers);
    }
  }

  private drawZone(): string {
    return ZONES[this.random.below(ZONES.length)]!;
  }

  /** Measures the time until another controller is leader and has received heartbeats of all machines. */
  private async measureTakeover(excluded: ControllerProcess | null = null): Promise<void> {
    const { controllers } = this.targets.cluster;
    const startedAt = performance.now();
    while (performance.now() - startedAt < TAKEOVER_TIMEOUT_S * 1000) {
      await sleep(TAKEOVER_POLL_INTERVAL_MS);
      const others = controllers.all.filter((other) => other !== excluded && other.process !== null);
      if ((await controllers.leaderOf(others)) !== null) break;
    }
    this.takeoversS.push((performance.now() - startedAt) / 1000);
  }
}
