// Interface to the progress of a new leader's failover, for components whose work depends on it.

/** Progress of the failover of a new leader. */
export interface RecoveryState {
  /** All records of the earlier terms have been read, so the recorded jobs and machines are in memory. */
  readonly isLoaded: boolean;
  /** Every recorded machine has sent a heartbeat under this term, or is certain to run no tasks. */
  readonly isComplete: boolean;
}
