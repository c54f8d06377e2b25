// Users' requests with no leader in reach: the records still tell a job's state, and new jobs can be put on
// record.
import type { FallbackAdmission } from '../admission/fallback-admission.ts';
import type { UserRequest } from '../base/model.ts';
import { retryLater } from '../base/responses.ts';
import type { UserResponder } from '../leader/responders.ts';
import type { JobRecordReader } from '../storage/job-record-reader.ts';

/** Serves users' requests from the records alone. */
export class LeaderlessRequests {
  constructor(
    private readonly jobRecords: JobRecordReader,
    private readonly fallbackAdmission: FallbackAdmission,
  ) {}

  serve(request: UserRequest, respond: UserResponder): void {
    switch (request.op) {
      case 'status':
        return this.jobRecords.readStatus(request.id, respond);
      case 'submit':
        return this.fallbackAdmission.accept(request.spec, respond);
      case 'cancel':
        return this.cancel(request.id, respond);
    }
  }

  /** Only the leader cancels; but a job that is over, or that nobody knows, needs none. */
  private cancel(id: Extract<UserRequest, { op: 'cancel' }>['id'], respond: UserResponder): void {
    this.jobRecords.readStatus(id, (response) => {
      const isOpen = response.kind === 'status';
      respond(isOpen ? retryLater('no controller can take this at the moment') : response);
    });
  }
}
