// Deadlines for responses to users: a request that is still unanswered at its deadline gets a `retry`
// response.
import { addMs, type Instant } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { UserResponse } from '../base/model.ts';
import { retryLater } from '../base/responses.ts';
import type { UserResponder } from '../leader/responders.ts';
import type { JobRecordReader } from '../storage/job-record-reader.ts';

interface OpenRequest {
  respond: UserResponder;
  deadline: Instant;
}

/** Tracks the deadlines of users' requests that have not been answered yet. */
export class ResponseDeadlines {
  private readonly openRequests = new Set<OpenRequest>();

  constructor(
    private readonly io: ControllerIo,
    private readonly jobRecords: JobRecordReader,
  ) {}

  /**
   * Returns a responder that responds at most once; if it is not called within `timeoutMs`, the user gets a
   * `retry` response.
   */
  withTimeout(timeoutMs: number, respond: UserResponder): UserResponder {
    const request: OpenRequest = { respond, deadline: addMs(this.io.now, timeoutMs) };
    this.openRequests.add(request);
    return (response: UserResponse) => {
      if (!this.openRequests.delete(request)) return;
      this.jobRecords.cacheFinalState(response);
      respond(response);
    };
  }

  /** Responds to the requests whose deadline has passed. */
  tick(): void {
    for (const request of this.openRequests) {
      if (this.io.now < request.deadline) continue;
      this.openRequests.delete(request);
      request.respond(retryLater('no answer in time from within the service'));
    }
  }
}
