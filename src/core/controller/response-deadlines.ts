// Users' requests are answered in time, whatever happens inside the service: with a retry when nothing else
// has come.
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

/** Holds the deadlines of the users' requests that are not answered yet. */
export class ResponseDeadlines {
  private readonly openRequests = new Set<OpenRequest>();

  constructor(
    private readonly io: ControllerIo,
    private readonly jobRecords: JobRecordReader,
  ) {}

  /** A responder that answers once; if it is not called within the time, the response is to retry. */
  within(timeoutMs: number, respond: UserResponder): UserResponder {
    const request: OpenRequest = { respond, deadline: addMs(this.io.now, timeoutMs) };
    this.openRequests.add(request);
    return (response: UserResponse) => {
      if (!this.openRequests.delete(request)) return;
      this.jobRecords.cacheFinalState(response);
      respond(response);
    };
  }

  /** Answers the requests whose time is up. */
  tick(): void {
    for (const request of this.openRequests) {
      if (this.io.now < request.deadline) continue;
      this.openRequests.delete(request);
      request.respond(retryLater('no answer in time from within the service'));
    }
  }
}
