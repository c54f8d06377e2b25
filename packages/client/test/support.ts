// Test doubles for the client library: a service, a disk that loses unsynced bytes in a crash, and a script
// that runs a session on them. The test controls the clock.
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

/**
 * A journal file in memory. `crash` keeps the synced bytes and as many unsynced ones as the test requests.
 */
export class FakeDisk implements JournalFile {
  readonly name = 'outbox';
  bytes = Buffer.alloc(0);
  /** Number of bytes that survive a crash. */
  syncedLength = 0;
  /** Bytes that can still be appended before the disk is full. */
  freeBytes = Number.POSITIVE_INFINITY;
  /** Whether `sync` makes the bytes survive a crash. */
  syncIsEffective = true;

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
    if (this.syncIsEffective) this.syncedLength = this.bytes.length;
  }

  async truncate(length: number): Promise<void> {
    this.bytes = this.bytes.subarray(0, length);
    this.syncedLength = Math.min(this.syncedLength, length);
  }

  async replace(bytes: Buffer): Promise<void> {
    this.bytes = Buffer.from(bytes);
    this.syncedLength = bytes.length;
  }

  checkWritable(): void {}

  async close(): Promise<void> {}

  /** Simulates a power failure, which `unsyncedBytes` of the unsynced bytes survive. */
  crash(unsyncedBytes = 0): void {
    this.bytes = this.bytes.subarray(0, Math.min(this.bytes.length, this.syncedLength + unsyncedBytes));
  }
}

type FinalStatus = 'done' | 'cancelled';

interface ServiceJob {
  /** Time at which the job is done, in milliseconds. */
  endsAtMs: number;
  final: FinalStatus | null;
  submissions: number;
}

/**
 * Minimal service with the guarantees of the protocol: an accepted job runs once, and its final status stays.
 */
export class Service {
  readonly jobs = new Map<string, ServiceJob>();

  /** `runMs`: run time of each job. */
  constructor(private readonly runMs: number) {}

  answer(now: number, call: { method: string; path: string; body: string | null }): ServiceResponse {
    for (const job of this.jobs.values()) if (job.final === null && now >= job.endsAtMs) job.final = 'done';
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
    const job = this.jobs.get(id) ?? { endsAtMs: now + this.runMs, final: null, submissions: 0 };
    job.submissions++;
    this.jobs.set(id, job);
    return this.status(id);
  }

  private status(id: string): ServiceResponse {
    const finalStatus = this.jobs.get(id)!.final;
    const { status, body } = encodeUserResponse(
      finalStatus === null
        ? { kind: 'status', id: id as JobId, status: 'running', done: 0, running: 1 }
        : { kind: 'ended', id: id as JobId, status: finalStatus },
    );
    return { status, body, retryAfterS: null };
  }
}

/**
 * Simulated handling of a request by the network. `answer` delivers the request to the service and returns
 * its response; `respond` delivers a response to the script. The network may call either later.
 */
export type Network = (
  send: SendEffect,
  answer: () => ServiceResponse,
  respond: (response: ServiceResponse | null) => void,
) => void;

/** A time-out longer than any test. */
const NO_TIMEOUT_MS = 1e9;

/** One process of a script: a session, its journal and its timers. */
export class Script {
  session!: Session;
  journal!: RequestJournal;
  readonly outcomes = new Map<string, Outcome[]>();
  readonly sends: SendEffect[] = [];
  readonly states: string[] = [];
  error: JournalError | null = null;
  private isKilled = false;
  /** Outcomes to be published when a journal entry is on disk, by the number of that entry. */
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
      if (job.outcome === null)
        this.step({ kind: 'resume', job, acceptMs: NO_TIMEOUT_MS, endMs: NO_TIMEOUT_MS });
    return this;
  }

  /** Submits a job unless the journal has one under the key; returns its id. */
  submit(key: string, request = REQUEST, acceptMs = NO_TIMEOUT_MS, endMs = NO_TIMEOUT_MS): string {
    const journaled = this.journal.getByKey(key);
    if (journaled !== undefined) return journaled.id;
    const id = newId();
    this.step({ kind: 'submit', id, key, body: bodyOf(id, request), acceptMs, endMs });
    return id;
  }

  step(input: Input): void {
    if (this.isKilled) return;
    for (const effect of this.session.step(this.clock.now, this.clock.now, input)) this.execute(effect);
  }

  wake(): void {
    if (this.session.nextWake <= this.clock.now) this.step({ kind: 'wake' });
  }

  kill(): void {
    this.isKilled = true;
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
        if (effect.afterSeq > 0) this.unpublished.set(effect.afterSeq, effect.outcome);
        else this.publish(effect.outcome);
    }
  }

  private handlePersisted(seq: number): void {
    const outcome = this.unpublished.get(seq);
    if (outcome !== undefined && !this.isKilled) this.publish(outcome);
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

/** Resolves after pending operations of the fake disk have completed. */
export const waitForWrites = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));
