// How usage accounting is stored: each value holds the totals of many pairs of a team and a class. Joined
// names, short field names and tuples belong to the stored form alone.
import type { StoreItem } from '../base/model.ts';

/** Keys of the stored totals. */
export const USAGE_PREFIX = 'u/';

/** Classes are named by users: longer names are cut, so that no name makes a value too large to write. */
export const MAX_ACCOUNT_NAME_LENGTH = 60;

/**
 * Bytes that one account takes at most: a name of three-byte characters, four numbers, and what is around
 * them.
 */
export const MAX_ACCOUNT_BYTES = 3 * MAX_ACCOUNT_NAME_LENGTH + 100;

/** Names the account of a team and a class. */
export type AccountName = string & { readonly __brand: 'AccountName' };

/** Separates the team from the class; names of teams do not contain it. */
const SEPARATOR = '|';

/** What became of the work of a team in a class, as far as it has ended. */
export interface WorkTotals {
  /** Jobs with a final state. */
  jobsEnded: number;
  /** Of these the ones that are done. */
  jobsDone: number;
  /** Tasks of jobs that are done. */
  tasksDone: number;
  /** CPU seconds of tasks that completed. */
  cpuS: number;
}

type StoredTotals = [jobsEnded: number, jobsDone: number, tasksDone: number, cpuS: number];

interface StoredAccounts {
  a?: Record<string, StoredTotals>;
}

/** The account of a team and a class; its name is cut if it is too long. */
export const accountName = (team: string, className: string): AccountName =>
  `${team}${SEPARATOR}${className}`.slice(0, MAX_ACCOUNT_NAME_LENGTH) as AccountName;

/** Team and class of an account, as far as its name was not cut. */
export function splitAccountName(name: AccountName): { team: string; className: string } {
  const at = name.indexOf(SEPARATOR);
  if (at < 0) return { team: name, className: '' };
  return { team: name.slice(0, at), className: name.slice(at + 1) };
}

/** The value in which these totals are stored, in their order. */
export function encodeAccounts(accounts: Iterable<[AccountName, WorkTotals]>): Record<string, unknown> {
  const stored: Record<string, StoredTotals> = {};
  for (const [name, { jobsEnded, jobsDone, tasksDone, cpuS }] of accounts)
    stored[name] = [jobsEnded, jobsDone, tasksDone, cpuS];
  return { a: stored };
}

/** The totals in a stored value, in their order; what is missing counts as 0. */
export function decodeAccounts(item: StoreItem): [AccountName, WorkTotals][] {
  const { a: stored = {} } = item.value as StoredAccounts;
  return Object.entries(stored).map(([name, totals]) => [
    name as AccountName,
    {
      jobsEnded: totals[0] ?? 0,
      jobsDone: totals[1] ?? 0,
      tasksDone: totals[2] ?? 0,
      cpuS: totals[3] ?? 0,
    },
  ]);
}
