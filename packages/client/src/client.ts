// The library's client: jobs as promises, over a session that sends, retries and polls.
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

const DEFAULT_CONNECTIONS = 8;
const DEFAULT_PENDING = 1000;
const DEFAULT_ACCEPT_S = 600;
const FOREVER = Number.POSITIVE_INFINITY;
const NODE_ADDRESS = /^[^\s:]+:\d{1,5}$/;

type CheckedOptions = Required<Omit<ClientOptions, 'outbox' | 'prepare'>> & Pick<ClientOptions, 'prepare'>;

/** A new job on its way to the session. */
interface NewJob {
  readonly id: string;
  readonly key: string | null;
  readonly request: JobRequest;
  readonly timeouts: CallerTimeouts;
  readonly signal: AbortSignal | undefined;
}

/** Submits, watches and cancels jobs; every job has exactly one outcome. */
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
   * Reads the journal, if there is one, and resumes the jobs in it. Throws InvalidRequestError or
   * JournalError.
   */
  static async open(options: ClientOptions): Promise<Client> {
    const invalid = options.nodes.find((node) => !NODE_ADDRESS.test(node));
    if (options.nodes.length === 0 || invalid !== undefined)
      throw new InvalidRequestError(`${invalid ?? 'nodes'}: addresses of nodes look like 10.0.0.1:8080`);
    const { outbox, ...rest } = options;
    const client = new Client({
      connections: DEFAULT_CONNECTIONS,
      pending: DEFAULT_PENDING,
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

  /** What was found unfinished at the end of the journal and cut off; null if nothing was. */
  get torn(): TornTail | null {
    return this.driver.journal?.torn ?? null;
  }

  /** Jobs of the journal, in the order of their submission, with their outcomes as far as they are known. */
  jobs(): JournalSummary[] {
    const journaled = this.driver.journal?.all() ?? [];
    return journaled.map(({ id, key, outcome }) => ({
      id,
      key,
      outcome: this.registry.get(id)?.outcome ?? outcome,
    }));
  }

  /**
   * Submits a job and returns when it is accepted or has ended otherwise. Waits while too many others are not
   * accepted yet. With a `key` that the journal knows, resumes that job whatever the request says.
   */
  async submit(request: JobRequest, options: SubmitOptions = {}): Promise<Submitted> {
    this.checkUsable();
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

  /** Submits and waits for the end. */
  async run(request: JobRequest, options: SubmitOptions = {}): Promise<Outcome> {
    const { id, outcome } = await this.submit(request, options);
    return outcome ?? this.wait(id, options);
  }

  /** The job's one outcome. `withinS` counts if nobody here has asked for the job yet. */
  async wait(id: string, options: WaitOptions = {}): Promise<Outcome> {
    const handle = this.track(id, options);
    await handle.waitUntil(() => handle.outcome !== null, options.signal);
    return handle.outcome!;
  }

  /**
   * States as they change, the last one included; returns the outcome. A state that is overtaken may be left
   * out.
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
   * Asks for the end of a job and returns what the service settled on: cancelled, or done if that came first.
   */
  async cancel(id: string, options: WaitOptions = {}): Promise<Outcome> {
    this.track(id, options).cancelRequested = true;
    this.driver.step({ kind: 'cancel', id });
    return this.wait(id, options);
  }

  /**
   * Jobs by name, of which each may await others by their names. Each is submitted as soon as all that it
   * awaits are accepted, and refused unsent if one of them is not. Names are keys of the journal, after
   * `options.key` and a slash.
   */
  async pipeline<N extends string>(
    jobs: Record<N, JobRequest>,
    options: PipelineOptions = {},
  ): Promise<Record<N, Outcome>> {
    const client = {
      submit: (request: JobRequest, submitOptions: SubmitOptions) => this.submit(request, submitOptions),
      wait: (id: string, waitOptions: WaitOptions) => this.wait(id, waitOptions),
      idFor: (key: string | null) => this.idOf(key ?? '') ?? newId(),
    };
    return new Pipeline(client, jobs, options).run();
  }

  /**
   * Ends all waiting here (AbortError). Jobs that were sent go on; those in the journal are resumed next
   * time.
   */
  async close(): Promise<void> {
    this.driver.stop();
    this.registry.close();
    await this.driver.close();
  }

  // ---- jobs of this process

  private checkUsable(): void {
    if (this.driver.failure !== null) throw this.driver.failure;
    if (this.driver.isStopped) throw abortError('the client is closed');
  }

  private idOf(key: string): string | undefined {
    return this.registry.idOf(key) ?? this.driver.journal?.find(key)?.id;
  }

  private async submitNew({ id, key, request, timeouts, signal }: NewJob): Promise<JobHandle> {
    const body = bodyOf(id, request);
    // From here on the id and the key are taken: the same submission made twice at once is one job.
    const handle = this.registry.add(id, key);
    try {
      await this.limiter.waitForTurn(signal);
      await this.options.prepare?.(id, request, key);
      this.checkUsable();
    } catch (error) {
      // Nothing was recorded or sent. Others who wait for the same job get the same error.
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

  /** The handle of a job; one that others submitted is polled from now on. */
  private track(id: string, options: WaitOptions): JobHandle {
    this.checkUsable();
    if (!this.registry.isTracked(id)) {
      const journaled = this.driver.journal?.get(id);
      if (journaled !== undefined) this.resume(journaled, timeoutsOf(options.withinS));
      else this.trackForeign(id, options);
    }
    return this.registry.get(id)!;
  }

  private trackForeign(id: string, options: WaitOptions): void {
    this.registry.add(id, null).accepted = true;
    const job: JournaledJob = {
      id,
      key: null,
      body: null,
      accepted: true,
      cancelRequested: false,
      outcome: null,
    };
    this.driver.step({ kind: 'resume', job, ...timeoutsOf(options.withinS), acceptMs: FOREVER });
  }
}

/** The caller's durations in seconds, with the defaults, as the session takes them. */
const timeoutsOf = (withinS = FOREVER, acceptWithinS = DEFAULT_ACCEPT_S): CallerTimeouts => ({
  acceptMs: acceptWithinS * 1000,
  endMs: withinS * 1000,
});
