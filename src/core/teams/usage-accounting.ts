// What became of each team's work, by class: for operators, who ask whom the fleet serves least. Jobs that are over are
// counted on record, in pages that several teams share, written seldom; open ones are counted from their own records. So a
// new owner goes on from where the last page was: what ended in the seconds since is missing from it, and nothing else.
import { addMs, type Instant, LONG_AGO, type Revision, type WallTime } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { StoreItem } from '../base/model.ts';
import { StorePriority } from '../base/store-request-budget.ts';
import type { Job } from '../jobs/job.ts';
import { type FencedWriter, WritePriority } from '../storage/fenced-writer.ts';
import { SharedRecord } from '../storage/shared-record.ts';

export const USAGE_PREFIX = 'u/';
const WRITE_EVERY_MS = 10_000;
const RETRY_MS = 1000;
const TELL_EVERY_MS = 30_000;
/** Told in one line: those least served. */
const TOLD = 40;
/**
 * Classes are named by users: past so many characters a name is cut, and past so many names in all the further classes of a
 * team are counted together, so that no flood of new names pushes out what is known or makes a page too large to write.
 */
const NAME_MAX = 60;
const NAMES_MAX = 2000;
const OTHERS = '(others)';
/** Longest line of a page: a name, four numbers, and what is around them. */
const LINE_MAX = 3 * NAME_MAX + 100;

/** Jobs over, of them done; tasks of those; CPU seconds of tasks that completed. */
type Ended = [over: number, done: number, tasks: number, cpuS: number];

export interface UsageSummary {
  team: string;
  class: string;
  /** Open services, which are in none of the figures below but `started` and those about waiting. */
  services: number;
  replicas: number;
  replicasUp: number;
  /** Other jobs not cancelled, open or done. */
  jobs: number;
  tasks: number;
  started: number;
  done: number;
  tasksDone: number;
  waitingTasks: number;
  oldestWaitS: number;
  cpuS: number;
}

class AccountPage {
  readonly names = new Set<string>();
  dirty = false;
  constructor(readonly page: SharedRecord) {}
}

export class UsageAccounting {
  private readonly ended = new Map<string, Ended>();
  private readonly pages: AccountPage[] = [];
  private readonly home = new Map<string, AccountPage>();
  private readonly perPage: number;
  /** Null until what earlier owners counted has been read. */
  private loaded: boolean | null = null;
  private nextTry: Instant = LONG_AGO;
  private nextWrite: Instant = LONG_AGO;
  private nextTell: Instant;

  constructor(
    private readonly io: ControllerIo,
    private readonly writer: FencedWriter,
    private readonly term: Revision,
  ) {
    this.perPage = Math.max(1, Math.floor(writer.maxValueBytes / LINE_MAX));
    this.nextTell = addMs(io.now, TELL_EVERY_MS);
  }

  onJobClosed(job: Job, status: 'done' | 'cancelled'): void {
    const e = this.of(this.nameOf(job));
    e[0]++;
    if (status !== 'done') return;
    e[1]++;
    e[2] += job.spec.tasks;
  }

  onTaskCompleted(job: Job, cpuS: number): void {
    this.of(this.nameOf(job))[3] += cpuS;
  }

  private nameOf({ spec }: Job): string {
    const name = `${spec.team}|${spec.class}`.slice(0, NAME_MAX);
    if (this.ended.has(name) || this.ended.size < NAMES_MAX) return name;
    return `${spec.team}|${OTHERS}`.slice(0, NAME_MAX);
  }

  private of(name: string): Ended {
    const known = this.ended.get(name);
    const e: Ended = known ?? [0, 0, 0, 0];
    if (known === undefined) this.ended.set(name, e);
    const page = this.home.get(name);
    if (page !== undefined) page.dirty = true;
    return e;
  }

  tick(open: Iterable<Job>): void {
    if (this.loaded !== true) return this.read();
    if (this.io.now >= this.nextWrite) {
      this.nextWrite = addMs(this.io.now, WRITE_EVERY_MS);
      this.write();
    }
    if (this.io.now < this.nextTell) return;
    this.nextTell = addMs(this.io.now, TELL_EVERY_MS);
    this.tell(this.summarize(open));
  }

  private read(): void {
    if (this.loaded === false || this.io.now < this.nextTry) return;
    this.loaded = false;
    this.io.store({ kind: 'list', prefix: USAGE_PREFIX, after: null }, StorePriority.work, (r) => {
      this.loaded = r.kind === 'items' ? true : null;
      this.nextTry = addMs(this.io.now, RETRY_MS);
      if (r.kind === 'items') for (const item of r.items) this.load(item);
    });
  }

  private load(item: StoreItem): void {
    const p = new AccountPage(new SharedRecord(this.writer, item.key, item.revision));
    this.pages.push(p);
    for (const [name, e] of Object.entries((item.value as { a?: Record<string, Ended> }).a ?? {})) {
      const here = this.of(name);
      for (let i = 0; i < here.length; i++) here[i] = here[i]! + (e[i] ?? 0);
      this.settle(name, p);
    }
  }

  private settle(name: string, p: AccountPage): void {
    p.names.add(name);
    if (!this.home.has(name)) this.home.set(name, p);
  }

  private write(): void {
    for (const name of this.ended.keys()) {
      if (this.home.has(name)) continue;
      let p = this.pages.find((x) => x.names.size < this.perPage);
      if (p === undefined) {
        const key = `${USAGE_PREFIX}${this.term}.${this.pages.length + 1}`;
        p = new AccountPage(new SharedRecord(this.writer, key, 0 as Revision));
        this.pages.push(p);
      }
      this.settle(name, p);
      p.dirty = true;
    }
    for (const p of this.pages) {
      if (!p.dirty || p.page.isWriting) continue;
      p.dirty = false;
      const a: Record<string, Ended> = {};
      for (const name of p.names) if (this.home.get(name) === p) a[name] = [...this.ended.get(name)!];
      p.page.write({ a }, WritePriority.sharedRecord, (ok) => {
        if (!ok) p.dirty = true;
      });
    }
  }

  /** Each team's work by class, as it stands. Work: the open jobs. */
  summarize(open: Iterable<Job>): UsageSummary[] {
    const out = new Map<string, UsageSummary>();
    const at = (name: string): UsageSummary => {
      let s = out.get(name);
      if (s === undefined) {
        const [team, cls] = split(name);
        const services = { services: 0, replicas: 0, replicasUp: 0 };
        const none = { jobs: 0, tasks: 0, started: 0, done: 0, tasksDone: 0, waitingTasks: 0 };
        s = { team, class: cls, ...services, ...none, oldestWaitS: 0, cpuS: 0 };
        out.set(name, s);
      }
      return s;
    };
    for (const [name, [, done, tasks, cpuS]] of this.ended) {
      const s = at(name);
      s.jobs += done;
      s.started += done;
      s.done += done;
      s.tasks += tasks;
      s.tasksDone += tasks;
      s.cpuS += cpuS;
    }
    for (const job of open) {
      if (job.cancelled) continue;
      const s = at(this.nameOf(job));
      // A service is never done: it is served as far as its replicas are up.
      if (job.spec.kind === 'service') {
        s.services++;
        s.replicas += job.spec.tasks;
        s.replicasUp += job.runningTasks;
      } else {
        s.jobs++;
        s.tasks += job.spec.tasks;
      }
      s.tasksDone += job.doneCount;
      if (job.doneCount > 0 || job.runningTasks > 0) s.started++;
      s.waitingTasks += job.unplacedTasks;
      if (job.unplacedTasks > 0) s.oldestWaitS = Math.max(s.oldestWaitS, waitS(job, this.io.wallTime));
    }
    return [...out.values()];
  }

  private tell(all: UsageSummary[]): void {
    if (all.length === 0) return;
    const lines = all
      .sort((a, b) => servedPart(a) - servedPart(b) || b.oldestWaitS - a.oldestWaitS)
      .slice(0, TOLD);
    const served = lines.map((s) => ({
      ...s,
      oldestWaitS: Math.round(s.oldestWaitS),
      cpuS: Math.round(s.cpuS),
    }));
    this.io.log('info', 'work served by team and class, least first', { served, of: all.length });
  }
}

/** Jobs done and, of services, replicas up, as a part of those asked for; 1 for nothing. */
function servedPart(s: UsageSummary): number {
  const of = s.jobs + s.services;
  if (of === 0) return 1;
  return (s.done + (s.replicas === 0 ? 0 : (s.services * s.replicasUp) / s.replicas)) / of;
}

/** Teams are named by the settings, and those have no such sign in their names. */
function split(name: string): [string, string] {
  const cut = name.indexOf('|');
  return cut < 0 ? [name, ''] : [name.slice(0, cut), name.slice(cut + 1)];
}

const waitS = (job: Job, wall: WallTime): number => Math.max(0, (wall - job.readyWall) / 1000);
