// The operators' own settings, in HCL. Every key, its default and its bounds are defined here once.
import * as v from 'valibot';
import type { SchedulerOptions } from '../core/scheduling/scheduler.ts';
import { InvalidSettingsError } from '../protocol/settings.ts';
import { describeHclIssue } from './hcl-issues.ts';

/** The operators' own settings. */
export interface OperatorOptions {
  /** Queue length below which a machine without free capacity may be joined. */
  threshold: number;
  /** Heartbeat periods after which a queued task moves to a machine with free capacity. */
  takeBackReports: number;
  /** Part of its fair share that a team with waiting work is never kept below; 0 for none. */
  teamFloor: number;
  /** The same for a class of jobs. */
  classFloor: number;
}

/** A key of the operators' settings. */
export interface OptionKey {
  name: keyof OperatorOptions;
  /** Its name in files. */
  hcl: string;
  default: number;
  min: number;
  max: number;
  /** Whether only whole numbers are allowed. */
  whole: boolean;
  /** For `swiftford options`. */
  about: string;
}

/** All keys, in the order in which they are listed. */
export const KEYS: OptionKey[] = [
  {
    name: 'threshold',
    hcl: 'threshold',
    default: 1,
    min: 1,
    max: 100,
    whole: true,
    about: 'queue length below which a machine without room may be joined (r of the paper)',
  },
  {
    name: 'takeBackReports',
    hcl: 'take_back_reports',
    default: 2,
    min: 0.5,
    max: 1000,
    whole: false,
    about: 'report periods after which a queued task moves to a machine with room',
  },
  {
    name: 'teamFloor',
    hcl: 'team_floor',
    default: 0.9,
    min: 0,
    max: 1,
    whole: false,
    about: 'part of its fair share that a team with waiting work is never kept below; 0: none',
  },
  {
    name: 'classFloor',
    hcl: 'class_floor',
    default: 0.5,
    min: 0,
    max: 1,
    whole: false,
    about: 'the same for a class of jobs',
  },
];

const MS_PER_S = 1000;

/** The scheduler's options; some are given in heartbeat periods, which take `heartbeatS` seconds. */
export const schedulerOptions = (options: OperatorOptions, heartbeatS: number): SchedulerOptions => ({
  threshold: options.threshold,
  dequeueAfterMs: options.takeBackReports * heartbeatS * MS_PER_S,
  teamFloor: options.teamFloor,
  classFloor: options.classFloor,
});

/** The settings without a file. */
export const defaults = (): OperatorOptions => optionsFrom((key) => key.default);

function optionsFrom(read: (key: OptionKey) => number): OperatorOptions {
  return Object.fromEntries(KEYS.map((key) => [key.name, read(key)])) as unknown as OperatorOptions;
}

/** The schema of a key's value. */
export function optionSchema(key: OptionKey): v.GenericSchema<number> {
  const number = v.pipe(v.number(), v.minValue(key.min), v.maxValue(key.max));
  return key.whole ? v.pipe(number, v.integer()) : number;
}

const dispatchBlock = v.strictObject(
  Object.fromEntries(KEYS.map((key) => [key.hcl, v.optional(optionSchema(key), key.default)])),
);
const optionsFile = v.strictObject({
  dispatch: v.optional(v.pipe(v.array(dispatchBlock), v.maxLength(1))),
});

/**
 * Reads the parsed form of a file in HCL: one `dispatch` block at most.
 * Throws `InvalidSettingsError` naming file and key, for unknown names, too.
 */
export function readOptions(file: string, parsed: unknown): OperatorOptions {
  const checked = v.safeParse(optionsFile, parsed);
  if (!checked.success) throw new InvalidSettingsError(describeHclIssue(file, checked.issues[0]));
  const block = (checked.output.dispatch?.[0] ?? {}) as Record<string, number>;
  return optionsFrom((key) => block[key.hcl] ?? key.default);
}
