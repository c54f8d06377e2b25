// Stored form of usage accounting: each value holds the totals of many accounts, one for each pair of a team
// and a class. The joined names, short field names and tuples are used in the stored form only.
import type { StoreItem } from '../base/model.ts';

/** Prefix of the keys under which the totals are stored. */
export const USAGE_PREFIX = 'u/';

/** Users choose class names: longer account names are truncated, so that no value gets too large to write. */
export const MAX_ACCOUNT_NAME_LENGTH = 60;

/**
 * Maximum number of bytes of a stored account: a name of three-byte characters, four numbers and JSON
 * punctuation.
 */
export const MAX_ACCOUNT_BYTES = 3 * MAX_ACCOUNT_NAME_LENGTH + 100;

/** Name of the account of a team and a class. */
export type AccountName = string & { readonly __brand: 'AccountName' };

/** Separates the team from the class in an account name; names of teams do not contain it. */
const SEPARATOR = '|';

/** Totals of the ended jobs of a team in a class. */
export interface WorkTotals {
  /** Jobs with a final state. */
  jobsEnded: number;
  /** The ones among them that succeeded (`done`). */
  jobsDone: number;
  /** Tasks of the jobs that succeeded. */
  tasksDone: number;
  /** CPU seconds of tasks that completed. */
  cpuS: number;
}

type StoredTotals = [jobsEnded: number, jobsDone: number, tasksDone: number, cpuS: number];

interface StoredAccounts {
  a?: Record<string, StoredTotals>;
}

/** The name of the account of a team and a class, truncated if it is too long. */
export const accountName = (team: string, className: string): AccountName =>
  `${team}${SEPARATOR}${className}`.slice(0, MAX_ACCOUNT_NAME_LENGTH) as AccountName;

/** Team and class of an account; truncated if the account name was. */
export function splitAccountName(name: AccountName): { team: string; className: string } {
  const separatorIndex = name.indexOf(SEPARATOR);
  if (separatorIndex < 0) return { team: name, className: '' };
  return { team: name.slice(0, separatorIndex), className: name.slice(separatorIndex + 1) };
}

/** Encodes the totals of these accounts as one value, in the given order. */
export function encodeAccounts(accounts: Iterable<[AccountName, WorkTotals]>): Record<string, unknown> {
  const stored: Record<string, StoredTotals> = {};
  for (const [name, { jobsEnded, jobsDone, tasksDone, cpuS }] of accounts)
    stored[name] = [jobsEnded, jobsDone, tasksDone, cpuS];
  return { a: stored };
}

/** Decodes the totals in a stored value, in their stored order; missing numbers count as 0. */
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
