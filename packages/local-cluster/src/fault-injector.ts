// Fault injection in a local cluster, on an operator's command or as scheduled in the options file.
import type { ControllerGroup } from './controller-group.ts';
import { FaultTargetError } from './errors.ts';
import type { LocalMachines } from './local-machines.ts';
import type { Fault } from './options.ts';
import type { OutsideServices } from './outside-services.ts';
import { endGroup } from './process-guard.ts';
import type { RealClock } from './real-clock.ts';

/** Components that faults are injected into. */
export interface FaultTargets {
  readonly clock: RealClock;
  readonly zones: readonly string[];
  readonly controllers: ControllerGroup;
  readonly machines: LocalMachines;
  readonly services: OutsideServices;
}

/** Injects faults; those with a duration end by themselves. */
export class FaultInjector {
  constructor(private readonly targets: FaultTargets) {}

  /**
   * Injects a fault, and returns a sentence that describes the effect. Throws FaultTargetError if the zone
   * that it names does not exist or no matching controller is running.
   */
  inject(fault: Fault): string {
    const { services, clock } = this.targets;
    const { seconds } = fault;
    switch (fault.kind) {
      case 'kill-controller':
        return this.killController(fault);
      case 'freeze-controller':
        return this.freezeController(fault);
      case 'state-outage':
        services.store.outage(seconds);
        return `the state service is down for ${seconds} s`;
      case 'state-silent':
        services.storeSilentUntil = clock.now + durationMs(fault);
        return `the state service loses half of its answers for ${seconds} s`;
      case 'cloud-outage':
        return this.cloudOutage(fault);
      case 'machine-death':
        return this.machineDeath(fault);
      case 'spot-wave':
        return this.spotWave(fault);
      case 'zone-cut':
      case 'zone-hold':
        return this.partitionZone(fault);
      case 'state-late':
        services.storeLateUntil = clock.now + durationMs(fault);
        return `the state service executes late and does not answer, for ${seconds} s`;
    }
  }

  private killController({ name }: Fault): string {
    const controller = this.targets.controllers.pickRunning(name);
    endGroup(controller.process!.pid!);
    return `${controller.name} was killed`;
  }

  private freezeController(fault: Fault): string {
    const controller = this.targets.controllers.pickRunning(fault.name);
    const pid = controller.process!.pid!;
    endGroup(pid, 'SIGSTOP');
    this.targets.clock.after(durationMs(fault), () => {
      if (controller.process?.pid === pid) endGroup(pid, 'SIGCONT');
    });
    return `${controller.name} is stopped for ${fault.seconds} s`;
  }

  private cloudOutage(fault: Fault): string {
    const { cloud } = this.targets.services;
    cloud.down = true;
    this.targets.clock.after(durationMs(fault), () => {
      cloud.down = false;
    });
    return `the cloud is down for ${fault.seconds} s`;
  }

  private machineDeath({ count }: Fault): string {
    const { machines } = this.targets;
    const running = machines.runningWorkers().sort((a, b) => (a.id < b.id ? -1 : 1));
    const terminated = running.slice(0, count);
    for (const worker of terminated) machines.terminate(worker);
    return `${terminated.length} machines are gone`;
  }

  private spotWave(fault: Fault): string {
    const { machines, clock } = this.targets;
    const spotWorkers = machines.runningWorkers().filter((worker) => worker.spot);
    for (const worker of spotWorkers) {
      worker.preemptionNoticeS = fault.seconds;
      clock.after(durationMs(fault), () => machines.terminate(worker));
    }
    return `${spotWorkers.length} spot machines are taken back in ${fault.seconds} s`;
  }

  private partitionZone(fault: Fault): string {
    const { zones, machines } = this.targets;
    const { zone, kind, seconds } = fault;
    if (zone === undefined || !zones.includes(zone))
      throw new FaultTargetError(`there is no zone ${zone}; ${zones.join(', ')}`);
    machines.partition(zone, durationMs(fault), kind === 'zone-hold');
    return `zone ${zone} is cut off for ${seconds} s`;
  }
}

const durationMs = ({ seconds }: Fault): number => seconds * 1000;
