// What a local cluster is like: zones, teams, machine types, times and limits. Every key of the options file,
// its default and its bounds stand here once.
import * as v from 'valibot';
import { InvalidSettingsError } from '../../../src/protocol/settings.ts';

// ---- the parts of the schema

const boundedNumber = (least: number, most: number, value: number) =>
  v.optional(v.pipe(v.number(), v.minValue(least), v.maxValue(most)), value);
const amount = v.pipe(v.number(), v.minValue(0));
const names = v.pipe(v.array(v.pipe(v.string(), v.minLength(1))), v.minLength(1));

const labSchema = v.strictObject({
  seed: boundedNumber(0, 2 ** 31, 1),
  /** Address of the cluster's own interface: 127.0.0.1 and this port; 0 takes a free one. */
  port: boundedNumber(0, 65_535, 7070),
  controllers: boundedNumber(1, 15, 3),
  /** Boots, fetches and simulated run times are so many times as fast. */
  speed: boundedNumber(0.1, 1000, 1),
  zones: v.optional(names, ['a', 'b']),
});
const workersSchema = v.strictObject({
  report_s: boundedNumber(0.5, 60, 1),
  lease_s: boundedNumber(2, 600, 10),
  gang_wait_s: boundedNumber(1, 600, 30),
  gang_peer_s: boundedNumber(1, 600, 4),
  cancel_s: boundedNumber(4, 1200, 40),
});
const stateSchema = v.strictObject({
  rps: boundedNumber(10, 1e5, 500),
  write_rps: boundedNumber(10, 1e5, 300),
  value_kb: boundedNumber(1, 1024, 8),
  txn_ops: boundedNumber(4, 1000, 24),
  latency_ms: boundedNumber(0, 1000, 2),
});
const cloudSchema = v.strictObject({
  rps: boundedNumber(1, 1e4, 20),
  list_lag_s: boundedNumber(0, 60, 2),
  latency_ms: boundedNumber(0, 10_000, 20),
});
const teamSchema = v.strictObject({
  cpus: v.optional(amount, 0),
  cpus_max: v.optional(amount, 0),
  gpus: v.optional(amount, 0),
  gpus_max: v.optional(amount, 0),
});
const typeSchema = v.strictObject({
  cpus: amount,
  gpus: v.optional(amount, 0),
  memory_gb: amount,
  cache_gb: boundedNumber(0, 1e5, 50),
  fetch_gb_per_s: boundedNumber(0.001, 1000, 1),
  price: boundedNumber(0, 1e6, 1),
  spot_price: boundedNumber(0, 1e6, 0.3),
  boot_s: boundedNumber(0, 3600, 3),
  /** Machines of it in each zone, ordinary and spot. */
  count: boundedNumber(0, 1000, 8),
  spot: boundedNumber(0, 1000, 4),
});

/** The kinds of faults, as users name them. */
export const FAULTS = [
  'kill-controller',
  'freeze-controller',
  'state-outage',
  'state-silent',
  'state-late',
  'cloud-outage',
  'machine-death',
  'spot-wave',
  'zone-cut',
  'zone-hold',
] as const;

/** Something that goes wrong, now or `at_s` seconds after the cluster is ready. */
const faultSchema = v.strictObject({
  at_s: v.optional(amount, 0),
  /** How long; for a spot wave, how much notice. */
  seconds: boundedNumber(0.1, 86_400, 10),
  /** Machines, for machine-death. */
  count: boundedNumber(1, 10_000, 1),
  /** A controller; by default any that is up. */
  name: v.optional(v.string()),
  zone: v.optional(v.string()),
});

/** A block that stands once at most; HCL gives it as a list. */
const singleBlock = <S extends v.GenericSchema>(schema: S) =>
  v.optional(v.pipe(v.array(schema), v.length(1)), [{}] as never);
/** Blocks with a label each. */
const labelledBlocks = <S extends v.GenericSchema>(schema: S) =>
  v.optional(v.record(v.string(), v.pipe(v.array(schema), v.length(1))), {} as never);

const fileSchema = v.strictObject({
  lab: singleBlock(labSchema),
  workers: singleBlock(workersSchema),
  state: singleBlock(stateSchema),
  cloud: singleBlock(cloudSchema),
  team: labelledBlocks(teamSchema),
  type: labelledBlocks(typeSchema),
  fault: v.optional(v.record(v.picklist(FAULTS), v.array(faultSchema)), {}),
});

// ---- what is read

/** A fault that is to be injected. */
export type Fault = Omit<v.InferOutput<typeof faultSchema>, 'at_s'> & { kind: (typeof FAULTS)[number] };

/** A fault of the options file; `atS` in seconds after the cluster is ready. */
export interface ScheduledFault {
  atS: number;
  fault: Fault;
}

/** What a local cluster is like; fields and units are those of the options file. */
export interface LocalClusterOptions {
  lab: v.InferOutput<typeof labSchema>;
  workers: v.InferOutput<typeof workersSchema>;
  state: v.InferOutput<typeof stateSchema>;
  cloud: v.InferOutput<typeof cloudSchema>;
  teams: Record<string, v.InferOutput<typeof teamSchema>>;
  types: Record<string, v.InferOutput<typeof typeSchema>>;
  faults: ScheduledFault[];
}

/** Reads a fault as it comes from a command. Throws InvalidSettingsError; `file` names it in the text. */
export function readFault(file: string, given: unknown): Fault {
  const { kind, ...rest } = given as { kind?: unknown };
  const known = FAULTS.find((fault) => fault === kind);
  if (known === undefined)
    throw new InvalidSettingsError(`${file}: there is no such fault: ${kind}; ${FAULTS.join(', ')}`);
  const checked = v.safeParse(faultSchema, rest);
  if (!checked.success) throw new InvalidSettingsError(`${file}: ${known}: ${checked.issues[0].message}`);
  const { at_s: _, ...fault } = checked.output;
  return { kind: known, ...fault };
}

/**
 * Reads the parsed form of an HCL file; `deploy/lab.hcl` shows all of it. Throws InvalidSettingsError naming
 * file and key.
 */
export function readLocalClusterOptions(file: string, parsed: unknown): LocalClusterOptions {
  const checked = v.safeParse(fileSchema, parsed);
  if (!checked.success) throw new InvalidSettingsError(issueText(file, checked.issues[0]));
  const { lab, workers, state, cloud, team, type, fault } = checked.output;
  const teams = firstOfEach(team);
  const types = firstOfEach(type);
  return {
    lab: lab[0]!,
    workers: workers[0]!,
    state: state[0]!,
    cloud: cloud[0]!,
    teams: Object.keys(teams).length > 0 ? teams : { demo: v.parse(teamSchema, {}) },
    faults: scheduledFaults(fault),
    types: Object.keys(types).length > 0 ? types : { small: v.parse(typeSchema, { cpus: 8, memory_gb: 32 }) },
  };
}

function issueText(file: string, issue: v.BaseIssue<unknown>): string {
  // The list of a single block is not shown.
  const path = issue.path?.map(({ key }) => String(key)).filter((key) => key !== '0');
  const what = issue.expected === 'never' ? 'unknown name' : issue.message;
  return `${file}: ${path?.join('.') ?? '(whole file)'}: ${what}`;
}

const firstOfEach = <T>(blocks: Record<string, T[]>): Record<string, T> =>
  Object.fromEntries(Object.entries(blocks).map(([label, block]) => [label, block[0]!]));

function scheduledFaults(blocks: v.InferOutput<typeof fileSchema>['fault']): ScheduledFault[] {
  return Object.entries(blocks).flatMap(([kind, faults]) =>
    (faults ?? []).map(({ at_s, ...fault }) => ({
      atS: at_s,
      fault: { kind: kind as Fault['kind'], ...fault },
    })),
  );
}

/** A cluster without an options file. */
export const defaults = (): LocalClusterOptions => readLocalClusterOptions('(defaults)', {});
