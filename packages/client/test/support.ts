// A service as its users see it, a disk that forgets what was not synced, and a script on them, on a clock of the test's.
import { parseJob } from '../../../src/protocol/job.ts';
import { encodeUserResponse } from '../../../src/protocol/user-response.ts';
import type { JobId } from '../../../src/types/index.ts';
import { bodyOf, newId } from '../src/request.ts';
import { type Disk, RequestJournal } from '../src/request-journal.ts';
import { type Effect, type Input, type Reply, Session } from '../src/session.ts';
import type { JobRequest, JournalError, Outcome } from '../src/types.ts';

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
export class FakeDisk implements Disk {
  readonly name = 'outbox';
  bytes = Buffer.alloc(0);
  synced = 0;
  /** Bytes that still fit. */
  room = Number.POSITIVE_INFINITY;
  /** Whether `sync` does what it says. */
  honest = true;

  async read(): Promise<Buffer> {
    return Buffer.from(this.bytes);
  }
  async append(bytes: Buffer): Promise<void> {
    const part = bytes.subarray(0, this.room);
    this.bytes = Buffer.concat([this.bytes, part]);
    this.room -= part.length;
    if (part.length < bytes.length) throw Object.assign(new Error('no space left'), { code: 'ENOSPC' });
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
  crash(left = 0): void {
    this.bytes = this.bytes.subarray(0, Math.min(this.bytes.length, this.synced + left));
  }
}

type Final = 'done' | 'cancelled';

/** The protocol's promises to users in a few lines: what is accepted runs once, and its end stays. */
export class Service {
  readonly jobs = new Map<string, { end: number; final: Final | null; submissions: number }>();
  constructor(private readonly runMs: number) {}

  answer(now: number, call: { method: string; path: string; body: string | null }): Reply {
    for (const j of this.jobs.values()) if (j.final === null && now >= j.end) j.final = 'done';
    if (call.path === '/work') {
      const { id, team } = parseJob(JSON.parse(call.body!));
      if (team === 'nobody')
        return { status: 422, body: '{"error":"there is no team nobody"}', retryAfterS: null };
      const job = this.jobs.get(id) ?? { end: now + this.runMs, final: null, submissions: 0 };
      job.submissions++;
      this.jobs.set(id, job);
      return this.status(id);
    }
    const [, , id, abort] = call.path.split('/');
    const job = this.jobs.get(id!);
    if (job === undefined) return { status: 404, body: '{"error":"no such job"}', retryAfterS: null };
    if (abort !== undefined) job.final ??= 'cancelled';
    return this.status(id!);
  }

  private status(id: string): Reply {
    const final = this.jobs.get(id)!.final;
    const { status, body } = encodeUserResponse(
      final === null
        ? { kind: 'status', id: id as JobId, status: 'running', done: 0, running: 1 }
        : { kind: 'ended', id: id as JobId, status: final },
    );
    return { status, body, retryAfterS: null };
  }
}

/** What the way to a node does with a call; `answer` asks the service, now or later. */
export type Network = (
  send: Extract<Effect, { kind: 'send' }>,
  answer: () => Reply,
  back: (reply: Reply | null) => void,
) => void;

/** One life of a script: a session, its outbox and its timers. */
export class Script {
  session!: Session;
  outbox!: RequestJournal;
  readonly outcomes = new Map<string, Outcome[]>();
  readonly sends: Extract<Effect, { kind: 'send' }>[] = [];
  readonly states: string[] = [];
  error: JournalError | null = null;
  private dead = false;
  private readonly told = new Map<number, Outcome>();

  constructor(
    private readonly clock: { now: number },
    private readonly service: Service,
    private readonly network: Network,
  ) {}

  async start(disk: Disk, nodes: string[], chance: () => number, perNode = 4): Promise<this> {
    this.session = new Session({ nodes, perNode, chance });
    this.outbox = await RequestJournal.open(disk, (e) => {
      this.error = e;
    });
    for (const job of this.outbox.all())
      if (job.outcome === null) this.step({ kind: 'resume', job, acceptMs: 1e9, endMs: 1e9 });
    return this;
  }

  /** Submits under a key once, in whatever life. */
  submit(key: string, request = REQUEST, acceptMs = 1e9, endMs = 1e9): string {
    const kept = this.outbox.find(key);
    if (kept !== undefined) return kept.id;
    const id = newId();
    this.step({ kind: 'submit', id, key, body: bodyOf(id, request), acceptMs, endMs });
    return id;
  }

  step(input: Input): void {
    if (this.dead) return;
    for (const e of this.session.step(this.clock.now, this.clock.now, input)) this.carryOut(e);
  }

  wake(): void {
    if (this.session.nextWake <= this.clock.now) this.step({ kind: 'wake' });
  }

  kill(): void {
    this.dead = true;
  }

  private carryOut(e: Effect): void {
    if (e.kind === 'keep')
      this.outbox.keep(e.entry, () => {
        const outcome = this.told.get(e.seq);
        if (outcome !== undefined && !this.dead) this.tell(outcome);
        this.step({ kind: 'kept', upTo: e.seq });
      });
    else if (e.kind === 'send') {
      this.sends.push(e);
      this.network(
        e,
        () => this.service.answer(this.clock.now, e.call),
        (reply) => this.step({ kind: 'answer', tag: e.tag, reply }),
      );
    } else if (e.kind === 'store') this.states.push(e.state.phase);
    else if (e.kind === 'outcome') {
      if (e.after > 0) this.told.set(e.after, e.outcome);
      else this.tell(e.outcome);
    }
  }

  private tell(outcome: Outcome): void {
    this.outcomes.set(outcome.id, [...(this.outcomes.get(outcome.id) ?? []), outcome]);
  }
}

/** Lets what waits for the fake disk go on. */
export const settle = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));
