// Options of a local cluster: zones, teams, machine types, times, limits and faults. The schema defines every
// key of the options file with its default and bounds.
import * as v from 'valibot';
import { InvalidSettingsError } from '../../../src/protocol/settings.ts';

// ---- schema

const boundedNumber = (min: number, max: number, defaultValue: number) =>
  v.optional(v.pipe(v.number(), v.minValue(min), v.maxValue(max)), defaultValue);
const nonNegativeNumber = v.pipe(v.number(), v.minValue(0));
const nonEmptyNames = v.pipe(v.array(v.pipe(v.string(), v.minLength(1))), v.minLength(1));

const labSchema = v.strictObject({
  seed: boundedNumber(0, 2 ** 31, 1),
  /** Port of the cluster's own HTTP API on 127.0.0.1; 0 selects a free one. */
  port: boundedNumber(0, 65_535, 7070),
  controllers: boundedNumber(1, 15, 3),
  /** Factor by which boots, image fetches and simulated run times are faster than nominal. */
  speed: boundedNumber(0.1, 1000, 1),
  zones: v.optional(nonEmptyNames, ['a', 'b']),
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
  cpus: v.optional(nonNegativeNumber, 0),
  cpus_max: v.optional(nonNegativeNumber, 0),
  gpus: v.optional(nonNegativeNumber, 0),
  gpus_max: v.optional(nonNegativeNumber, 0),
});
const typeSchema = v.strictObject({
  cpus: nonNegativeNumber,
  gpus: v.optional(nonNegativeNumber, 0),
  memory_gb: nonNegativeNumber,
  cache_gb: boundedNumber(0, 1e5, 50),
  fetch_gb_per_s: boundedNumber(0.001, 1000, 1),
  price: boundedNumber(0, 1e6, 1),
  spot_price: boundedNumber(0, 1e6, 0.3),
  boot_s: boundedNumber(0, 3600, 3),
  /** Maximum number of ordinary (`count`) and spot machines of the type in each zone. */
  count: boundedNumber(0, 1000, 8),
  spot: boundedNumber(0, 1000, 4),
});

/** The kinds of faults, by the names used in commands and the options file. */
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

/** A fault, injected at once or `at_s` seconds after the cluster is ready. */
const faultSchema = v.strictObject({
  at_s: v.optional(nonNegativeNumber, 0),
  /** Duration; for spot-wave, the length of the preemption notice. */
  seconds: boundedNumber(0.1, 86_400, 10),
  /** Number of machines, for machine-death. */
  count: boundedNumber(1, 10_000, 1),
  /** Name of the controller; by default any that is running. */
  name: v.optional(v.string()),
  zone: v.optional(v.string()),
});

/** A block that may occur at most once; the HCL parser returns it as a list. */
const singleBlock = <S extends v.GenericSchema>(schema: S) =>
  v.optional(v.pipe(v.array(schema), v.length(1)), [{}] as never);
/** Labelled blocks; each label may occur at most once. */
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

// ---- parsing

/** A fault to inject. */
export type Fault = Omit<v.InferOutput<typeof faultSchema>, 'at_s'> & { kind: (typeof FAULTS)[number] };

/** A fault of the options file, to inject `atS` seconds after the cluster is ready. */
export interface ScheduledFault {
  atS: number;
  fault: Fault;
}

/** Options of a local cluster; fields and units are those of the options file. */
export interface LocalClusterOptions {
  lab: v.InferOutput<typeof labSchema>;
  workers: v.InferOutput<typeof workersSchema>;
  state: v.InferOutput<typeof stateSchema>;
  cloud: v.InferOutput<typeof cloudSchema>;
  teams: Record<string, v.InferOutput<typeof teamSchema>>;
  types: Record<string, v.InferOutput<typeof typeSchema>>;
  faults: ScheduledFault[];
}

/** Validates a fault sent by a command. Throws InvalidSettingsError, whose text begins with `source`. */
export function readFault(source: string, input: unknown): Fault {
  const { kind, ...rest } = input as { kind?: unknown };
  const knownKind = FAULTS.find((fault) => fault === kind);
  if (knownKind === undefined)
    throw new InvalidSettingsError(`${source}: there is no such fault: ${kind}; ${FAULTS.join(', ')}`);
  const checked = v.safeParse(faultSchema, rest);
  if (!checked.success)
    throw new InvalidSettingsError(`${source}: ${knownKind}: ${checked.issues[0].message}`);
  const { at_s: _, ...fault } = checked.output;
  return { kind: knownKind, ...fault };
}

/**
 * Validates a parsed HCL options file; `deploy/lab.hcl` is an example with every key. Throws
 * InvalidSettingsError naming file and key.
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
  // The index 0 is left out: it comes from the list that the HCL parser makes of a single block.
  const path = issue.path?.map(({ key }) => String(key)).filter((key) => key !== '0');
  const problem = issue.expected === 'never' ? 'unknown name' : issue.message;
  return `${file}: ${path?.join('.') ?? '(whole file)'}: ${problem}`;
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

/** The options of a cluster that is started without an options file. */
export const defaults = (): LocalClusterOptions => readLocalClusterOptions('(defaults)', {});
