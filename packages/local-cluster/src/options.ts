// What a lab is like: zones, teams, machine types, times and limits. Every key, default and bound stands here once.
import * as v from 'valibot';
import { InvalidSettingsError } from '../../../src/protocol/settings.ts';

const number = (least: number, most: number, value: number) =>
  v.optional(v.pipe(v.number(), v.minValue(least), v.maxValue(most)), value);
const amount = v.pipe(v.number(), v.minValue(0));
const names = v.pipe(v.array(v.pipe(v.string(), v.minLength(1))), v.minLength(1));

const lab = v.strictObject({
  seed: number(0, 2 ** 31, 1),
  /** Address of the lab itself: 127.0.0.1 and this port; 0 takes a free one. */
  port: number(0, 65_535, 7070),
  controllers: number(1, 15, 3),
  /** Boots, fetches and simulated run times are so many times as fast. */
  speed: number(0.1, 1000, 1),
  zones: v.optional(names, ['a', 'b']),
});
const times = v.strictObject({
  report_s: number(0.5, 60, 1),
  lease_s: number(2, 600, 10),
  gang_wait_s: number(1, 600, 30),
  gang_peer_s: number(1, 600, 4),
  cancel_s: number(4, 1200, 40),
});
const state = v.strictObject({
  rps: number(10, 1e5, 500),
  write_rps: number(10, 1e5, 300),
  value_kb: number(1, 1024, 8),
  txn_ops: number(4, 1000, 24),
  latency_ms: number(0, 1000, 2),
});
const cloud = v.strictObject({
  rps: number(1, 1e4, 20),
  list_lag_s: number(0, 60, 2),
  latency_ms: number(0, 10_000, 20),
});
const team = v.strictObject({
  cpus: v.optional(amount, 0),
  cpus_max: v.optional(amount, 0),
  gpus: v.optional(amount, 0),
  gpus_max: v.optional(amount, 0),
});
const type = v.strictObject({
  cpus: amount,
  gpus: v.optional(amount, 0),
  memory_gb: amount,
  cache_gb: number(0, 1e5, 50),
  fetch_gb_per_s: number(0.001, 1000, 1),
  price: number(0, 1e6, 1),
  spot_price: number(0, 1e6, 0.3),
  boot_s: number(0, 3600, 3),
  /** Machines of it in each zone, ordinary and spot. */
  count: number(0, 1000, 8),
  spot: number(0, 1000, 4),
});

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
/** Something that goes wrong, now or `at_s` seconds after the lab is ready. */
const fault = v.strictObject({
  at_s: v.optional(amount, 0),
  /** How long; for a spot wave, how much notice. */
  seconds: number(0.1, 86_400, 10),
  /** Machines, for machine-death. */
  count: number(1, 10_000, 1),
  /** A controller; by default any that is up. */
  name: v.optional(v.string()),
  zone: v.optional(v.string()),
});
export type Fault = Omit<v.InferOutput<typeof fault>, 'at_s'> & { kind: (typeof FAULTS)[number] };

/** Reads a fault as it comes from a command; `file` names it in errors. */
export function readFault(file: string, given: unknown): Fault {
  const { kind, ...rest } = given as { kind?: unknown };
  const known = FAULTS.find((k) => k === kind);
  if (known === undefined)
    throw new InvalidSettingsError(`${file}: there is no such fault: ${kind}; ${FAULTS.join(', ')}`);
  const checked = v.safeParse(fault, rest);
  if (!checked.success) throw new InvalidSettingsError(`${file}: ${known}: ${checked.issues[0].message}`);
  const { at_s: _, ...f } = checked.output;
  return { kind: known, ...f };
}

const one = <S extends v.GenericSchema>(s: S) => v.optional(v.pipe(v.array(s), v.length(1)), [{}] as never);
const many = <S extends v.GenericSchema>(s: S) =>
  v.optional(v.record(v.string(), v.pipe(v.array(s), v.length(1))), {} as never);
const schema = v.strictObject({
  lab: one(lab),
  workers: one(times),
  state: one(state),
  cloud: one(cloud),
  team: many(team),
  type: many(type),
  fault: v.optional(v.record(v.picklist(FAULTS), v.array(fault)), {}),
});

export interface LocalClusterOptions {
  lab: v.InferOutput<typeof lab>;
  workers: v.InferOutput<typeof times>;
  state: v.InferOutput<typeof state>;
  cloud: v.InferOutput<typeof cloud>;
  teams: Record<string, v.InferOutput<typeof team>>;
  types: Record<string, v.InferOutput<typeof type>>;
  faults: { atS: number; fault: Fault }[];
}

/** Reads the parsed form of an HCL file; `deploy/lab.hcl` shows all of it. */
export function readLocalClusterOptions(file: string, parsed: unknown): LocalClusterOptions {
  const checked = v.safeParse(schema, parsed);
  if (!checked.success) {
    const issue = checked.issues[0];
    const path = issue.path?.map((p) => String(p.key)).filter((p) => p !== '0');
    const what = issue.expected === 'never' ? 'unknown name' : issue.message;
    throw new InvalidSettingsError(`${file}: ${path?.join('.') ?? '(whole file)'}: ${what}`);
  }
  const o = checked.output;
  const first = <T>(named: Record<string, T[]>): Record<string, T> =>
    Object.fromEntries(Object.entries(named).map(([k, x]) => [k, x[0]!]));
  const teams = first(o.team);
  const types = first(o.type);
  return {
    lab: o.lab[0]!,
    workers: o.workers[0]!,
    state: o.state[0]!,
    cloud: o.cloud[0]!,
    teams: Object.keys(teams).length > 0 ? teams : { demo: v.parse(team, {}) },
    faults: Object.entries(o.fault).flatMap(([kind, list]) =>
      (list ?? []).map(({ at_s, ...f }) => ({ atS: at_s, fault: { kind: kind as Fault['kind'], ...f } })),
    ),
    types: Object.keys(types).length > 0 ? types : { small: v.parse(type, { cpus: 8, memory_gb: 32 }) },
  };
}

export const defaults = (): LocalClusterOptions => readLocalClusterOptions('(defaults)', {});
