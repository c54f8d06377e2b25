// Reads jobs from a file: JSON (one job or a list), JSON lines, or HCL (`job "name" { ... }`).
import { createHash } from 'node:crypto';
import type { JobRequest } from '../../packages/client/src/index.ts';
import { InvalidSettingsError } from '../protocol/settings.ts';

/** A job in a job file. */
export interface FileJob {
  /** The name that the file gives it, or else its position in the file, such as `line 3`. */
  name: string;
  /**
   * Idempotency key, derived from the content of the job: equal whenever the unchanged job is read again,
   * different once the job was edited.
   */
  key: string;
  request: JobRequest;
  /** The program and the arguments that its tasks run in a local cluster. */
  command: string[] | null;
}

/** A job file. */
export interface JobFile {
  jobs: FileJob[];
  /**
   * Idempotency key of the file, derived from the keys of all jobs; the prefix of the keys of a pipeline's
   * jobs.
   */
  key: string;
  /** Whether a job of the file waits for another one of the file, given by its name. */
  pipeline: boolean;
}

/** A job in the file before validation. */
interface RawJob {
  name: string;
  fields: unknown;
}

type Fields = Record<string, unknown>;

const HASH_LENGTH = 16;

/** Reads JSON or JSON lines; throws `InvalidSettingsError`, naming the file. */
export const fromJson = (file: string, text: string): JobFile => jobFile(file, rawJobsOfJson(file, text));

/** Reads the parsed form of HCL; throws `InvalidSettingsError`, naming the file. */
export function fromHcl(file: string, parsed: unknown): JobFile {
  const { job: jobs, ...rest } = (parsed ?? {}) as Fields;
  const other = Object.keys(rest)[0];
  if (other !== undefined)
    throw new InvalidSettingsError(
      `${file}: ${other}: unknown name, expected only job "name" { ... } blocks`,
    );
  const blocksByName = Object.entries((jobs ?? {}) as Record<string, unknown[]>);
  const rawJobs = blocksByName.flatMap(([name, blocks]) => blocks.map((fields) => ({ name, fields })));
  return jobFile(file, rawJobs);
}

function jobFile(file: string, rawJobs: RawJob[]): JobFile {
  if (rawJobs.length === 0) throw new InvalidSettingsError(`${file}: the file contains no job`);
  const copies = new Map<string, number>();
  const jobs = rawJobs.map((raw) => {
    const { hash, ...job } = readJob(file, raw);
    const copy = copies.get(hash) ?? 0;
    copies.set(hash, copy + 1);
    return { ...job, key: copy === 0 ? hash : `${hash}.${copy}` };
  });
  const names = new Set(jobs.map((job) => job.name));
  if (names.size < jobs.length) throw new InvalidSettingsError(`${file}: two jobs have the same name`);
  return {
    jobs,
    key: hashOf(jobs.map((job) => job.key)),
    pipeline: jobs.some((job) => job.request.awaits?.some((awaited) => names.has(awaited))),
  };
}

function readJob(file: string, { name, fields }: RawJob): Omit<FileJob, 'key'> & { hash: string } {
  if (typeof fields !== 'object' || fields === null || Array.isArray(fields))
    throw new InvalidSettingsError(`${file}: ${name}: expected an object with the fields of a job`);
  const { name: _, command: rawCommand, ...request } = fields as Fields;
  const command = readCommand(file, name, rawCommand);
  const hash = hashOf([name, request, command]);
  return { name, hash, request: request as unknown as JobRequest, command };
}

const hashOf = (value: unknown): string =>
  createHash('sha256').update(JSON.stringify(value)).digest('hex').slice(0, HASH_LENGTH);

function readCommand(file: string, name: string, value: unknown): string[] | null {
  if (value === undefined || value === null) return null;
  if (typeof value === 'string') return ['/bin/sh', '-c', value];
  const isArguments =
    Array.isArray(value) && value.length > 0 && value.every((argument) => typeof argument === 'string');
  if (isArguments) return value;
  throw new InvalidSettingsError(
    `${file}: ${name}: command: expected a shell command line, or a list of a program and its arguments`,
  );
}

function rawJobsOfJson(file: string, text: string): RawJob[] {
  const trimmed = text.trim();
  const parsedText = parseJsonOrUndefined(trimmed);
  if (parsedText !== undefined) {
    const jobs = Array.isArray(parsedText) ? parsedText : [parsedText];
    return jobs.map((fields, index) => rawJob(fields, `job ${index + 1}`));
  }
  const lines = trimmed.split('\n').filter((line) => line.trim() !== '');
  return lines.map((line, index) => {
    const fields = parseJsonOrUndefined(line);
    if (fields === undefined) throw new InvalidSettingsError(`${file}: line ${index + 1} is not JSON`);
    return rawJob(fields, `line ${index + 1}`);
  });
}

function rawJob(fields: unknown, defaultName: string): RawJob {
  const name = (fields as Fields | null)?.name;
  return { name: typeof name === 'string' ? name : defaultName, fields };
}

function parseJsonOrUndefined(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
