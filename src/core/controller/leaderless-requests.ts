// Handles users' requests while no leader can be reached: the status of a job is read from its record, and
// new jobs are recorded in the store.
import type { FallbackAdmission } from '../admission/fallback-admission.ts';
import type { UserRequest } from '../base/model.ts';
import { retryLater } from '../base/responses.ts';
import type { UserResponder } from '../leader/responders.ts';
import type { JobRecordReader } from '../storage/job-record-reader.ts';

/** Serves users' requests from the stored records, without a leader. */
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

  /** Only the leader can cancel an open job; a job that has ended or does not exist needs no leader. */
  private cancel(id: Extract<UserRequest, { op: 'cancel' }>['id'], respond: UserResponder): void {
    this.jobRecords.readStatus(id, (response) => {
      const isOpen = response.kind === 'status';
      respond(isOpen ? retryLater('no controller can take this at the moment') : response);
    });
  }
}
