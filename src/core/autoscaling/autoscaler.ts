// Renting and returning machines: what waits is packed onto what is there or coming; what does not fit is rented.
import {
  addMs,
  type Instant,
  LONG_AGO,
  type MachineId,
  NEVER,
  type Revision,
  type TeamName,
  type TypeName,
  type ZoneName,
} from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { CloudReply, MachineType, Settings } from '../base/model.ts';
import { TokenBucket } from '../base/token-bucket.ts';
import type { Job } from '../jobs/job.ts';
import type { JobOrdering, RuntimeEstimates } from '../jobs/job-ordering.ts';
import type { JobTable } from '../jobs/job-table.ts';
import { isGang, mayRunOnType, tasksPerMachine } from '../jobs/placement-constraints.ts';
import type { PendingCapacity } from '../machines/capacity-index.ts';
import type { Machine } from '../machines/machine.ts';
import type { MachineTable } from '../machines/machine-table.ts';
import type { Quota, TeamUsage } from '../teams/quota.ts';
import { CapacitySupply, emptyMachine, freeCapacityOf, offerKey, placeOn } from './capacity-supply.ts';
import { CloudInventory } from './cloud-inventory.ts';
import { readyTimeS, SpareCapacity } from './spare-capacity.ts';

interface Request {
  name: string;
  type: MachineType;
  zone: ZoneName;
  spot: boolean;
  count: number;
  sentAt: Instant;
  inFlight: boolean;
  retryAt: Instant;
}

interface Offer {
  type: MachineType;
  zone: ZoneName;
  spot: boolean;
  /** An hour of it, for each task that it holds. */
  cost: number;
}

const PLAN_MS = 500;
/** A plan looks at every machine once: so many a second at most, however many there are. */
const PLAN_MS_PER_MACHINE = 0.25;
/**
 * The cloud rents this many at a time; and of one offer, so many requests are made in one plan. Of what was refused last
 * time one request finds out whether there is more.
 */
const RENT_MAX = 50;
const RELEASE_MAX = 100;
const REQUESTS_AN_OFFER = 8;
/** A refusal for want of machines holds for this long. */
const REFUSED_MS = 15_000;
const REFUSED_MAX_MS = 60_000;
/** A call returns up to a hundred machines: what falls idle within this time shares one. */
const RELEASE_EVERY_MS = 2000;
/** No machine is rented at more than this many times the price at which the task could run elsewhere, but for urgent work. */
const DEAR = 8;
const URGENT = 2;
/** A zone is taken to be cut off when more than this part of its machines, and so many, are not heard. */
const DARK_PART = 0.7;
const DARK_LEAST = 3;
const DARK_MS = 5_000;
const REPORT_MS = 10_000;
const MIN_AGE_MS = 60_000;
/** Part of the cloud's call budget used for renting and returning; the rest is for lists. */
const CLOUD_SHARE = 0.7;
/** What {@link Autoscaler} depends on. */
export interface AutoscalerDependencies {
  io: ControllerIo;
  settings: Settings;
  jobs: JobTable;
  machines: MachineTable;
  quota: Quota;
  estimates: RuntimeEstimates;
  ordering: JobOrdering;
  term: Revision;
  types: Map<TypeName, MachineType>;
}

export class Autoscaler {
  readonly types: Map<TypeName, MachineType>;
  private readonly requests: Request[] = [];
  /** Machines that waiting work or spare room is counted on. */
  private readonly wanted = new Set<MachineId>();
  readonly spareCapacity: SpareCapacity;
  private readonly machineList: CloudInventory;
  /** Machines on their way, as of the last plan. */
  pendingCapacity: PendingCapacity = new Map();
  /** Offers of which the cloud had fewer than asked for: until when they are left out, and how often in a row. */
  private readonly refused = new Map<string, { until: Instant; times: number }>();
  /** Zones that seem to be cut off, and for how long they are taken to be. */
  private readonly dark = new Map<ZoneName, Instant>();
  private nextPlan: Instant = LONG_AGO;
  private nextReport: Instant = LONG_AGO;
  private releasingNow = false;
  private releaseAt: Instant = LONG_AGO;
  private requestsMade = 0;
  private readonly budget: TokenBucket;
  private readonly io: ControllerIo;
  private readonly jobs: JobTable;
  private readonly machines: MachineTable;
  private readonly quota: Quota;
  private readonly estimates: RuntimeEstimates;
  private readonly ordering: JobOrdering;
  private readonly term: Revision;

  constructor(dependencies: AutoscalerDependencies) {
    const { io, settings, machines, types } = dependencies;
    this.types = types;
    this.io = io;
    this.jobs = dependencies.jobs;
    this.machines = machines;
    this.quota = dependencies.quota;
    this.estimates = dependencies.estimates;
    this.ordering = dependencies.ordering;
    this.term = dependencies.term;
    this.spareCapacity = new SpareCapacity(io);
    this.machineList = new CloudInventory(io, machines, types, () => this.requests.some((r) => r.inFlight));
    const rate = settings.cloud.requestsPerS * CLOUD_SHARE;
    this.budget = new TokenBucket(rate, Math.max(1, rate));
  }

  /** `current`: no other owner can exist; one that is cut off returns no machine that may be at work for the next. */
  tick(recovered: boolean, current: boolean): void {
    if (this.types.size === 0) return;
    this.machineList.tick(recovered);
    // What is wanted is known from the last plan; before the first, nothing is idle for long enough.
    this.returnMachines(recovered, current);
    this.sendRequests();
    if (this.io.now >= this.nextPlan && recovered) {
      const gap = Math.max(PLAN_MS, this.machines.byId.size * PLAN_MS_PER_MACHINE);
      this.nextPlan = addMs(this.io.now, gap * this.io.intervalFactor);
      this.rentForDemand();
    }
    this.report();
  }

  /** Whether a call that returns machines is under way. */
  get isScalingIn(): boolean {
    return this.releasingNow;
  }

  /** For operators who look into how well the fleet fits the work. */
  private report(): void {
    if (this.io.now < this.nextReport) return;
    this.nextReport = addMs(this.io.now, REPORT_MS);
    const fleet: Record<string, string> = {};
    const kinds = new Map<string, { n: number; booting: number; idle: number; cpus: number; gpus: number }>();
    for (const m of this.machines.byId.values()) {
      const key = `${m.type.name}/${m.spot ? 'spot' : 'ordinary'}`;
      const k = kinds.get(key) ?? { n: 0, booting: 0, idle: 0, cpus: 0, gpus: 0 };
      kinds.set(key, k);
      k.n++;
      if (!m.isUp) k.booting++;
      else if (m.isEmpty) k.idle++;
      k.cpus += m.usedCpus / m.type.cpus;
      k.gpus += m.type.gpus > 0 ? m.usedGpus / m.type.gpus : 0;
    }
    for (const [key, k] of kinds)
      fleet[key] =
        `${k.n} (${k.booting} booting, ${k.idle} idle), busy ${k.cpus.toFixed(1)} by CPU, ${k.gpus.toFixed(1)} by GPU`;
    const work: Record<string, string> = {};
    for (const j of this.jobs.openJobs.values()) {
      const [jobs, waiting, queued, live] = (work[j.spec.class] ?? '0 0 0 0').split(' ').map(Number) as [
        number,
        number,
        number,
        number,
      ];
      work[j.spec.class] =
        `${jobs + 1} ${waiting + j.waitingTasks} ${queued + j.queuedTasks} ${live + j.assignedTasks}`;
    }
    this.io.log('debug', 'fleet and work (jobs, tasks waiting, queued, on machines)', { fleet, work });
  }

  // ---- renting

  private rentForDemand(): void {
    const free = this.supply();
    this.wanted.clear();
    const need = new Map<string, Request[]>();
    // Of a team near its limit each job might still be allowed, and all together not.
    const planned = new Map<TeamName, TeamUsage>();
    for (const job of this.demand()) {
      const n = Math.min(job.waitingTasks + job.queuedTasks, this.teamRoom(job, planned));
      if (isGang(job.spec)) this.provideGang(job, n, free, need);
      else if (job.spec.spread && job.spec.tasks > 1) this.provideSpread(job, n, free, need);
      // Room in another zone than that of its other tasks is none for it.
      else if (job.spec.oneZone && job.spec.tasks > 1)
        this.provideInOneZone(job, n, this.zonesFor(job), free, need);
      else this.provide(job, n, null, free, need);
    }
    for (const spare of this.spareCapacity.requirements((job) => readyTimeS(this.types.values(), job.spec)))
      this.provideSpare(spare, free, need);
    for (const r of [...need.values()].flat()) {
      this.requests.push(r);
      this.io.log('info', 'renting', {
        request: r.name,
        type: r.type.name,
        zone: r.zone,
        spot: r.spot,
        count: r.count,
      });
    }
    this.sendRequests();
  }

  private provide(
    job: Job,
    n: number,
    zone: ZoneName | null,
    free: CapacitySupply,
    need: Map<string, Request[]>,
  ): void {
    const left = n - free.use(job, n, zone, this.wanted);
    if (left > 0) this.rentFor(job, left, zone, free, need);
  }

  /**
   * Half of the tasks at most, rounded up, may be in one zone: room in a zone that has its part already is none, and taken
   * for some it kept machines from being rented where they could be used.
   */
  private provideSpread(job: Job, n: number, free: CapacitySupply, need: Map<string, Request[]>): void {
    this.provide(job, Math.min(n, job.queuedTasks), null, free, need);
    let left = n - job.queuedTasks;
    const most = Math.ceil(job.spec.tasks / 2);
    const offers = this.offers(job);
    const zones = job.spec.zone !== null ? [job.spec.zone] : this.allZones();
    const rooms = new Map(zones.map((z) => [z, most - (job.zones.get(z) ?? 0)]));
    for (const [zone, room] of rooms) {
      if (left <= 0 || room <= 0) continue;
      const used = free.use(job, Math.min(left, room), zone, this.wanted);
      rooms.set(zone, room - used);
      left -= used;
    }
    for (const { zone } of offers) {
      const tasks = Math.min(left, rooms.get(zone) ?? 0);
      if (tasks <= 0) continue;
      this.rentFor(job, tasks, zone, free, need);
      rooms.set(zone, 0);
      left -= tasks;
    }
  }

  /** Room for gangs is kept in pieces that hold the largest of them, each in one zone. */
  private provideSpare(
    s: { job: Job; tasks: number; most: number },
    free: CapacitySupply,
    need: Map<string, Request[]>,
  ): void {
    if (s.job.spec.kind !== 'gang' || !s.job.spec.oneZone)
      return this.provide(s.job, s.tasks, null, free, need);
    for (let left = s.tasks; left > 0; left -= s.most)
      this.provideInOneZone(s.job, Math.min(left, s.most), this.allZones(), free, need);
  }

  /** A gang bound to one zone needs all its room there: where it is already, or where least is missing. */
  private provideGang(job: Job, n: number, free: CapacitySupply, need: Map<string, Request[]>): void {
    if (n < job.waitingTasks + job.queuedTasks) return;
    if (!job.spec.oneZone) return this.provide(job, n, null, free, need);
    this.provideInOneZone(job, n, this.zonesFor(job), free, need);
  }

  private provideInOneZone(
    job: Job,
    n: number,
    zones: ZoneName[],
    free: CapacitySupply,
    need: Map<string, Request[]>,
  ): void {
    let best: { zone: ZoneName; missing: number; cost: number } | null = null;
    const offers = this.offers(job);
    for (const zone of zones) {
      const missing = n - free.count(job, n, zone);
      const offer = offers.find((o) => o.zone === zone);
      if (missing > 0 && offer === undefined) continue;
      const cost = missing * (offer?.cost ?? 0);
      if (best === null || cost < best.cost) best = { zone, missing, cost };
    }
    if (best !== null) this.provide(job, n, best.zone, free, need);
  }

  private zonesFor(job: Job): ZoneName[] {
    if (job.zones.size > 0) return [...job.zones.keys()];
    if (job.spec.zone !== null) return [job.spec.zone];
    return this.allZones();
  }

  private allZones(): ZoneName[] {
    return [...new Set([...this.types.values()].flatMap((t) => t.zones))];
  }

  /** How many of the job's tasks its team's limit allows beside those that were planned for before it. */
  private teamRoom(job: Job, planned: Map<TeamName, TeamUsage>): number {
    const { team, cpus, gpus } = job.spec;
    const before = planned.get(team) ?? { cpus: 0, gpus: 0 };
    const more = Math.min(job.waitingTasks, this.quota.allowedTasks(job, before));
    planned.set(team, { cpus: before.cpus + cpus * more, gpus: before.gpus + gpus * more });
    return more + job.queuedTasks;
  }

  /** What is hard to place goes first: accelerators, then gangs and other large tasks. */
  private demand(): Job[] {
    const out = [...this.jobs.openJobs.values()].filter(
      (j) => !j.isCancelling && j.unplacedTasks > 0 && j.failedOn.size < 3,
    );
    return out.sort(
      (a, b) =>
        b.priority - a.priority ||
        b.spec.gpus - a.spec.gpus ||
        Number(isGang(b.spec)) - Number(isGang(a.spec)) ||
        a.readyAt - b.readyAt,
    );
  }

  /**
   * Notes zones of whose machines hardly any is heard: cut off, most likely. Once those have been returned nothing more is
   * known, so a zone stays noted for a while, or until a machine of it is heard. A node that hears nobody at all notes none.
   */
  private noteDark(): void {
    const zones = new Map<ZoneName, { heard: number; quiet: number }>();
    for (const m of this.machines.byId.values()) {
      if (!m.isUp || m.isReleasing) continue;
      const z = zones.get(m.zone) ?? { heard: 0, quiet: 0 };
      zones.set(m.zone, z);
      if (m.isOverdue || m.drainReason === 'silent') z.quiet++;
      else z.heard++;
    }
    const isDark = ({ heard, quiet }: { heard: number; quiet: number }): boolean =>
      quiet >= DARK_LEAST && quiet > (heard + quiet) * DARK_PART;
    if ([...zones.values()].every(isDark)) return this.dark.clear();
    for (const [zone, z] of zones)
      if (isDark(z)) this.dark.set(zone, addMs(this.io.now, DARK_MS));
      else if (z.heard > 0) this.dark.delete(zone);
    for (const [zone, until] of this.dark) if (this.io.now >= until) this.dark.delete(zone);
  }

  /** Room on machines that are up, that is about to come free, or that is on its way. */
  private supply(): CapacitySupply {
    const out = new CapacitySupply();
    const coming = new Map<MachineType, number>();
    this.noteDark();
    for (const m of this.machines.byId.values()) {
      if (m.isReleasing || m.drainReason !== null || this.dark.has(m.zone)) continue;
      // Requests are not counted: the cloud may have nothing.
      if (!m.isUp) coming.set(m.type, (coming.get(m.type) ?? 0) + 1);
      const f = freeCapacityOf(m);
      for (const e of m.assignments.values()) {
        if (!this.endsSoon(e, m)) continue;
        f.cpus += e.job.spec.cpus;
        f.gpus += e.job.spec.gpus;
        f.memory += e.job.spec.memoryGb;
      }
      out.add(f);
    }
    for (const r of this.requests)
      for (let i = 0; i < r.count; i++) out.add(emptyMachine(r.type, r.zone, r.spot));
    this.pendingCapacity = coming;
    return out;
  }

  /** Renting would not help sooner than the machine's own task ends. */
  private endsSoon(e: { job: Job; runningAt: Instant | null }, m: Machine): boolean {
    if (e.runningAt === null || e.job.spec.kind === 'service') return false;
    const left = this.estimates.remainingS(e.job, (this.io.now - e.runningAt) / 1000);
    return left < m.type.bootS * 0.7;
  }

  private rentFor(
    job: Job,
    tasks: number,
    zone: ZoneName | null,
    free: CapacitySupply,
    need: Map<string, Request[]>,
  ): void {
    let left = tasks;
    for (const o of this.offers(job)) {
      if (zone !== null && o.zone !== zone) continue;
      const key = offerKey(o.type.name, o.zone, o.spot);
      const asked = need.get(key) ?? [];
      need.set(key, asked);
      const requests = this.refused.has(key) ? 1 : REQUESTS_AN_OFFER;
      const room = requests * RENT_MAX - asked.reduce((n, r) => n + r.count, 0);
      const n = Math.min(room, Math.ceil(left / tasksPerMachine(o.type, job.spec)));
      for (let i = 0; i < n; i++) {
        let r = asked.at(-1);
        if (r === undefined || r.count >= RENT_MAX) {
          r = this.newRequest(o.type, o.zone, o.spot);
          asked.push(r);
        }
        r.count++;
        const f = emptyMachine(o.type, o.zone, o.spot);
        left -= placeOn(f, job, left);
        free.add(f);
      }
      if (left <= 0) return;
    }
  }

  private newRequest(type: MachineType, zone: ZoneName, spot: boolean): Request {
    const name = `${this.term}-${++this.requestsMade}`;
    return { name, type, zone, spot, count: 0, sentAt: this.io.now, inFlight: false, retryAt: LONG_AGO };
  }

  /** Where the job's tasks could run, cheapest a task first; what was refused lately is left out. */
  private offers(job: Job): Offer[] {
    const out: Offer[] = [];
    let cheapest = Number.POSITIVE_INFINITY;
    for (const type of this.types.values()) {
      const per = tasksPerMachine(type, job.spec);
      if (per < 1 || !mayRunOnType(type, job.spec)) continue;
      cheapest = Math.min(
        cheapest,
        (job.spec.spot ? Math.min(type.spotPrice, type.price) : type.price) / per,
      );
      for (const zone of type.zones) {
        if (job.spec.zone !== null && job.spec.zone !== zone) continue;
        // Rented there, it would boot and never be heard.
        if (this.dark.has(zone)) continue;
        for (const spot of job.spec.spot ? [true, false] : [false]) {
          if (this.io.now < (this.refused.get(offerKey(type.name, zone, spot))?.until ?? LONG_AGO)) continue;
          const price = spot ? type.spotPrice : type.price;
          const gpuWaste = job.spec.gpus === 0 && type.gpus > 0 ? 1.5 : 1;
          out.push({
            type,
            zone,
            spot,
            cost: (price / per) * gpuWaste * (1 + this.io.random.below(100) / 10_000),
          });
        }
      }
    }
    // Past this, waiting for room that others leave costs the users less than the machine does.
    const limit = this.pressing(job) ? Number.POSITIVE_INFINITY : cheapest * DEAR;
    return out.filter((o) => o.cost <= limit).sort((a, b) => a.cost - b.cost);
  }

  /** Urgent work, and work that has used up half of the time in which it should start. */
  private pressing(job: Job): boolean {
    if (job.spec.priority >= URGENT) return true;
    const ageS = (this.io.now - job.readyAt) / 1000;
    return ageS >= this.ordering.slackS(job, this.io.now, this.io.wallTime);
  }

  private sendRequests(): void {
    for (const r of this.requests) {
      if (r.inFlight || this.io.now < r.retryAt || !this.budget.take(this.io.now)) continue;
      r.inFlight = true;
      const op = {
        kind: 'rent' as const,
        request: r.name,
        type: r.type.name,
        zone: r.zone,
        spot: r.spot,
        count: r.count,
      };
      this.io.cloud(op, (reply) => this.onRent(r, reply));
    }
  }

  private onRent(r: Request, reply: CloudReply): void {
    r.inFlight = false;
    // An unanswered request may have rented: it is repeated under its own name until it is answered.
    if (reply.kind !== 'rented' && reply.kind !== 'no-capacity') {
      r.retryAt = addMs(this.io.now, 1000);
      return;
    }
    this.requests.splice(this.requests.indexOf(r), 1);
    const got = reply.kind === 'rented' ? reply.machines : [];
    if (got.length === r.count) this.refused.delete(offerKey(r.type.name, r.zone, r.spot));
    else {
      this.refuse(offerKey(r.type.name, r.zone, r.spot));
      this.io.log('info', 'cloud has fewer machines', {
        type: r.type.name,
        zone: r.zone,
        spot: r.spot,
        asked: r.count,
        got: got.length,
      });
    }
    for (const id of got) {
      if (this.machines.byId.has(id) || this.machines.tombstones.has(id)) continue;
      this.machines.addMachine(id, r.type, r.zone, r.spot, NEVER);
    }
  }

  /** Asking again and again for what is not there would use up the cloud's calls. */
  private refuse(key: string): void {
    const known = this.refused.get(key);
    // Several requests of one plan are refused together.
    if (known !== undefined && this.io.now < known.until) return;
    const times = (known?.times ?? 0) + 1;
    const ms = Math.min(REFUSED_MAX_MS, REFUSED_MS * 2 ** (times - 1));
    this.refused.set(key, { until: addMs(this.io.now, ms), times });
  }

  // ---- returning

  /**
   * Machines stay in use until the call is made: with few calls a second, ones marked ahead of it stood idle, and
   * were paid for, beside waiting work. It goes ahead of renting, which repeats itself as long as anything waits.
   */
  private returnMachines(mayReturnIdle: boolean, current: boolean): void {
    if (this.releasingNow || this.io.now < this.releaseAt) return;
    const batch: Machine[] = [];
    const reasons = new Map<string, number>();
    for (const m of this.machines.byId.values()) {
      if (batch.length >= RELEASE_MAX) break;
      if (!current && (!m.isUp || m.isOverdue)) continue;
      const why = m.isReleasing ? 'settled' : mayReturnIdle ? this.reasonToReturn(m) : null;
      if (why === null) continue;
      batch.push(m);
      reasons.set(why, (reasons.get(why) ?? 0) + 1);
    }
    if (batch.length === 0 || !this.budget.take(this.io.now)) return;
    for (const m of batch) this.machines.beginRelease(m);
    this.io.log('info', 'returning machines', {
      why: Object.fromEntries(reasons),
      machines: batch.map((m) => m.id),
    });
    this.releasingNow = true;
    this.io.cloud({ kind: 'release', machines: batch.map((m) => m.id) }, (r) => {
      this.releasingNow = false;
      this.releaseAt = addMs(this.io.now, r.kind === 'released' ? RELEASE_EVERY_MS : 1000);
      if (r.kind !== 'released') return;
      for (const m of batch) {
        this.machines.remove(m, 'returned');
        // There is at least this one to be had again.
        this.refused.delete(offerKey(m.type.name, m.zone, m.spot));
      }
    });
  }

  private reasonToReturn(m: Machine): string | null {
    const { now } = this.io;
    const age = now - m.requestedAt;
    if (!m.isUp) return age > m.type.bootS * 4000 + 5000 ? 'never came up' : null;
    // Results not yet recorded would be lost with the machine.
    if (!m.isEmpty || [...m.exitedTasks.values()].some((x) => x.exitReason === 'done')) return null;
    if (m.drainReason !== null) return m.drainReason;
    if (!m.isReconciled || age < MIN_AGE_MS || this.wanted.has(m.id)) return null;
    // Holding an idle machine for as long as a new one would take to get ready costs at most twice the best choice.
    const patience = m.type.bootS * 400;
    return now - m.idleSince > patience ? 'idle' : null;
  }
}
