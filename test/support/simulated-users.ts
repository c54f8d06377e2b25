// Simulated users: send requests to nodes, retry them, and record the responses.
import type { JobSpec, UserRequest, UserResponse } from '../../src/core/base/model.ts';
import type { JobId } from '../../src/types/index.ts';
import type { RuleChecker } from './rule-checker.ts';
import type { SimulatedControllers } from './simulated-controllers.ts';
import type { SimulatedNetwork } from './simulated-network.ts';

/** A job that a user has submitted, whether or not it was accepted. */
export interface SubmittedJob {
  spec: JobSpec;
  /** Simulated time at which its user received the confirmation of the cancellation, in milliseconds. */
  cancelledAt: number | null;
}

/** A pending request; `answer` is null until the response arrives. */
export interface PendingResponse {
  answer: UserResponse | null;
}

/** The parts of a simulated world that its users need. */
export interface UserEnvironment {
  readonly now: number;
  readonly network: SimulatedNetwork;
  readonly controllers: SimulatedControllers;
  readonly jobs: Map<string, SubmittedJob>;
  readonly rules: RuleChecker | null;
  readonly onUserResponse: ((response: UserResponse) => void) | null;
  run(seconds: number): void;
  until(condition: () => boolean, seconds: number): boolean;
}

const STATUS_TIMEOUT_MS = 2000;
const CHANGE_TIMEOUT_MS = 5000;
const RESPONSE_WAIT_S = 5;
const RETRY_DELAY_S = 1;

/** Sends the requests of all users of a simulated world. */
export class SimulatedUsers {
  constructor(private readonly environment: UserEnvironment) {}

  /** Sends a request to a node, without retries. */
  sendRequest(node: string, request: UserRequest): PendingResponse {
    const { environment } = this;
    const pending: PendingResponse = { answer: null };
    const sentAt = environment.now;
    environment.rules?.onRequest(sentAt, request);
    if (request.op === 'submit') this.recordSubmission(request.spec);
    environment.network.call<UserResponse>(
      'user',
      node,
      request.op === 'status' ? STATUS_TIMEOUT_MS : CHANGE_TIMEOUT_MS,
      (respond) =>
        environment.controllers.request(
          node,
          (requestId) => ({ kind: 'user', requestId, request }),
          (response: UserResponse) => respond(response),
        ),
      (response) => {
        pending.answer = response;
        if (response !== null) this.onResponse(request, sentAt, response);
      },
    );
    return pending;
  }

  /** Repeats a request until the response is not `retry`; returns null if all attempts fail. */
  requestUntilAnswered(request: UserRequest, node: string, attempts: number): UserResponse | null {
    for (let i = 0; i < attempts; i++) {
      const pending = this.sendRequest(node, request);
      this.environment.until(() => pending.answer !== null, RESPONSE_WAIT_S);
      if (pending.answer !== null && pending.answer.kind !== 'retry') return pending.answer;
      this.environment.run(RETRY_DELAY_S);
    }
    return null;
  }

  private recordSubmission(spec: JobSpec): void {
    const { jobs } = this.environment;
    if (!jobs.has(spec.id)) jobs.set(spec.id, { spec, cancelledAt: null });
  }

  private onResponse(request: UserRequest, sentAt: number, response: UserResponse): void {
    const { now, rules, onUserResponse, jobs } = this.environment;
    rules?.onResponse(now, sentAt, request, response);
    onUserResponse?.(response);
    if (response.kind !== 'ended' || response.status !== 'cancelled') return;
    const cancelled = jobs.get(response.id as JobId);
    if (cancelled !== undefined) cancelled.cancelledAt ??= now;
  }
}
