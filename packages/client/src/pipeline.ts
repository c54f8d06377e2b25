// Jobs that await one another by name: each is submitted as soon as all that it awaits are accepted.
import type { SubmitOptions, Submitted } from './client-options.ts';
import { inOrder } from './dependency-order.ts';
import { bodyOf } from './request.ts';
import type { JobRequest, Outcome } from './types.ts';

/** What a pipeline needs of the client. */
export interface PipelineClient {
  submit(request: JobRequest, options: SubmitOptions): Promise<Submitted>;
  wait(id: string, options: SubmitOptions): Promise<Outcome>;
  /** The id of the job that was submitted under this key, or a new one. */
  idFor(key: string | null): string;
}

/** Options of all jobs of a pipeline. */
export type PipelineOptions = Omit<SubmitOptions, 'id'>;

/** One run of a pipeline whose jobs have the names `N`. */
export class Pipeline<N extends string> {
  private readonly names: N[];
  private readonly order: N[];
  private readonly ids: ReadonlyMap<string, string>;
  private readonly submissions = new Map<string, Promise<Submitted>>();

  /**
   * Throws InvalidRequestError if a job cannot be right, or awaits itself or an unknown one; nothing was sent
   * then.
   */
  constructor(
    private readonly client: PipelineClient,
    private readonly jobs: Record<N, JobRequest>,
    private readonly options: PipelineOptions,
  ) {
    this.names = Object.keys(jobs) as N[];
    this.order = inOrder(new Map(this.names.map((name) => [name, jobs[name].awaits ?? []]))) as N[];
    this.ids = new Map(this.names.map((name) => [name, client.idFor(this.keyOf(name))]));
    // All of them are checked before the first is sent.
    for (const name of this.names) bodyOf(this.idOf(name), this.requestOf(name));
  }

  /** Submits the jobs and resolves with their outcomes; rejects with the first error. */
  async run(): Promise<Record<N, Outcome>> {
    for (const name of this.order) this.submissions.set(name, this.submitInTurn(name));
    // The caller gets the first failure; the others must not be unhandled.
    for (const submission of this.submissions.values()) submission.catch(() => {});
    const outcomes = this.names.map(async (name) => [name, await this.outcomeOf(name)] as const);
    return Object.fromEntries(await Promise.all(outcomes)) as Record<N, Outcome>;
  }

  private idOf(name: string): string {
    return this.ids.get(name)!;
  }

  private keyOf(name: N): string | null {
    return this.options.key === undefined ? null : `${this.options.key}/${name}`;
  }

  /** The request with ids in place of names. */
  private requestOf(name: N): JobRequest {
    const request = this.jobs[name];
    if (request.awaits === undefined) return request;
    return { ...request, awaits: request.awaits.map((awaited) => this.idOf(awaited)) };
  }

  private submitInTurn(name: N): Promise<Submitted> {
    const awaited = (this.jobs[name].awaits ?? []).map((other) => this.submissions.get(other)!);
    const key = this.keyOf(name);
    return this.submitAfter(awaited, this.requestOf(name), {
      ...this.options,
      id: this.idOf(name),
      ...(key === null ? {} : { key }),
    });
  }

  private async submitAfter(
    awaited: Promise<Submitted>[],
    request: JobRequest,
    options: SubmitOptions & { id: string },
  ): Promise<Submitted> {
    for (const { id, outcome } of await Promise.all(awaited)) {
      if (outcome === null || outcome.kind === 'done') continue;
      const what = outcome.kind === 'cancelled' ? 'was cancelled' : `was not accepted: ${outcome.reason}`;
      const reason = `${id}, which it awaits, ${what}`;
      return { id: options.id, outcome: { kind: 'refused', id: options.id, status: null, reason } };
    }
    return this.client.submit(request, options);
  }

  private async outcomeOf(name: N): Promise<Outcome> {
    const { id, outcome } = await this.submissions.get(name)!;
    return outcome ?? this.client.wait(id, this.options);
  }
}
