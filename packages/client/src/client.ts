// Drives a session with sockets, timers and the outbox, and gives its callers promises.
import { HttpClient } from '../../../src/http/client.ts';
import { inOrder } from './dependency-order.ts';
import { openDisk } from './journal-file.ts';
import { bodyOf, newId } from './request.ts';
import { RequestJournal, type TornTail } from './request-journal.ts';
import { retryAfterS } from './retry-policy.ts';
import { type Effect, type Input, type Kept, Session } from './session.ts';
import {
  InvalidRequestError,
  type JobRequest,
  type JobState,
  type JournalError,
  type Outcome,
} from './types.ts';

export interface ClientOptions {
  /** Addresses of nodes or of their load balancer, `host:port`. Each is asked, and left for a while when it fails. */
  nodes: string[];
  /** File in which jobs are kept before they are sent; without it a script that ends forgets them. */
  outbox?: string;
  /** Connections to each node; default 8. */
  connections?: number;
  /** Submissions that may wait for acceptance before `submit` itself waits; default 1000. */
  pending?: number;
  /** Called before a new job is kept and sent, as to upload what its tasks need; the job is not sent if it fails. */
  prepare?: (id: string, request: JobRequest, key: string | null) => Promise<void>;
}

export interface SubmitOptions {
  /** The caller's own name for this job, the same whenever the script runs. With an outbox: submitted once under it. */
  key?: string;
  /** Id of the job; by default a new one. */
  id?: string;
  /** Seconds after which it is given up if it was not accepted; default 600. */
  acceptWithinS?: number;
  /** Seconds after which it is given up if it has not ended; default: never. The job itself goes on. */
  withinS?: number;
  /** Ends the caller's waiting (AbortError), not the job. */
  signal?: AbortSignal;
}

export interface Submitted {
  id: string;
  /** Null if it was accepted and goes on. */
  outcome: Outcome | null;
}

/** A job as this process knows it. */
interface Followed {
  accepted: boolean;
  state: JobState | null;
  outcome: Outcome | null;
  error: Error | null;
  /** It is to be cancelled, perhaps before the session knows of it. */
  cancel: boolean;
  /** Called at every news. */
  listeners: Set<() => void>;
}

const ACCEPT_S = 600;
const MAX_REPLY = 1 << 20;
const FOREVER = Number.POSITIVE_INFINITY;

export class Client {
  private readonly session: Session;
  private readonly lines = new Map<string, HttpClient>();
  private readonly followed = new Map<string, Followed>();
  private readonly told = new Map<number, Outcome>();
  /** Ids of keys that were used here. */
  private readonly keys = new Map<string, string>();
  private timer: NodeJS.Timeout | null = null;
  private armedFor = FOREVER;
  private outbox: RequestJournal | null = null;
  private failure: JournalError | null = null;
  private pending = 0;
  private readonly turns: (() => void)[] = [];
  private closed = false;

  private constructor(
    private readonly options: Required<Omit<ClientOptions, 'outbox' | 'prepare'>> &
      Pick<ClientOptions, 'prepare'>,
  ) {
    const { nodes, connections } = options;
    this.session = new Session({ nodes, perNode: connections, chance: Math.random });
    for (const n of nodes) this.lines.set(n, new HttpClient(n, connections, MAX_REPLY));
  }

  /** Reads the outbox, if there is one, and goes on with the jobs in it. Throws BadRequest or OutboxError. */
  static async open(options: ClientOptions): Promise<Client> {
    const bad = options.nodes.find((n) => !/^[^\s:]+:\d{1,5}$/.test(n));
    if (options.nodes.length === 0 || bad !== undefined)
      throw new InvalidRequestError(`${bad ?? 'nodes'}: addresses of nodes look like 10.0.0.1:8080`);
    const { outbox, ...rest } = options;
    const client = new Client({ connections: 8, pending: 1000, ...rest, nodes: [...new Set(rest.nodes)] });
    if (outbox !== undefined) await client.useOutbox(outbox);
    return client;
  }

  private async useOutbox(file: string): Promise<void> {
    const disk = await openDisk(file);
    try {
      this.outbox = await RequestJournal.open(disk, (e) => this.fail(e));
    } catch (e) {
      await disk.close();
      throw e;
    }
    for (const kept of this.outbox.all()) this.goOn(kept, ACCEPT_S * 1000, FOREVER);
  }

  /** What was found unfinished at the end of the outbox and cut off; null if nothing was. */
  get torn(): TornTail | null {
    return this.outbox?.torn ?? null;
  }

  /** Jobs of the outbox, in the order of their submission, with their outcomes as far as they are known. */
  jobs(): { id: string; key: string | null; outcome: Outcome | null }[] {
    return (this.outbox?.all() ?? []).map((k) => ({
      id: k.id,
      key: k.key,
      outcome: this.followed.get(k.id)?.outcome ?? k.outcome,
    }));
  }

  // ---- for callers

  /**
   * Submits a job and returns when it is accepted or has ended otherwise. Waits while too many others are not accepted
   * yet. With a `key` that the outbox knows, goes on with that job whatever the request says.
   */
  async submit(request: JobRequest, options: SubmitOptions = {}): Promise<Submitted> {
    this.check();
    const { key = null, signal } = options;
    const id = (key === null ? undefined : this.idOf(key)) ?? options.id ?? newId();
    const acceptMs = (options.acceptWithinS ?? ACCEPT_S) * 1000;
    const endMs = (options.withinS ?? FOREVER) * 1000;
    const kept = this.outbox?.get(id);
    if (kept !== undefined) this.goOn(kept, acceptMs, endMs);
    else if (!this.isOpen(id)) {
      const body = bodyOf(id, request);
      // From here on the id and the key are taken: the same submission made twice at once is one job.
      const f = this.follow(id);
      if (key !== null) this.keys.set(key, id);
      try {
        await this.turn(signal);
        await this.options.prepare?.(id, request, key);
        this.check();
      } catch (e) {
        // Nothing was kept or sent. Others who wait for the same are told the same.
        this.followed.delete(id);
        if (key !== null) this.keys.delete(key);
        f.error = e as Error;
        this.news(f);
        throw e;
      }
      this.pending++;
      this.step({ kind: 'submit', id, key, body, acceptMs, endMs });
      if (f.cancel) this.step({ kind: 'cancel', id });
    }
    const f = this.followed.get(id)!;
    await this.until(f, () => f.accepted || f.outcome !== null, signal);
    return { id, outcome: f.outcome };
  }

  /** Submits and waits for the end. */
  async run(request: JobRequest, options: SubmitOptions = {}): Promise<Outcome> {
    const { id, outcome } = await this.submit(request, options);
    return outcome ?? this.wait(id, options);
  }

  /** The job's one outcome. `withinS` counts if nobody here has asked for the job yet. */
  async wait(id: string, options: { signal?: AbortSignal; withinS?: number } = {}): Promise<Outcome> {
    const f = this.known(id, options.withinS);
    await this.until(f, () => f.outcome !== null, options.signal);
    return f.outcome!;
  }

  /** States as they change, the last one included; returns the outcome. A state that is overtaken may be left out. */
  async *watch(
    id: string,
    options: { signal?: AbortSignal; withinS?: number } = {},
  ): AsyncGenerator<JobState, Outcome> {
    const f = this.known(id, options.withinS);
    let last: JobState | null = null;
    for (;;) {
      await this.until(f, () => f.outcome !== null || f.state !== last, options.signal);
      if (f.state !== last && f.state !== null) yield f.state;
      else if (f.outcome !== null) return f.outcome;
      last = f.state;
    }
  }

  /** Asks for the end of a job and returns what the service settled on: cancelled, or done if that came first. */
  async cancel(id: string, options: { signal?: AbortSignal; withinS?: number } = {}): Promise<Outcome> {
    this.known(id, options.withinS).cancel = true;
    this.step({ kind: 'cancel', id });
    return this.wait(id, options);
  }

  /**
   * Jobs by name, of which each may await others by their names. Each is submitted as soon as all that it awaits are
   * accepted, and refused unsent if one of them is not. Names are keys of the outbox, after `options.key` and a slash.
   */
  async pipeline<N extends string>(
    jobs: Record<N, JobRequest>,
    options: Omit<SubmitOptions, 'id'> = {},
  ): Promise<Record<N, Outcome>> {
    const names = Object.keys(jobs) as N[];
    const order = inOrder(new Map(names.map((n) => [n, jobs[n].awaits ?? []]))) as N[];
    const keyOf = (n: N): string | null => (options.key === undefined ? null : `${options.key}/${n}`);
    const ids = new Map(names.map((n) => [n as string, this.idOf(keyOf(n) ?? '') ?? newId()] as const));
    const request = (n: N): JobRequest => {
      const awaits = jobs[n].awaits?.map((a) => ids.get(a)!);
      return awaits === undefined ? jobs[n] : { ...jobs[n], awaits };
    };
    // All of them are looked at before the first is sent.
    for (const n of names) bodyOf(ids.get(n)!, request(n));
    const accepted = new Map<string, Promise<Submitted>>();
    for (const n of order) {
      const needs = (jobs[n].awaits ?? []).map((a) => accepted.get(a)!);
      const key = keyOf(n);
      accepted.set(
        n,
        this.submitAfter(needs, request(n), {
          ...options,
          id: ids.get(n)!,
          ...(key === null ? {} : { key }),
        }),
      );
    }
    // Whichever fails first is told; the others must not be unhandled.
    for (const p of accepted.values()) p.catch(() => {});
    const ends = names.map(async (n) => {
      const { id, outcome } = await accepted.get(n)!;
      return [n, outcome ?? (await this.wait(id, options))] as const;
    });
    return Object.fromEntries(await Promise.all(ends)) as Record<N, Outcome>;
  }

  private async submitAfter(
    needs: Promise<Submitted>[],
    request: JobRequest,
    options: SubmitOptions & { id: string },
  ): Promise<Submitted> {
    for (const need of await Promise.all(needs)) {
      const o = need.outcome;
      if (o === null || o.kind === 'done') continue;
      const reason = `${need.id}, which it awaits, ${o.kind === 'cancelled' ? 'was cancelled' : `was not accepted: ${o.reason}`}`;
      return { id: options.id, outcome: { kind: 'refused', id: options.id, status: null, reason } };
    }
    return this.submit(request, options);
  }

  /** Ends all waiting here (AbortError). Jobs that were sent go on; those in the outbox are gone on with next time. */
  async close(): Promise<void> {
    this.closed = true;
    if (this.timer !== null) clearTimeout(this.timer);
    for (const f of this.followed.values()) this.news(f);
    for (const turn of this.turns.splice(0)) turn();
    for (const line of this.lines.values()) line.close();
    await this.outbox?.close();
  }

  // ---- jobs of this process

  private follow(id: string): Followed {
    const f: Followed = {
      accepted: false,
      state: null,
      outcome: null,
      error: null,
      cancel: false,
      listeners: new Set(),
    };
    this.followed.set(id, f);
    return f;
  }

  private isOpen(id: string): boolean {
    const f = this.followed.get(id);
    return f !== undefined && f.outcome?.kind !== 'gave-up';
  }

  private idOf(key: string): string | undefined {
    return this.keys.get(key) ?? this.outbox?.find(key)?.id;
  }

  private goOn(kept: Kept, acceptMs: number, endMs: number): void {
    if (this.isOpen(kept.id)) return;
    const f = this.follow(kept.id);
    f.accepted = kept.accepted;
    f.outcome = kept.outcome;
    if (f.outcome !== null) return;
    if (!f.accepted) this.pending++;
    this.step({ kind: 'resume', job: kept, acceptMs, endMs });
  }

  /** A job that is followed; one that others submitted is asked about from now on. */
  private known(id: string, withinS = FOREVER): Followed {
    this.check();
    if (!this.isOpen(id)) {
      const kept = this.outbox?.get(id);
      if (kept !== undefined) this.goOn(kept, ACCEPT_S * 1000, withinS * 1000);
      else {
        this.follow(id).accepted = true;
        const job: Kept = { id, key: null, body: null, accepted: true, cancel: false, outcome: null };
        this.step({ kind: 'resume', job, acceptMs: FOREVER, endMs: withinS * 1000 });
      }
    }
    return this.followed.get(id)!;
  }

  private check(): void {
    if (this.failure !== null) throw this.failure;
    if (this.closed) throw aborted('the client is closed');
  }

  /** Back-pressure: waits until few enough submissions are under way. */
  private async turn(signal: AbortSignal | undefined): Promise<void> {
    while (this.pending >= this.options.pending && !this.closed && this.failure === null) {
      signal?.throwIfAborted();
      await new Promise<void>((resolve) => {
        const go = (): void => {
          signal?.removeEventListener('abort', go);
          // A turn given to one who has gone away would be lost to the next.
          const i = this.turns.indexOf(go);
          if (i >= 0) this.turns.splice(i, 1);
          resolve();
        };
        signal?.addEventListener('abort', go, { once: true });
        this.turns.push(go);
      });
    }
    signal?.throwIfAborted();
  }

  private until(f: Followed, holds: () => boolean, signal: AbortSignal | undefined): Promise<void> {
    return new Promise((resolve, reject) => {
      const settled = (): boolean => {
        if (holds()) resolve();
        else if (f.error !== null) reject(f.error);
        else if (signal?.aborted) reject(signal.reason);
        else if (this.closed) reject(aborted('the client was closed'));
        else return false;
        return true;
      };
      if (settled()) return;
      const listen = (): void => {
        if (!settled()) return;
        f.listeners.delete(listen);
        signal?.removeEventListener('abort', listen);
      };
      f.listeners.add(listen);
      signal?.addEventListener('abort', listen, { once: true });
    });
  }

  private news(f: Followed): void {
    for (const l of [...f.listeners]) l();
  }

  /** The outbox can't be written: nothing more is sent, and whoever waits is told why. */
  private fail(e: JournalError): void {
    this.failure = e;
    for (const f of this.followed.values()) {
      if (f.outcome === null) f.error = e;
      this.news(f);
    }
    for (const turn of this.turns.splice(0)) turn();
  }

  // ---- the session

  private step(input: Input): void {
    if (this.closed || this.failure !== null) return;
    for (const e of this.session.step(performance.now(), Date.now(), input)) this.carryOut(e);
    this.arm();
  }

  private arm(): void {
    const next = this.session.nextWake;
    if (next === this.armedFor && this.timer !== null) return;
    if (this.timer !== null) clearTimeout(this.timer);
    this.armedFor = next;
    this.timer = null;
    if (next === FOREVER) return;
    this.timer = setTimeout(
      () => {
        this.timer = null;
        this.step({ kind: 'wake' });
      },
      // Longer ones would overflow; a wake too many does no harm.
      Math.min(1e9, Math.max(0, Math.ceil(next - performance.now()))),
    );
  }

  private carryOut(e: Effect): void {
    switch (e.kind) {
      case 'keep': {
        const done = (): void => this.kept(e.seq);
        if (this.outbox === null) queueMicrotask(done);
        else this.outbox.keep(e.entry, done);
        return;
      }
      case 'send':
        return this.lines.get(e.node)!.call({ ...e.call, timeoutMs: e.timeoutMs }, (r) => {
          const reply = r && {
            status: r.status,
            body: r.body.toString('utf8'),
            retryAfterS: retryAfterS(r.headers.get('retry-after')),
          };
          this.step({ kind: 'answer', tag: e.tag, reply });
        });
      case 'accepted':
        return this.accepted(this.followed.get(e.id)!);
      case 'store': {
        const f = this.followed.get(e.state.id)!;
        f.state = e.state;
        return this.news(f);
      }
      case 'outcome':
        if (e.after > 0) this.told.set(e.after, e.outcome);
        else this.ended(e.outcome);
    }
  }

  private accepted(f: Followed): void {
    if (!f.accepted) this.unpend();
    f.accepted = true;
    this.news(f);
  }

  private unpend(): void {
    this.pending--;
    this.turns.shift()?.();
  }

  private kept(seq: number): void {
    const outcome = this.told.get(seq);
    this.told.delete(seq);
    if (outcome !== undefined) this.ended(outcome);
    this.step({ kind: 'kept', upTo: seq });
  }

  private ended(outcome: Outcome): void {
    const f = this.followed.get(outcome.id)!;
    if (!f.accepted) this.unpend();
    f.accepted = true;
    f.outcome = outcome;
    this.news(f);
  }
}

const aborted = (message: string): Error => new DOMException(message, 'AbortError');
