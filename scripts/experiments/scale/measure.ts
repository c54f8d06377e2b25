// What each role of the scale drill costs: processor time, memory, messages, bytes and sockets of its processes, read from
// the kernel's own accounts once a second.
import { readdirSync, readFileSync, readlinkSync } from 'node:fs';
import type { ServiceCounts } from '../../../packages/local-cluster/src/index.ts';
import type { ScaleCluster } from './cluster.ts';
import type { NodeStatus } from './controller-group.ts';

/** Clock ticks a second in /proc. */
const TICKS = 100;
const PAGE_BYTES = 4096;
const SOCKETS_EVERY = 10;

interface Reading {
  at: number;
  cpuS: number;
  rssMb: number;
  reads: number;
  writes: number;
  bytesIn: number;
  bytesOut: number;
}

/** Per second, but for memory and sockets, which are means. */
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

export interface Figures {
  seconds: number;
  owner: RoleFigures;
  /** Mean of the other controllers. */
  others: RoleFigures;
  state: RoleFigures;
  /** Of one worker: the hosts' processes divided by the workers in them. */
  worker: { core: number; mb: number; reportsPerS: number; bytesPerS: number; ioBytesPerS: number };
  stateRequestsPerS: number;
  stateChangesPerS: number;
  stateRefusedPerS: number;
  cloudCallsPerS: number;
  cloudRefusedPerS: number;
  workers: number;
}

function read(pid: number): Reading | null {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
    const f = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    const io = new Map(
      readFileSync(`/proc/${pid}/io`, 'utf8')
        .split('\n')
        .map((l) => l.split(': '))
        .map(([k, v]) => [k, Number(v)] as const),
    );
    return {
      at: performance.now(),
      cpuS: (Number(f[11]) + Number(f[12])) / TICKS,
      rssMb: (Number(f[21]) * PAGE_BYTES) / 1e6,
      reads: io.get('syscr') ?? 0,
      writes: io.get('syscw') ?? 0,
      bytesIn: io.get('rchar') ?? 0,
      bytesOut: io.get('wchar') ?? 0,
    };
  } catch {
    return null;
  }
}

function socketsOf(pid: number): number {
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

const zero = (): RoleFigures => ({
  core: 0,
  rssMb: 0,
  heapMb: 0,
  reads: 0,
  writes: 0,
  bytesIn: 0,
  bytesOut: 0,
  sockets: 0,
});

/** Sums up what processes of one role cost from one reading to the next. */
class Role {
  private readonly sum = zero();
  private n = 0;
  private heaps = 0;
  private socketReadings = 0;
  private readonly last = new Map<number, Reading>();

  add(pid: number, withSockets: boolean, heapMb: number | null): void {
    const now = read(pid);
    if (now === null) return;
    const before = this.last.get(pid);
    this.last.set(pid, now);
    if (before === undefined) return;
    const s = (now.at - before.at) / 1000;
    this.n++;
    this.sum.core += (now.cpuS - before.cpuS) / s;
    this.sum.rssMb += now.rssMb;
    this.sum.reads += (now.reads - before.reads) / s;
    this.sum.writes += (now.writes - before.writes) / s;
    this.sum.bytesIn += (now.bytesIn - before.bytesIn) / s;
    this.sum.bytesOut += (now.bytesOut - before.bytesOut) / s;
    if (heapMb !== null) {
      this.sum.heapMb += heapMb;
      this.heaps++;
    }
    if (withSockets) {
      this.sum.sockets += socketsOf(pid);
      this.socketReadings++;
    }
  }

  /** What changed hands is not carried over to the next holder of the role. */
  forget(pid: number): void {
    this.last.delete(pid);
  }

  mean(): RoleFigures {
    const out = zero();
    const n = Math.max(1, this.n);
    for (const k of Object.keys(out) as (keyof RoleFigures)[]) out[k] = this.sum[k] / n;
    out.heapMb = this.sum.heapMb / Math.max(1, this.heaps);
    out.sockets = this.sum.sockets / Math.max(1, this.socketReadings);
    return out;
  }
}

export class Meter {
  private owner = new Role();
  private others = new Role();
  private state = new Role();
  private hosts = new Role();
  private began = performance.now();
  private readings = 0;
  private workers = 0;
  private services: ServiceCounts | null = null;
  private reports: { n: number; bytes: number } | null = null;
  private lastOwner: number | null = null;

  constructor(private readonly cluster: ScaleCluster) {}

  /** Forgets what was measured so far. */
  begin(): void {
    this.owner = new Role();
    this.others = new Role();
    this.state = new Role();
    this.hosts = new Role();
    this.began = performance.now();
    this.readings = 0;
    this.workers = 0;
    this.services = this.cluster.serviceCounts;
    this.reports = this.hostCounts();
  }

  private hostCounts(): { n: number; bytes: number } {
    const all = this.cluster.hosts.map((h) => h.counts);
    return {
      n: all.reduce((sum, c) => sum + c.reports, 0),
      bytes: all.reduce((sum, c) => sum + c.bytes, 0),
    };
  }

  /** To be called once a second. `statuses`: of the controllers, in their order. */
  sample(statuses: readonly (NodeStatus | null)[]): void {
    const { cluster } = this;
    const withSockets = this.readings++ % SOCKETS_EVERY === 0;
    const owner = statuses.find((s) => s !== null)?.owner ?? null;
    cluster.controllers.all.forEach((c, i) => {
      const pid = c.process?.pid;
      if (pid === undefined) return;
      const owns = c.name === owner;
      if (owns && this.lastOwner !== pid) {
        this.others.forget(pid);
        this.lastOwner = pid;
      }
      (owns ? this.owner : this.others).add(pid, withSockets, statuses[i]?.process?.heapMb ?? null);
    });
    if (cluster.services?.pid !== undefined) this.state.add(cluster.services.pid, withSockets, null);
    for (const h of cluster.hosts)
      if (h.process.pid !== undefined) this.hosts.add(h.process.pid, false, null);
    this.workers += cluster.up.length;
    cluster.askCounts();
  }

  figures(): Figures {
    const seconds = (performance.now() - this.began) / 1000;
    const hosts = this.hosts.mean();
    const n = this.cluster.hosts.length;
    const workers = this.workers / Math.max(1, this.readings);
    const each = (x: number): number => (x * n) / Math.max(1, workers);
    const reports = this.hostCounts();
    const services = this.cluster.serviceCounts;
    const perS = (key: keyof ServiceCounts): number =>
      ((services?.[key] ?? 0) - (this.services?.[key] ?? 0)) / seconds;
    const perWorker = (x: number): number => x / seconds / Math.max(1, workers);
    return {
      seconds,
      owner: this.owner.mean(),
      others: this.others.mean(),
      state: this.state.mean(),
      worker: {
        core: each(hosts.core),
        mb: each(hosts.rssMb),
        reportsPerS: perWorker(reports.n - (this.reports?.n ?? 0)),
        bytesPerS: perWorker(reports.bytes - (this.reports?.bytes ?? 0)),
        ioBytesPerS: each(hosts.bytesIn + hosts.bytesOut),
      },
      stateRequestsPerS: perS('stateRequests'),
      stateChangesPerS: perS('stateChanges'),
      stateRefusedPerS: perS('stateRefused'),
      cloudCallsPerS: perS('cloudCalls'),
      cloudRefusedPerS: perS('cloudRefused'),
      workers,
    };
  }
}
