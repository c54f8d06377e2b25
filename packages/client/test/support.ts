// A service as its users see it, a disk that loses what was not synced, and a script on them, on a clock of
// the test's.
import { parseJob } from '../../../src/protocol/job.ts';
import { encodeUserResponse } from '../../../src/protocol/user-response.ts';
import type { JobId } from '../../../src/types/index.ts';
import { bodyOf, newId } from '../src/request.ts';
import { type JournalFile, RequestJournal } from '../src/request-journal.ts';
import { Session } from '../src/session.ts';
import type { Effect, Input, SendEffect, ServiceResponse } from '../src/session-messages.ts';
import type { JobRequest, JournalError, Outcome } from '../src/types.ts';

/** A request that the service accepts. */
export const REQUEST: JobRequest = {
  team: 'vision',
  class: 'train',
  cpus: 2,
  memoryGb: 4,
  image: 'img-1',
  imageGb: 1,
  estimateS: 10,
};

/** Keeps what was synced over `crash`; of the rest as many bytes as the test says. */
export class FakeDisk implements JournalFile {
  readonly name = 'outbox';
  bytes = Buffer.alloc(0);
  /** Length that outlives a crash. */
  synced = 0;
  /** Bytes that still fit. */
  freeBytes = Number.POSITIVE_INFINITY;
  /** Whether `sync` does what it says. */
  honest = true;

  async read(): Promise<Buffer> {
    return Buffer.from(this.bytes);
  }

  async append(bytes: Buffer): Promise<void> {
    const fitting = bytes.subarray(0, this.freeBytes);
    this.bytes = Buffer.concat([this.bytes, fitting]);
    this.freeBytes -= fitting.length;
    if (fitting.length < bytes.length) throw Object.assign(new Error('no space left'), { code: 'ENOSPC' });
  }

  async sync(): Promise<void> {
    if (this.honest) this.synced = this.bytes.length;
  }

  async truncate(length: number): Promise<void> {
    this.bytes = this.bytes.subarray(0, length);
    this.synced = Math.min(this.synced, length);
  }

  async replace(bytes: Buffer): Promise<void> {
    this.bytes = Buffer.from(bytes);
    this.synced = bytes.length;
  }

  check(): void {}

  async close(): Promise<void> {}

  /** The power fails: `unsyncedBytes` of what was not synced are there all the same. */
  crash(unsyncedBytes = 0): void {
    this.bytes = this.bytes.subarray(0, Math.min(this.bytes.length, this.synced + unsyncedBytes));
  }
}

type FinalStatus = 'done' | 'cancelled';

interface ServiceJob {
  /** When it is done, in milliseconds. */
  end: number;
  final: FinalStatus | null;
  submissions: number;
}

/** The protocol's promises to users in a few lines: what is accepted runs once, and its end stays. */
export class Service {
  readonly jobs = new Map<string, ServiceJob>();

  /** `runMs`: how long each job runs. */
  constructor(private readonly runMs: number) {}

  answer(now: number, call: { method: string; path: string; body: string | null }): ServiceResponse {
    for (const job of this.jobs.values()) if (job.final === null && now >= job.end) job.final = 'done';
    if (call.path === '/work') return this.submit(now, call.body!);
    const [, , id, abort] = call.path.split('/');
    const job = this.jobs.get(id!);
    if (job === undefined) return { status: 404, body: '{"error":"no such job"}', retryAfterS: null };
    if (abort !== undefined) job.final ??= 'cancelled';
    return this.status(id!);
  }

  private submit(now: number, body: string): ServiceResponse {
    const { id, team } = parseJob(JSON.parse(body));
    if (team === 'nobody')
      return { status: 422, body: '{"error":"there is no team nobody"}', retryAfterS: null };
    const job = this.jobs.get(id) ?? { end: now + this.runMs, final: null, submissions: 0 };
    job.submissions++;
    this.jobs.set(id, job);
    return this.status(id);
  }

  private status(id: string): ServiceResponse {
    const final = this.jobs.get(id)!.final;
    const { status, body } = encodeUserResponse(
      final === null
        ? { kind: 'status', id: id as JobId, status: 'running', done: 0, running: 1 }
        : { kind: 'ended', id: id as JobId, status: final },
    );
    return { status, body, retryAfterS: null };
  }
}

/**
 * What the network does with a request; `answer` asks the service, now or later, and `respond` delivers a
 * response.
 */
export type Network = (
  send: SendEffect,
  answer: () => ServiceResponse,
  respond: (response: ServiceResponse | null) => void,
) => void;

/** Longer than any test. */
const FOREVER_MS = 1e9;

/** One process of a script: a session, its journal and its timers. */
export class Script {
  session!: Session;
  journal!: RequestJournal;
  readonly outcomes = new Map<string, Outcome[]>();
  readonly sends: SendEffect[] = [];
  readonly states: string[] = [];
  error: JournalError | null = null;
  private dead = false;
  /** Outcomes by the journal entry that must be on disk first. */
  private readonly unpublished = new Map<number, Outcome>();

  constructor(
    private readonly clock: { now: number },
    private readonly service: Service,
    private readonly network: Network,
  ) {}

  async start(disk: JournalFile, nodes: string[], random: () => number, perNode = 4): Promise<this> {
    this.session = new Session({ nodes, perNode, random });
    this.journal = await RequestJournal.open(disk, (error) => {
      this.error = error;
    });
    for (const job of this.journal.all())
      if (job.outcome === null) this.step({ kind: 'resume', job, acceptMs: FOREVER_MS, endMs: FOREVER_MS });
    return this;
  }

  /** Submits under a key once, in whatever process; returns the id. */
  submit(key: string, request = REQUEST, acceptMs = FOREVER_MS, endMs = FOREVER_MS): string {
    const journaled = this.journal.find(key);
    if (journaled !== undefined) return journaled.id;
    const id = newId();
    this.step({ kind: 'submit', id, key, body: bodyOf(id, request), acceptMs, endMs });
    return id;
  }

  step(input: Input): void {
    if (this.dead) return;
    for (const effect of this.session.step(this.clock.now, this.clock.now, input)) this.execute(effect);
  }

  wake(): void {
    if (this.session.nextWake <= this.clock.now) this.step({ kind: 'wake' });
  }

  kill(): void {
    this.dead = true;
  }

  private execute(effect: Effect): void {
    switch (effect.kind) {
      case 'persist':
        return this.journal.append(effect.entry, () => this.handlePersisted(effect.seq));
      case 'send':
        return this.send(effect);
      case 'state-changed':
        this.states.push(effect.state.phase);
        return;
      case 'outcome':
        if (effect.after > 0) this.unpublished.set(effect.after, effect.outcome);
        else this.publish(effect.outcome);
    }
  }

  private handlePersisted(seq: number): void {
    const outcome = this.unpublished.get(seq);
    if (outcome !== undefined && !this.dead) this.publish(outcome);
    this.step({ kind: 'persisted', upTo: seq });
  }

  private send(effect: SendEffect): void {
    this.sends.push(effect);
    this.network(
      effect,
      () => this.service.answer(this.clock.now, effect.call),
      (response) => this.step({ kind: 'response', tag: effect.tag, response }),
    );
  }

  private publish(outcome: Outcome): void {
    this.outcomes.set(outcome.id, [...(this.outcomes.get(outcome.id) ?? []), outcome]);
  }
}

/** Lets what waits for the fake disk go on. */
export const settle = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));
