// Parses the platform's settings file (JSON). Fields that are used are validated strictly; unknown fields are
// ignored.
import * as v from 'valibot';
import type { Objective, Settings, StoreLimits } from '../core/base/model.ts';
import { SwiftfordError } from '../types/errors.ts';
import type { NodeId, TeamName, ZoneName } from '../types/index.ts';

/**
 * A settings or input file, an option or an argument is invalid. The operator sees only the text, so it names
 * the file and the key.
 */
export class InvalidSettingsError extends SwiftfordError {
  readonly code = 'INVALID_SETTINGS';
  /** Keeps the established printed form `Error: FILE: KEY: ...`, instead of the name of this class. */
  override readonly name = 'Error';
}

const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));
const positiveInteger = v.pipe(positive, v.integer());
const name = v.pipe(v.string(), v.minLength(1));
const address = v.pipe(
  v.string(),
  v.regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'must look like 10.0.0.1:8080'),
);

const peer = v.object({ node: name, location: v.optional(v.string(), ''), peer_addr: address });
const team = v.object({
  name,
  cpus: v.nullish(amount, 0),
  cpus_max: v.nullish(amount, 0),
  gpus: v.nullish(amount, 0),
  gpus_max: v.nullish(amount, 0),
});
const objective = v.object({
  kind: name,
  class: v.nullish(v.string()),
  within_s: v.nullish(amount),
  share: v.nullish(amount),
  times: v.nullish(amount),
});
const workers = v.object({
  report_s: positive,
  lease_s: positive,
  gang_wait_s: positive,
  gang_peer_s: positive,
  cancel_s: positive,
});
/** Limits of the store that are announced for later. The time of the change is not announced. */
const nextStoreLimits = v.object({
  rps: v.nullish(positive),
  write_rps: v.nullish(positive),
  value_kb: v.nullish(positive),
  txn_ops: v.nullish(positiveInteger),
});
const store = v.object({
  rps: positive,
  write_rps: positive,
  value_kb: positive,
  txn_ops: positiveInteger,
  next: v.nullish(nextStoreLimits),
});

const DEFAULT_SOCKETS = 1000;
const processLimits = v.object({
  sockets: v.optional(positive, DEFAULT_SOCKETS),
  ram_mb: v.nullish(positive),
});

const settingsFile = v.object({
  node: name,
  location: name,
  bind: address,
  internal_addr: address,
  others: v.optional(v.array(peer), []),
  outside: v.object({ cloud: address, state: address }),
  params: v.object({
    zones: v.optional(v.array(name), []),
    teams: v.array(team),
    objectives: v.optional(v.array(objective), []),
    workers,
    state: store,
    cloud: v.object({ rps: positive, list_lag_s: amount }),
    limits: v.optional(processLimits, { sockets: DEFAULT_SOCKETS }),
  }),
});

type SettingsFile = v.InferOutput<typeof settingsFile>;
type StoreSettings = v.InferOutput<typeof store>;

/**
 * The lower of the limits in force and the announced ones. They may change at any time, so all values written
 * must already fit both.
 */
function safeStoreLimits(limits: StoreSettings): StoreLimits {
  const { next } = limits;
  const lower = (current: number, upcoming: number | null | undefined) =>
    Math.min(current, upcoming ?? current);
  return {
    requestsPerS: lower(limits.rps, next?.rps),
    writesPerS: lower(limits.write_rps, next?.write_rps),
    maxValueKb: lower(limits.value_kb, next?.value_kb),
    maxTransactionOps: lower(limits.txn_ops, next?.txn_ops),
  };
}

function describeIssue(file: string, issue: v.BaseIssue<unknown>): string {
  const path = issue.path?.map((segment) => String(segment.key)).join('.') ?? '(whole file)';
  return `${file}: ${path}: ${issue.message}`;
}

function parseJson(file: string, text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (cause) {
    throw new InvalidSettingsError(`${file}: not JSON: ${(cause as Error).message}`, { cause });
  }
}

/**
 * Parses the text of a settings file; throws `InvalidSettingsError` with the name `file` and the invalid key.
 */
export function parseSettings(file: string, text: string): Settings {
  const checked = v.safeParse(settingsFile, parseJson(file, text));
  if (!checked.success) throw new InvalidSettingsError(describeIssue(file, checked.issues[0]));
  return settingsOf(checked.output);
}

function settingsOf(file: SettingsFile): Settings {
  const { params } = file;
  return {
    node: file.node as NodeId,
    zone: file.location as ZoneName,
    listen: file.bind,
    peerListen: file.internal_addr,
    peers: file.others.map(peerOf),
    cloudAddr: file.outside.cloud,
    storeAddr: file.outside.state,
    zones: params.zones as ZoneName[],
    teams: params.teams.map(teamOf),
    objectives: params.objectives.map(objectiveOf),
    workers: {
      heartbeatS: params.workers.report_s,
      leaseS: params.workers.lease_s,
      gangWaitS: params.workers.gang_wait_s,
      gangPeerS: params.workers.gang_peer_s,
      cancelS: params.workers.cancel_s,
    },
    store: safeStoreLimits(params.state),
    currentWritesPerS: params.state.write_rps,
    cloud: { requestsPerS: params.cloud.rps, listLagS: params.cloud.list_lag_s },
    sockets: params.limits.sockets,
    ramMb: params.limits.ram_mb ?? null,
  };
}

const peerOf = (fields: v.InferOutput<typeof peer>): Settings['peers'][number] => ({
  node: fields.node as NodeId,
  zone: fields.location as ZoneName,
  addr: fields.peer_addr,
});

const teamOf = (fields: v.InferOutput<typeof team>): Settings['teams'][number] => ({
  name: fields.name as TeamName,
  cpus: fields.cpus,
  cpusMax: fields.cpus_max,
  gpus: fields.gpus,
  gpusMax: fields.gpus_max,
});

/** The fields of a service-level objective in a settings or configuration file. */
export type ObjectiveFields = v.InferOutput<typeof objective>;

/** Converts a service-level objective from a file; fields that the file omits become null. */
export const objectiveOf = (fields: ObjectiveFields): Objective => ({
  kind: fields.kind,
  class: fields.class ?? null,
  withinS: fields.within_s ?? null,
  share: fields.share ?? null,
  times: fields.times ?? null,
});
