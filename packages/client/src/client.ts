// The library's main class: a promise-based interface over a session that sends, retries and polls.
import type {
  ClientOptions,
  JournalSummary,
  SubmitOptions,
  Submitted,
  WaitOptions,
} from './client-options.ts';
import { abortError, type JobHandle } from './job-handle.ts';
import { JobRegistry } from './job-registry.ts';
import { Pipeline, type PipelineOptions } from './pipeline.ts';
import { bodyOf, newId } from './request.ts';
import type { TornTail } from './request-journal.ts';
import { SessionDriver } from './session-driver.ts';
import type { JournaledJob } from './session-messages.ts';
import { SubmissionLimiter } from './submission-limiter.ts';
import type { CallerTimeouts } from './tracked-job.ts';
import { InvalidRequestError, type JobRequest, type JobState, type Outcome } from './types.ts';

const DEFAULT_CONNECTIONS_PER_NODE = 8;
const DEFAULT_MAX_PENDING = 1000;
const DEFAULT_ACCEPT_TIMEOUT_S = 600;
const NO_TIMEOUT = Number.POSITIVE_INFINITY;
const NODE_ADDRESS = /^[^\s:]+:\d{1,5}$/;

/** Validated options with the defaults filled in. */
type CheckedOptions = Required<Omit<ClientOptions, 'outbox' | 'prepare'>> & Pick<ClientOptions, 'prepare'>;

/** A new job that was not passed to the session yet. */
interface NewJob {
  readonly id: string;
  readonly key: string | null;
  readonly request: JobRequest;
  readonly timeouts: CallerTimeouts;
  readonly signal: AbortSignal | undefined;
}

/** Submits, watches and cancels jobs. Every job has exactly one outcome. */
export class Client {
  private readonly limiter: SubmissionLimiter;
  private readonly registry: JobRegistry;
  private readonly driver: SessionDriver;

  private constructor(private readonly options: CheckedOptions) {
    this.limiter = new SubmissionLimiter(options.pending);
    this.registry = new JobRegistry(this.limiter);
    this.driver = new SessionDriver(options, this.registry);
  }

  /**
   * Creates a client. With the option `outbox`, reads the journal and resumes the jobs in it. Throws
   * InvalidRequestError if the addresses are invalid, or JournalError if the journal cannot be opened.
   */
  static async open(options: ClientOptions): Promise<Client> {
    const invalidAddress = options.nodes.find((node) => !NODE_ADDRESS.test(node));
    if (options.nodes.length === 0 || invalidAddress !== undefined)
      throw new InvalidRequestError(
        `${invalidAddress ?? 'nodes'}: expected node addresses of the form host:port, such as 10.0.0.1:8080`,
      );
    const { outbox, ...rest } = options;
    const client = new Client({
      connections: DEFAULT_CONNECTIONS_PER_NODE,
      pending: DEFAULT_MAX_PENDING,
      ...rest,
      nodes: [...new Set(rest.nodes)],
    });
    if (outbox !== undefined) await client.openJournal(outbox);
    return client;
  }

  private async openJournal(fileName: string): Promise<void> {
    const journal = await this.driver.openJournal(fileName);
    for (const job of journal.all()) this.resume(job, timeoutsOf(undefined));
  }

  /** The incomplete record that was cut off the end of the journal on opening; null if there was none. */
  get torn(): TornTail | null {
    return this.driver.journal?.torn ?? null;
  }

  /** Jobs in the journal, in the order of their submission, with the outcomes known so far. */
  jobs(): JournalSummary[] {
    const journaled = this.driver.journal?.all() ?? [];
    return journaled.map(({ id, key, outcome }) => ({
      id,
      key,
      outcome: this.registry.get(id)?.outcome ?? outcome,
    }));
  }

  /**
   * Submits a job and resolves when it is accepted or has an outcome. Waits first while too many earlier
   * submissions are not accepted yet. If the journal has a job under `key`, resumes that job and ignores the
   * request.
   */
  async submit(request: JobRequest, options: SubmitOptions = {}): Promise<Submitted> {
    this.throwIfUnusable();
    const { key = null, signal } = options;
    const id = (key === null ? undefined : this.idOf(key)) ?? options.id ?? newId();
    const timeouts = timeoutsOf(options.withinS, options.acceptWithinS);
    const journaled = this.driver.journal?.get(id);
    if (journaled !== undefined) this.resume(journaled, timeouts);
    const isNew = journaled === undefined && !this.registry.isTracked(id);
    const handle = isNew
      ? await this.submitNew({ id, key, request, timeouts, signal })
      : this.registry.get(id)!;
    await handle.waitUntil(() => handle.accepted || handle.outcome !== null, signal);
    return { id, outcome: handle.outcome };
  }

  /** Submits a job and waits for its outcome. */
  async run(request: JobRequest, options: SubmitOptions = {}): Promise<Outcome> {
    const { id, outcome } = await this.submit(request, options);
    return outcome ?? this.wait(id, options);
  }

  /**
   * Resolves with the outcome of the job. `withinS` has an effect only if this client does not track the job
   * yet.
   */
  async wait(id: string, options: WaitOptions = {}): Promise<Outcome> {
    const handle = this.track(id, options);
    await handle.waitUntil(() => handle.outcome !== null, options.signal);
    return handle.outcome!;
  }

  /**
   * Yields the state of the job each time it changes, the final state included, and returns the outcome. A
   * state may be skipped if it was replaced by a newer one in the meantime.
   */
  async *watch(id: string, options: WaitOptions = {}): AsyncGenerator<JobState, Outcome> {
    const handle = this.track(id, options);
    let last: JobState | null = null;
    for (;;) {
      await handle.waitUntil(() => handle.outcome !== null || handle.state !== last, options.signal);
      if (handle.state !== last && handle.state !== null) yield handle.state;
      else if (handle.outcome !== null) return handle.outcome;
      last = handle.state;
    }
  }

  /**
   * Requests the cancellation of a job and resolves with the outcome that the service reports: cancelled, or
   * done if the job completed first.
   */
  async cancel(id: string, options: WaitOptions = {}): Promise<Outcome> {
    this.track(id, options).cancelRequested = true;
    this.driver.step({ kind: 'cancel', id });
    return this.wait(id, options);
  }

  /**
   * Runs named jobs, whose `awaits` list the names of other jobs in the pipeline, and resolves with their
   * outcomes. Each job is submitted as soon as all its dependencies are accepted; if one of them is not, it
   * gets the outcome `refused` without being sent. The journal key of a job is `options.key`, a slash and its
   * name.
   */
  async pipeline<Name extends string>(
    jobs: Record<Name, JobRequest>,
    options: PipelineOptions = {},
  ): Promise<Record<Name, Outcome>> {
    const client = {
      submit: (request: JobRequest, submitOptions: SubmitOptions) => this.submit(request, submitOptions),
      wait: (id: string, waitOptions: WaitOptions) => this.wait(id, waitOptions),
      idFor: (key: string | null) => this.idOf(key ?? '') ?? newId(),
    };
    return new Pipeline(client, jobs, options).run();
  }

  /**
   * Closes the client. Pending calls reject with an AbortError. Jobs that were sent go on; those in the
   * journal are resumed by the next client that opens it.
   */
  async close(): Promise<void> {
    this.driver.stop();
    this.registry.close();
    await this.driver.close();
  }

  // ---- jobs tracked by this client

  private throwIfUnusable(): void {
    if (this.driver.failure !== null) throw this.driver.failure;
    if (this.driver.isStopped) throw abortError('the client is closed');
  }

  private idOf(key: string): string | undefined {
    return this.registry.idOf(key) ?? this.driver.journal?.getByKey(key)?.id;
  }

  private async submitNew({ id, key, request, timeouts, signal }: NewJob): Promise<JobHandle> {
    const body = bodyOf(id, request);
    // The id and the key are reserved before the first wait, so that two concurrent submissions with the same
    // key or id are one job.
    const handle = this.registry.add(id, key);
    try {
      await this.limiter.waitForTurn(signal);
      await this.options.prepare?.(id, request, key);
      this.throwIfUnusable();
    } catch (error) {
      // Nothing was recorded or sent. Concurrent calls that wait for the same job reject with the same error.
      this.registry.discard(id, key, error as Error);
      throw error;
    }
    this.limiter.acquire();
    this.driver.step({ kind: 'submit', id, key, body, ...timeouts });
    if (handle.cancelRequested) this.driver.step({ kind: 'cancel', id });
    return handle;
  }

  private resume(job: JournaledJob, timeouts: CallerTimeouts): void {
    if (this.registry.isTracked(job.id)) return;
    const handle = this.registry.add(job.id, null);
    handle.accepted = job.accepted;
    handle.outcome = job.outcome;
    if (handle.outcome !== null) return;
    if (!handle.accepted) this.limiter.acquire();
    this.driver.step({ kind: 'resume', job, ...timeouts });
  }

  /** The handle of a job. A job that this client does not track yet is polled from now on. */
  private track(id: string, options: WaitOptions): JobHandle {
    this.throwIfUnusable();
    if (!this.registry.isTracked(id)) {
      const journaled = this.driver.journal?.get(id);
      if (journaled !== undefined) this.resume(journaled, timeoutsOf(options.withinS));
      else this.trackExternal(id, options);
    }
    return this.registry.get(id)!;
  }

  /** Tracks a job that was submitted by another client. */
  private trackExternal(id: string, options: WaitOptions): void {
    this.registry.add(id, null).accepted = true;
    const job: JournaledJob = {
      id,
      key: null,
      body: null,
      accepted: true,
      cancelRequested: false,
      outcome: null,
    };
    this.driver.step({ kind: 'resume', job, ...timeoutsOf(options.withinS), acceptMs: NO_TIMEOUT });
  }
}

/** Converts the caller's time-outs from seconds to milliseconds, with defaults for those left out. */
const timeoutsOf = (withinS = NO_TIMEOUT, acceptWithinS = DEFAULT_ACCEPT_TIMEOUT_S): CallerTimeouts => ({
  acceptMs: acceptWithinS * 1000,
  endMs: withinS * 1000,
});
