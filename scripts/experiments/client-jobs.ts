// Properties of the nth job, shared by the experiment `client` and the script that it starts.

/** Whether the job belongs to a team that does not exist and is therefore refused. */
export const hasUnknownTeam = (n: number): boolean => n % 7 === 3;

/** Number of tasks of the job. */
export const tasksOf = (n: number): number => 1 + (n % 3);
