// Handles users' requests at the leader: submissions, status requests and cancellations, served under the
// current term.
import type { JobId } from '../../types/index.ts';
import type { LoadShedder } from '../admission/load-shedder.ts';
import type { JobSpec, UserRequest } from '../base/model.ts';
import { retryLater } from '../base/responses.ts';
import type { LeaderTerm } from '../leader/leader-term.ts';
import type { UserResponder } from '../leader/responders.ts';
import type { JobRecordReader } from '../storage/job-record-reader.ts';
import type { LeaderlessRequests } from './leaderless-requests.ts';
import type { Leadership } from './leadership.ts';

/** Dependencies of {@link LeaderRequests}. */
export interface LeaderRequestsDependencies {
  leadership: Leadership;
  loadShedder: LoadShedder;
  jobRecords: JobRecordReader;
  leaderless: LeaderlessRequests;
}

type StatusRequest = Extract<UserRequest, { op: 'status' }>;

/** Serves users' requests under a term of this controller. */
export class LeaderRequests {
  private readonly leadership: Leadership;
  private readonly loadShedder: LoadShedder;
  private readonly jobRecords: JobRecordReader;
  private readonly leaderless: LeaderlessRequests;

  constructor(dependencies: LeaderRequestsDependencies) {
    this.leadership = dependencies.leadership;
    this.loadShedder = dependencies.loadShedder;
    this.jobRecords = dependencies.jobRecords;
    this.leaderless = dependencies.leaderless;
  }

  /** Serves the request under the term; the caller has checked that no other controller can be the leader. */
  serve(term: LeaderTerm, request: UserRequest, respond: UserResponder): void {
    if (term.failover.isUnreadable) return respond(retryLater('a record on file cannot be read'));
    if (!term.failover.isLoaded) return this.leaderless.serve(request, respond);
    switch (request.op) {
      case 'submit':
        return this.submit(term, request.spec, respond);
      case 'status':
        return this.status(term, request, respond);
      case 'cancel':
        return this.cancel(term, request.id, respond);
    }
  }

  /**
   * Starts a cancellation that cannot be confirmed to the user yet. A leader without its lease or without the
   * state service cannot confirm it, but machines still execute its commands: the tasks of the job are
   * stopped now, and the cancellation is recorded once the record can be written, if the term has not ended
   * by then.
   */
  cancelUnconfirmed(request: UserRequest): void {
    const { leaderTerm } = this.leadership;
    if (request.op !== 'cancel' || leaderTerm === null || !leaderTerm.failover.isLoaded) return;
    const job = leaderTerm.jobs.openJobs.get(request.id);
    if (job === undefined || job.isCancelling || job.isWritingRecord) return;
    leaderTerm.jobs.cancel(job, () => {});
  }

  private submit(term: LeaderTerm, spec: JobSpec, respond: UserResponder): void {
    if (this.loadShedder.isMemoryShort && term.userRequests.status(spec.id) === null)
      return respond(this.loadShedder.outOfMemoryResponse());
    term.userRequests.submit(spec, respond);
  }

  private status(term: LeaderTerm, request: StatusRequest, respond: UserResponder): void {
    const job = term.jobs.openJobs.get(request.id);
    // The write that ends or cancels the job is in progress: respond once its result is known.
    if (job?.terminalWrite?.progress === 'sent') {
      job.afterWriteCallbacks.push(() => this.serveAgain(term, request, respond));
      return;
    }
    const known = term.userRequests.status(request.id);
    if (known === null) this.jobRecords.readStatus(request.id, respond);
    else respond(known);
  }

  private serveAgain(term: LeaderTerm, request: UserRequest, respond: UserResponder): void {
    if (this.leadership.currentTerm === term) this.serve(term, request, respond);
    else this.leaderless.serve(request, respond);
  }

  private cancel(term: LeaderTerm, id: JobId, respond: UserResponder): void {
    const job = term.jobs.openJobs.get(id);
    if (job !== undefined) return term.jobs.cancel(job, respond);
    const known = term.userRequests.status(id);
    if (known !== null) return respond(known);
    this.jobRecords.readStatus(id, (response) =>
      respond(response.kind === 'status' ? retryLater('the job is being accepted') : response),
    );
  }
}
