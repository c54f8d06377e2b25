// What a controller may do under one of its terms; see docs/safety.md.

/** Answers what a controller may do under one term at the present moment. */
export interface TermAuthority {
  /** Whether the term stands and its leader lease is held, so that no other controller can be the leader. */
  holdsLease(): boolean;
  /** Whether tasks may be started. */
  mayStart(): boolean;
}
