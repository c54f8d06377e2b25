// Jobs from a file: JSON (one job or a list), JSON lines, or HCL (`job "name" { ... }`).
import { createHash } from 'node:crypto';
import type { JobRequest } from '../../packages/client/src/index.ts';
import { InvalidSettingsError } from '../protocol/settings.ts';

export interface FileJob {
  /** Its name in the file, or its place there. */
  name: string;
  /** The same for the same job of the same file, however often it is read; another one when the job is edited. */
  key: string;
  request: JobRequest;
  /** What its tasks run in a lab: program and arguments. */
  command: string[] | null;
}

/** `awaits` that name jobs of the file are theirs; `pipeline` says whether there are any. */
export interface JobFile {
  jobs: FileJob[];
  /** The same for the same jobs: what keys of a pipeline begin with. */
  key: string;
  pipeline: boolean;
}

type Fields = Record<string, unknown>;

const hashOf = (what: unknown): string =>
  createHash('sha256').update(JSON.stringify(what)).digest('hex').slice(0, 16);

function jobsOf(file: string, named: Named[]): JobFile {
  if (named.length === 0) throw new InvalidSettingsError(`${file}: there is no job in it`);
  const seen = new Map<string, number>();
  const jobs = named.map(({ name, fields }) => {
    if (typeof fields !== 'object' || fields === null || Array.isArray(fields))
      throw new InvalidSettingsError(`${file}: ${name}: a job is an object`);
    // A named job keeps its name, so that others can await it by it.
    const { name: _, command: given, ...request } = fields as Fields;
    const command = commandOf(file, name, given);
    const hash = hashOf([name, request, command]);
    const nth = seen.get(hash) ?? 0;
    seen.set(hash, nth + 1);
    return {
      name,
      key: nth === 0 ? hash : `${hash}.${nth}`,
      request: request as unknown as JobRequest,
      command,
    };
  });
  const names = new Set(jobs.map((j) => j.name));
  if (names.size < jobs.length) throw new InvalidSettingsError(`${file}: two jobs have the same name`);
  return {
    jobs,
    key: hashOf(jobs.map((j) => j.key)),
    pipeline: jobs.some((j) => j.request.awaits?.some((a) => names.has(a))),
  };
}

function commandOf(file: string, name: string, given: unknown): string[] | null {
  if (given === undefined || given === null) return null;
  if (typeof given === 'string') return ['/bin/sh', '-c', given];
  if (Array.isArray(given) && given.length > 0 && given.every((x) => typeof x === 'string')) return given;
  throw new InvalidSettingsError(
    `${file}: ${name}: command is a line for the shell, or a list of program and arguments`,
  );
}

interface Named {
  name: string;
  fields: unknown;
}

export const fromJson = (file: string, text: string): JobFile => jobsOf(file, namedInJson(file, text));

function namedInJson(file: string, text: string): Named[] {
  const trimmed = text.trim();
  const lines = trimmed.split('\n').filter((l) => l.trim() !== '');
  const whole = tryJson(trimmed);
  if (whole !== undefined) return (Array.isArray(whole) ? whole : [whole]).map(named('job'));
  return lines.map((l, i) => {
    const value = tryJson(l);
    if (value === undefined) throw new InvalidSettingsError(`${file}: line ${i + 1} is not JSON`);
    return named('line')(value, i);
  });
}

const named =
  (what: string) =>
  (fields: unknown, i: number): Named => {
    const name = (fields as Fields | null)?.name;
    return { name: typeof name === 'string' ? name : `${what} ${i + 1}`, fields };
  };

function tryJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Of the parsed form. */
export function fromHcl(file: string, parsed: unknown): JobFile {
  const { job, ...rest } = (parsed ?? {}) as Fields;
  const other = Object.keys(rest)[0];
  if (other !== undefined)
    throw new InvalidSettingsError(`${file}: ${other}: only job "name" { ... } blocks`);
  const named = Object.entries((job ?? {}) as Record<string, unknown[]>).flatMap(([name, blocks]) =>
    blocks.map((fields) => ({ name, fields })),
  );
  return jobsOf(file, named);
}
