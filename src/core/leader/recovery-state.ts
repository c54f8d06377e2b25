// How far a new leader has come with its failover, for the parts whose work depends on it.

/** How far the failover of a new leader has come. */
export interface RecoveryState {
  /** All records of the earlier terms have been read: jobs and machines are known. */
  readonly isLoaded: boolean;
  /** Every recorded machine has sent a heartbeat under this term, or is certainly empty. */
  readonly isComplete: boolean;
}
