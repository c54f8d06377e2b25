// Checks of arguments that several commands have.
import { isJobId } from '../protocol/job.ts';
import { InvalidSettingsError } from '../protocol/settings.ts';
import type { JobId } from '../types/index.ts';

const ADDRESS = /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/;

/** Checks a job's id; throws `InvalidSettingsError`. */
export function checkJobId(id: string): JobId {
  if (!isJobId(id)) throw new InvalidSettingsError(`${id}: a job id looks like run-000412`);
  return id;
}

/**
 * Checks an address; `expected` is the error text, which describes a valid one. Throws
 * `InvalidSettingsError`.
 */
export function checkAddress(address: string, expected: string): string {
  if (!ADDRESS.test(address)) throw new InvalidSettingsError(`${address}: ${expected}`);
  return address;
}
