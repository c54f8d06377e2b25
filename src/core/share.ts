// What the owner of the share does during one term. A new term starts with a new one of these.
import { type Instant, later, type MachineId, NEVER, type Revision } from '../types/index.ts';
import type { Catalogue } from './catalogue.ts';
import { Dispatch, type DispatchSettings } from './dispatch.ts';
import { Fit } from './fit.ts';
import { canEverRun, Fleet } from './fleet.ts';
import type { Outbox } from './io.ts';
import { type Entry, Job, Jobs, retry } from './jobs.ts';
import { type Machine, Machines } from './machines.ts';
import type { Command, JobSpec, Report, Settings, UserAnswer, WorkerAnswer } from './model.ts';
import { Estimates, Ordering } from './order.ts';
import { Quota } from './quota.ts';
import { Recovery } from './recovery.ts';
import { Store } from './store.ts';

/** Accepting work stops while this many writes wait: users are told to come back instead. */
const MAX_BACKLOG = 120;
/** Longest time for which an idle machine's report is held; workers wait for 4 s. */
const HOLD_MAX_MS = 2000;

interface Held {
  m: Machine;
  commands: Command[];
  answer: (a: WorkerAnswer) => void;
  until: Instant;
}

export class Share {
  readonly jobs: Jobs;
  readonly machines: Machines;
  readonly fleet: Fleet;
  readonly recovery: Recovery;
  readonly store: Store;
  private readonly dispatch: Dispatch;
  private readonly quota: Quota;
  private readonly held = new Map<MachineId, Held>();
  private readonly holdMs: number;
  private readonly estimates = new Estimates();
  private readonly io: Outbox;
  private readonly catalogue: Catalogue;

  constructor(
    io: Outbox,
    settings: Settings,
    options: DispatchSettings,
    term: Revision,
    catalogue: Catalogue,
    onLost: () => void,
  ) {
    this.io = io;
    this.catalogue = catalogue;
    // Workers give up after 4 s; and a change on the machine is told only once the last report is answered.
    this.holdMs = Math.min(HOLD_MAX_MS, settings.workers.reportS * 1000);
    this.store = new Store(io, settings, term, onLost);
    this.jobs = new Jobs(io, this.store);
    const host = {
      poke: () => this.dispatch.poke(),
      taskStarted: () => {},
      taskCompleted: (e: Entry) => this.learn(e),
    };
    this.machines = new Machines(io, settings, this.store, this.jobs, host, term);
    this.quota = new Quota(settings);
    const ordering = new Ordering(settings.objectives, this.estimates);
    this.fleet = new Fleet(
      io,
      settings,
      this.jobs,
      this.machines,
      this.quota,
      this.estimates,
      term,
      catalogue.types,
    );
    this.dispatch = new Dispatch(
      io,
      this.jobs,
      this.machines,
      this.quota,
      ordering,
      options,
      term,
      new Fit(this.fleet.types),
    );
    this.recovery = new Recovery(io, settings, this.jobs, this.machines, catalogue);
    this.jobs.onAccepted = (job) => {
      this.fleet.warm.arrived(job);
      this.dispatch.poke();
    };
    this.recovery.onComplete = () => this.dispatch.poke();
    this.jobs.onEnded = (job) => this.unqueue(job);
  }

  tick(mayCommand: boolean): void {
    this.recovery.tick();
    this.store.tick();
    if (!this.recovery.loaded) return;
    this.catalogue.record(this.store);
    this.jobs.tick();
    this.machines.tick();
    this.fleet.tick(this.recovery.complete && mayCommand);
    if (!mayCommand) return this.close();
    this.dispatch.pass(true);
    this.answerHeld();
  }

  /** After any input: work that has come may start at once on a machine whose report is held. */
  settle(): void {
    if (!this.recovery.loaded || this.held.size === 0) return;
    this.dispatch.pass(false);
    this.answerHeld();
  }

  private learn(e: Entry): void {
    if (e.runningAt === null) return;
    this.estimates.learn(e.job.spec.class, e.job.spec.estimateS, (this.io.now - e.runningAt) / 1000);
  }

  private unqueue(job: Job): void {
    for (const m of this.machines.all.values())
      for (const q of [...m.queue]) if (q.job === job) this.machines.takeBack(m, q);
    this.dispatch.poke();
  }

  // ---- workers

  /**
   * Takes a report in under this node's token; the caller has checked that it may. An idle machine's answer is
   * held for a moment, so that work arriving meanwhile starts without waiting for the next report.
   */
  report(r: Report, answer: (a: WorkerAnswer) => void): void {
    const { token } = this.machines;
    // Raising the token is all that may be done before the records are read.
    if (!this.recovery.loaded) return answer({ kind: 'orders', token, commands: [] });
    const m = this.machines.all.get(r.machine) ?? this.adopt(r);
    if (m === null) return answer({ kind: 'elsewhere', node: null });
    this.release(m);
    const commands = this.machines.report(m, r);
    if (commands === null) {
      // Older than what is known: its task list says nothing, and its worker has given up waiting.
      this.machines.answered(m);
      return answer({ kind: 'orders', token, commands: [] });
    }
    if (m.synced) this.machines.record(m);
    this.held.set(m.id, { m, commands, answer, until: later(this.io.now, this.holdMs) });
    this.dispatch.pass(false);
    this.answerHeld();
  }

  /** Answers held reports that have something to tell, or whose time is up. */
  private answerHeld(): void {
    for (const [id, h] of this.held) {
      h.commands.push(...this.machines.startQueued(h.m, () => true));
      const wait =
        h.commands.length === 0 && h.m.synced && h.m.empty && h.m.drain === null && this.io.now < h.until;
      if (wait) continue;
      this.held.delete(id);
      this.machines.answered(h.m);
      h.answer({ kind: 'orders', token: this.machines.token, commands: h.commands });
    }
  }

  /** A newer report shows that the worker no longer waits for the answer to the last one. */
  private release(m: Machine): void {
    const h = this.held.get(m.id);
    if (h === undefined) return;
    this.held.delete(m.id);
    h.answer({ kind: 'elsewhere', node: null });
  }

  /** The term is over: workers are sent on. */
  close(): void {
    for (const h of this.held.values()) h.answer({ kind: 'elsewhere', node: null });
    this.held.clear();
  }

  /** A machine nobody expected: rented by an unanswered request, or by an earlier owner. */
  private adopt(r: Report): Machine | null {
    const type = this.fleet.types.get(r.type);
    if (type === undefined || this.machines.buried.has(r.machine)) return null;
    this.io.log('info', 'machine adopted from its report', { machine: r.machine });
    return this.machines.newMachine(r.machine, type, r.zone, r.spot, NEVER);
  }

  // ---- users

  submit(spec: JobSpec, answer: (a: UserAnswer) => void): void {
    const job = this.jobs.open.get(spec.id);
    if (job !== undefined) return answer({ kind: 'known', id: spec.id, status: job.status() });
    const final = this.jobs.final(spec.id);
    if (final !== null) return answer({ kind: 'known', id: spec.id, status: final.status });
    if (!this.recovery.loaded) return answer(retry('the jobs on record are being read'));
    if (this.store.downSince !== null) return answer(retry('the state service does not answer', 2));
    if (this.store.backlog > MAX_BACKLOG) return answer(retry('too many submissions at once', 2, true));
    const reason = this.impossible(spec);
    if (reason !== null) return this.refuse(spec, reason, answer);
    this.jobs.accept(spec, answer);
  }

  /** A job known from before is never called impossible, whatever is offered today. */
  private refuse(spec: JobSpec, reason: string, answer: (a: UserAnswer) => void): void {
    this.jobs.readFinal(spec.id, (a) => {
      if (a.kind === 'ended') answer({ kind: 'known', id: spec.id, status: a.status });
      else if (a.kind === 'not-found') {
        this.io.log('info', 'job refused', { job: spec.id, reason });
        answer({ kind: 'impossible', reason });
      } else answer(a);
    });
  }

  private impossible(spec: JobSpec): string | null {
    const team = this.quota.team(spec.team);
    if (team === undefined) return `team ${spec.team} is not known here`;
    const job = new Job({ ...spec, tasks: 1 }, 0 as Revision, this.io.wall, this.io.now, false);
    if (!canEverRun(this.fleet.types.values(), job))
      return `no machine type that the job allows is large enough for ${spec.cpus} CPUs, ${spec.gpus} GPUs and ${spec.memoryGb} GB`;
    const n = spec.kind === 'array' ? 1 : spec.tasks;
    if (team.cpusMax > 0 && spec.cpus * n > team.cpusMax)
      return `the job needs ${spec.cpus * n} CPUs at once and team ${spec.team} may use ${team.cpusMax}`;
    if (team.gpusMax > 0 && spec.gpus * n > team.gpusMax)
      return `the job needs ${spec.gpus * n} GPUs at once and team ${spec.team} may use ${team.gpusMax}`;
    return null;
  }

  /** What is known without asking the state service; null if that must be asked. */
  status(id: JobSpec['id']): UserAnswer | null {
    const job = this.jobs.open.get(id);
    if (job === undefined) {
      const final = this.jobs.final(id);
      return final === null ? null : { kind: 'ended', id, status: final.status };
    }
    if (job.cancelled) return { kind: 'ended', id, status: 'cancelled' };
    return {
      kind: 'status',
      id,
      status: job.status(),
      done: Math.min(job.doneCount, job.spec.tasks),
      running: job.running,
    };
  }
}
