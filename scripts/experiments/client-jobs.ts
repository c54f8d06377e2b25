// What the experiment `client` and its script agree on about the `n`th job.

/** The job is of a team that does not exist, so it is refused. */
export const hasUnknownTeam = (n: number): boolean => n % 7 === 3;

/** Tasks of the job. */
export const tasksOf = (n: number): number => 1 + (n % 3);
