// Checks the arguments that several commands take.
import { isJobId } from '../protocol/job.ts';
import { InvalidSettingsError } from '../protocol/settings.ts';
import type { JobId } from '../types/index.ts';

const ADDRESS = /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/;

/** A job's id; throws `InvalidSettingsError`. */
export function checkJobId(id: string): JobId {
  if (!isJobId(id)) throw new InvalidSettingsError(`${id}: a job id looks like run-000412`);
  return id;
}

/** An address; `expected` says whose it is and what one looks like. Throws `InvalidSettingsError`. */
export function checkAddress(address: string, expected: string): string {
  if (!ADDRESS.test(address)) throw new InvalidSettingsError(`${address}: ${expected}`);
  return address;
}
