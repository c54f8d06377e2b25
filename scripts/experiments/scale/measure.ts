// Measures the cost of each role of the scale experiment: processor time, memory, reads, writes, bytes and
// sockets of its processes, read from /proc once a second.
import { readdirSync, readFileSync, readlinkSync } from 'node:fs';
import type { ServiceCounts } from '../../../packages/local-cluster/src/index.ts';
import type { ScaleCluster } from './cluster.ts';
import type { NodeStatus } from './controller-group.ts';

/** Clock ticks per second in /proc. */
const TICKS_PER_S = 100;
const PAGE_BYTES = 4096;
/** Sockets are counted at every tenth sample only, as that reads one link for each open file. */
const SOCKET_COUNT_INTERVAL_SAMPLES = 10;

/** Counters of a process at one moment. */
interface Reading {
  atMs: number;
  cpuS: number;
  rssMb: number;
  reads: number;
  writes: number;
  bytesIn: number;
  bytesOut: number;
}

/** Mean cost of one process of a role: rates per second, and absolute values for memory and sockets. */
export interface RoleFigures {
  core: number;
  rssMb: number;
  heapMb: number;
  reads: number;
  writes: number;
  bytesIn: number;
  bytesOut: number;
  sockets: number;
}

/** Cost of all roles in one measurement. */
export interface Figures {
  seconds: number;
  /** The leader. */
  owner: RoleFigures;
  /** The mean of the other controllers. */
  others: RoleFigures;
  /** The process with the key-value store and the cloud. */
  state: RoleFigures;
  /** Per worker: the cost of the host processes divided by the number of workers in them. */
  worker: { core: number; mb: number; reportsPerS: number; bytesPerS: number; ioBytesPerS: number };
  stateRequestsPerS: number;
  stateChangesPerS: number;
  stateRefusedPerS: number;
  cloudCallsPerS: number;
  cloudRefusedPerS: number;
  workers: number;
}

/** Reads the counters of a process; null if it has ended. */
function readProcess(pid: number): Reading | null {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
    // The fields after the name of the program; the first of them is field 3 in proc(5).
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    const io = new Map(
      readFileSync(`/proc/${pid}/io`, 'utf8')
        .split('\n')
        .map((line) => line.split(': '))
        .map(([name, value]) => [name, Number(value)] as const),
    );
    return {
      atMs: performance.now(),
      cpuS: (Number(fields[11]) + Number(fields[12])) / TICKS_PER_S,
      rssMb: (Number(fields[21]) * PAGE_BYTES) / 1e6,
      reads: io.get('syscr') ?? 0,
      writes: io.get('syscw') ?? 0,
      bytesIn: io.get('rchar') ?? 0,
      bytesOut: io.get('wchar') ?? 0,
    };
  } catch {
    return null;
  }
}

function countSockets(pid: number): number {
  try {
    const dir = `/proc/${pid}/fd`;
    return readdirSync(dir).filter((fd) => {
      try {
        return readlinkSync(`${dir}/${fd}`).startsWith('socket:');
      } catch {
        return false;
      }
    }).length;
  } catch {
    return 0;
  }
}

const zeroFigures = (): RoleFigures => ({
  core: 0,
  rssMb: 0,
  heapMb: 0,
  reads: 0,
  writes: 0,
  bytesIn: 0,
  bytesOut: 0,
  sockets: 0,
});

/** Sums the cost of the processes of one role between consecutive readings. */
class RoleTotals {
  private readonly sum = zeroFigures();
  private readingCount = 0;
  private heapReadings = 0;
  private socketReadings = 0;
  private readonly lastReadings = new Map<number, Reading>();

  /** Reads a process that currently has the role. */
  add(pid: number, withSockets: boolean, heapMb: number | null): void {
    const current = readProcess(pid);
    if (current === null) return;
    const previous = this.lastReadings.get(pid);
    this.lastReadings.set(pid, current);
    if (previous === undefined) return;
    const seconds = (current.atMs - previous.atMs) / 1000;
    this.readingCount++;
    this.sum.core += (current.cpuS - previous.cpuS) / seconds;
    this.sum.rssMb += current.rssMb;
    this.sum.reads += (current.reads - previous.reads) / seconds;
    this.sum.writes += (current.writes - previous.writes) / seconds;
    this.sum.bytesIn += (current.bytesIn - previous.bytesIn) / seconds;
    this.sum.bytesOut += (current.bytesOut - previous.bytesOut) / seconds;
    if (heapMb !== null) {
      this.sum.heapMb += heapMb;
      this.heapReadings++;
    }
    if (withSockets) {
      this.sum.sockets += countSockets(pid);
      this.socketReadings++;
    }
  }

  /** Called when the process changes its role: its cost since the last reading counts for neither role. */
  dropLastReading(pid: number): void {
    this.lastReadings.delete(pid);
  }

  /** The mean of all readings. */
  mean(): RoleFigures {
    const mean = zeroFigures();
    const readings = Math.max(1, this.readingCount);
    for (const figure of Object.keys(mean) as (keyof RoleFigures)[])
      mean[figure] = this.sum[figure] / readings;
    mean.heapMb = this.sum.heapMb / Math.max(1, this.heapReadings);
    mean.sockets = this.sum.sockets / Math.max(1, this.socketReadings);
    return mean;
  }
}

/** Number of heartbeats that workers have sent, and bytes of heartbeats and responses. */
interface HeartbeatCounts {
  sent: number;
  bytes: number;
}

/** Measures the processes of a cluster by role. */
export class Meter {
  private leaderTotals = new RoleTotals();
  private othersTotals = new RoleTotals();
  private servicesTotals = new RoleTotals();
  private hostsTotals = new RoleTotals();
  private startedAt = performance.now();
  private sampleCount = 0;
  private workerSum = 0;
  private servicesAtStart: ServiceCounts | null = null;
  private heartbeatsAtStart: HeartbeatCounts | null = null;
  /** The process id of the last known leader. */
  private lastLeaderPid: number | null = null;

  constructor(private readonly cluster: ScaleCluster) {}

  /** Discards all measurements and starts a new one. */
  reset(): void {
    this.leaderTotals = new RoleTotals();
    this.othersTotals = new RoleTotals();
    this.servicesTotals = new RoleTotals();
    this.hostsTotals = new RoleTotals();
    this.startedAt = performance.now();
    this.sampleCount = 0;
    this.workerSum = 0;
    this.servicesAtStart = this.cluster.serviceCounts;
    this.heartbeatsAtStart = this.heartbeatCounts();
  }

  private heartbeatCounts(): HeartbeatCounts {
    const all = this.cluster.hosts.map((host) => host.counts);
    return {
      sent: all.reduce((sum, counts) => sum + counts.heartbeats, 0),
      bytes: all.reduce((sum, counts) => sum + counts.bytes, 0),
    };
  }

  /** Takes a sample; called once a second with the statuses of all controllers, in the order of the group. */
  sample(statuses: readonly (NodeStatus | null)[]): void {
    const { cluster } = this;
    const withSockets = this.sampleCount++ % SOCKET_COUNT_INTERVAL_SAMPLES === 0;
    const leader = statuses.find((status) => status !== null)?.owner ?? null;
    cluster.controllers.all.forEach((controller, i) => {
      const pid = controller.process?.pid;
      if (pid === undefined) return;
      const role = this.roleOf(pid, controller.name === leader);
      role.add(pid, withSockets, statuses[i]?.process?.heapMb ?? null);
    });
    if (cluster.services?.pid !== undefined) this.servicesTotals.add(cluster.services.pid, withSockets, null);
    for (const { process: child } of cluster.hosts)
      if (child.pid !== undefined) this.hostsTotals.add(child.pid, false, null);
    this.workerSum += cluster.upMachines.length;
    cluster.requestCounts();
  }

  /** Cost of all roles since the last reset. */
  figures(): Figures {
    const seconds = (performance.now() - this.startedAt) / 1000;
    const workers = this.workerSum / Math.max(1, this.sampleCount);
    const { serviceCounts } = this.cluster;
    const perS = (count: keyof ServiceCounts): number =>
      ((serviceCounts?.[count] ?? 0) - (this.servicesAtStart?.[count] ?? 0)) / seconds;
    return {
      seconds,
      owner: this.leaderTotals.mean(),
      others: this.othersTotals.mean(),
      state: this.servicesTotals.mean(),
      worker: this.workerFigures(workers, seconds),
      stateRequestsPerS: perS('stateRequests'),
      stateChangesPerS: perS('stateChanges'),
      stateRefusedPerS: perS('stateRefused'),
      cloudCallsPerS: perS('cloudCalls'),
      cloudRefusedPerS: perS('cloudRefused'),
      workers,
    };
  }

  private roleOf(pid: number, isLeader: boolean): RoleTotals {
    if (!isLeader) return this.othersTotals;
    if (this.lastLeaderPid !== pid) {
      this.othersTotals.dropLastReading(pid);
      this.lastLeaderPid = pid;
    }
    return this.leaderTotals;
  }

  private workerFigures(workers: number, seconds: number): Figures['worker'] {
    const host = this.hostsTotals.mean();
    const heartbeats = this.heartbeatCounts();
    const perWorker = (perHost: number): number =>
      (perHost * this.cluster.hosts.length) / Math.max(1, workers);
    const perS = (total: number): number => total / seconds / Math.max(1, workers);
    return {
      core: perWorker(host.core),
      mb: perWorker(host.rssMb),
      reportsPerS: perS(heartbeats.sent - (this.heartbeatsAtStart?.sent ?? 0)),
      bytesPerS: perS(heartbeats.bytes - (this.heartbeatsAtStart?.bytes ?? 0)),
      ioBytesPerS: perWorker(host.bytesIn + host.bytesOut),
    };
  }
}
