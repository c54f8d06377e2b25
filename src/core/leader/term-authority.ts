// Interface to the checks of what a controller may do under one of its terms; see docs/safety.md.

/** Checks what a controller may do under one term at the time of the call. */
export interface TermAuthority {
  /** Whether the term has not ended and its lease is held, so that no other controller can be the leader. */
  holdsLease(): boolean;
  /** Whether tasks may be started. */
  mayStart(): boolean;
}
