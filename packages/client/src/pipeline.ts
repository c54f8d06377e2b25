// Submits jobs that depend on one another by name, each as soon as all its dependencies are accepted.
import type { SubmitOptions, Submitted } from './client-options.ts';
import { topologicalOrder } from './dependency-order.ts';
import { bodyOf } from './request.ts';
import type { JobRequest, Outcome } from './types.ts';

/** The client's methods that a pipeline uses. */
export interface PipelineClient {
  submit(request: JobRequest, options: SubmitOptions): Promise<Submitted>;
  wait(id: string, options: SubmitOptions): Promise<Outcome>;
  /** The id of the job that was submitted under this key, or a new id. */
  idFor(key: string | null): string;
}

/** Options that apply to each job of a pipeline. */
export type PipelineOptions = Omit<SubmitOptions, 'id'>;

/** One run of a pipeline. `Name`: the names of its jobs. */
export class Pipeline<Name extends string> {
  private readonly names: Name[];
  private readonly order: Name[];
  private readonly ids: ReadonlyMap<string, string>;
  private readonly submissions = new Map<string, Promise<Submitted>>();

  /**
   * Throws InvalidRequestError if a request is invalid, a dependency is not in the pipeline or dependencies
   * form a cycle. Nothing was sent in that case.
   */
  constructor(
    private readonly client: PipelineClient,
    private readonly jobs: Record<Name, JobRequest>,
    private readonly options: PipelineOptions,
  ) {
    this.names = Object.keys(jobs) as Name[];
    this.order = topologicalOrder(
      new Map(this.names.map((name) => [name, jobs[name].awaits ?? []])),
    ) as Name[];
    this.ids = new Map(this.names.map((name) => [name, client.idFor(this.keyOf(name))]));
    // Encoding validates a request: all are validated before the first is sent.
    for (const name of this.names) bodyOf(this.idOf(name), this.requestOf(name));
  }

  /** Submits the jobs and resolves with their outcomes; rejects with the first error. */
  async run(): Promise<Record<Name, Outcome>> {
    for (const name of this.order) this.submissions.set(name, this.submitAfterDependencies(name));
    // The caller gets the first rejection; the others must not become unhandled rejections.
    for (const submission of this.submissions.values()) submission.catch(() => {});
    const outcomes = this.names.map(async (name) => [name, await this.outcomeOf(name)] as const);
    return Object.fromEntries(await Promise.all(outcomes)) as Record<Name, Outcome>;
  }

  private idOf(name: string): string {
    return this.ids.get(name)!;
  }

  private keyOf(name: Name): string | null {
    return this.options.key === undefined ? null : `${this.options.key}/${name}`;
  }

  /** The request of a job, with `awaits` translated from names to ids. */
  private requestOf(name: Name): JobRequest {
    const request = this.jobs[name];
    if (request.awaits === undefined) return request;
    return { ...request, awaits: request.awaits.map((dependency) => this.idOf(dependency)) };
  }

  private submitAfterDependencies(name: Name): Promise<Submitted> {
    const dependencies = (this.jobs[name].awaits ?? []).map(
      (dependency) => this.submissions.get(dependency)!,
    );
    const key = this.keyOf(name);
    return this.submitAfter(dependencies, this.requestOf(name), {
      ...this.options,
      id: this.idOf(name),
      ...(key === null ? {} : { key }),
    });
  }

  private async submitAfter(
    dependencies: Promise<Submitted>[],
    request: JobRequest,
    options: SubmitOptions & { id: string },
  ): Promise<Submitted> {
    for (const { id, outcome } of await Promise.all(dependencies)) {
      if (outcome === null || outcome.kind === 'done') continue;
      const problem = outcome.kind === 'cancelled' ? 'was cancelled' : `was not accepted: ${outcome.reason}`;
      const reason = `${id}, which it awaits, ${problem}`;
      return { id: options.id, outcome: { kind: 'refused', id: options.id, status: null, reason } };
    }
    return this.client.submit(request, options);
  }

  private async outcomeOf(name: Name): Promise<Outcome> {
    const { id, outcome } = await this.submissions.get(name)!;
    return outcome ?? this.client.wait(id, this.options);
  }
}
