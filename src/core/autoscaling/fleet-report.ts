// Periodically logs the composition of the fleet and its workload, for operators.
import { addMs, type Instant, LONG_AGO, type Millis } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { JobTable } from '../jobs/job-table.ts';
import type { MachineTable } from '../machines/machine-table.ts';

const REPORT_INTERVAL_MS: Millis = 10_000;

interface MachineCounts {
  machines: number;
  booting: number;
  idle: number;
  /** CPUs in use, as a number of whole machines; `busyByGpu`: the same for GPUs. */
  busyByCpu: number;
  busyByGpu: number;
}

interface WorkCounts {
  jobs: number;
  waiting: number;
  queued: number;
  assigned: number;
}

/** Logs the report. */
export class FleetReport {
  private nextReportAt: Instant = LONG_AGO;

  constructor(
    private readonly io: ControllerIo,
    private readonly jobs: JobTable,
    private readonly machines: MachineTable,
  ) {}

  /** Logs the report when the interval has passed. */
  tick(): void {
    if (this.io.now < this.nextReportAt) return;
    this.nextReportAt = addMs(this.io.now, REPORT_INTERVAL_MS);
    const fleet = Object.fromEntries(
      [...this.countMachines()].map(([kind, counts]) => [kind, describeMachines(counts)]),
    );
    const work = Object.fromEntries(
      [...this.countWork()].map(([name, counts]) => [name, describeWork(counts)]),
    );
    this.io.log('debug', 'fleet and workload (work: jobs, tasks waiting, tasks queued, tasks on machines)', {
      fleet,
      work,
    });
  }

  private countMachines(): Map<string, MachineCounts> {
    const countsByKind = new Map<string, MachineCounts>();
    for (const machine of this.machines.byId.values()) {
      const { type } = machine;
      const kind = `${type.name}/${machine.spot ? 'spot' : 'ordinary'}`;
      const counts = countsByKind.get(kind) ?? {
        machines: 0,
        booting: 0,
        idle: 0,
        busyByCpu: 0,
        busyByGpu: 0,
      };
      countsByKind.set(kind, counts);
      counts.machines++;
      if (!machine.isUp) counts.booting++;
      else if (machine.isEmpty) counts.idle++;
      counts.busyByCpu += machine.usedCpus / type.cpus;
      counts.busyByGpu += type.gpus > 0 ? machine.usedGpus / type.gpus : 0;
    }
    return countsByKind;
  }

  private countWork(): Map<string, WorkCounts> {
    const countsByClass = new Map<string, WorkCounts>();
    for (const job of this.jobs.openJobs.values()) {
      const counts = countsByClass.get(job.spec.class) ?? { jobs: 0, waiting: 0, queued: 0, assigned: 0 };
      countsByClass.set(job.spec.class, counts);
      counts.jobs++;
      counts.waiting += job.waitingTasks;
      counts.queued += job.queuedTasks;
      counts.assigned += job.assignedTasks;
    }
    return countsByClass;
  }
}

const describeMachines = ({ machines, booting, idle, busyByCpu, busyByGpu }: MachineCounts): string =>
  `${machines} (${booting} booting, ${idle} idle), busy ${busyByCpu.toFixed(1)} by CPU, ${busyByGpu.toFixed(1)} by GPU`;

const describeWork = ({ jobs, waiting, queued, assigned }: WorkCounts): string =>
  `${jobs} ${waiting} ${queued} ${assigned}`;
