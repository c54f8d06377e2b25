// The operators' own settings file (HCL): the single definition of its keys, their defaults and bounds.
import * as v from 'valibot';
import type { SchedulerOptions } from '../core/scheduling/scheduler.ts';
import { InvalidSettingsError } from '../protocol/settings.ts';
import { describeHclIssue } from './hcl-issues.ts';

/** The operators' own settings. */
export interface OperatorOptions {
  /** Queue length below which a task may be queued at a machine without free capacity. */
  threshold: number;
  /** Heartbeat periods after which a queued task moves to a machine with free capacity. */
  takeBackReports: number;
  /** Minimum fraction of its fair share for a team with waiting work; 0 for no minimum. */
  teamFloor: number;
  /** Minimum fraction of its fair share for a class of jobs with waiting work; 0 for no minimum. */
  classFloor: number;
}

/** A key of the operators' settings. */
export interface OptionKey {
  name: keyof OperatorOptions;
  /** Name in HCL files. */
  hclName: string;
  default: number;
  min: number;
  max: number;
  /** Whether only integers are allowed. */
  isInteger: boolean;
  /** Description printed by `swiftford options`. */
  description: string;
}

/** All keys, in the order in which they are listed. */
export const OPTION_KEYS: OptionKey[] = [
  {
    name: 'threshold',
    hclName: 'threshold',
    default: 1,
    min: 1,
    max: 100,
    isInteger: true,
    description:
      'queue length below which a task may be queued at a machine without free capacity (r of the paper)',
  },
  {
    name: 'takeBackReports',
    hclName: 'take_back_reports',
    default: 2,
    min: 0.5,
    max: 1000,
    isInteger: false,
    description: 'heartbeat periods after which a queued task moves to a machine with free capacity',
  },
  {
    name: 'teamFloor',
    hclName: 'team_floor',
    default: 0.9,
    min: 0,
    max: 1,
    isInteger: false,
    description: 'minimum fraction of its fair share for a team with waiting work; 0: none',
  },
  {
    name: 'classFloor',
    hclName: 'class_floor',
    default: 0.5,
    min: 0,
    max: 1,
    isInteger: false,
    description: 'minimum fraction of its fair share for a class of jobs with waiting work; 0: none',
  },
];

const MS_PER_S = 1000;

/**
 * Converts to the scheduler's options; times in heartbeat periods of `heartbeatS` seconds become
 * milliseconds.
 */
export const schedulerOptions = (options: OperatorOptions, heartbeatS: number): SchedulerOptions => ({
  threshold: options.threshold,
  dequeueAfterMs: options.takeBackReports * heartbeatS * MS_PER_S,
  teamFloor: options.teamFloor,
  classFloor: options.classFloor,
});

/** The settings that apply without a file. */
export const defaults = (): OperatorOptions => optionsFrom((key) => key.default);

function optionsFrom(read: (key: OptionKey) => number): OperatorOptions {
  return Object.fromEntries(OPTION_KEYS.map((key) => [key.name, read(key)])) as unknown as OperatorOptions;
}

/** The validation schema for a key's value. */
export function optionSchema(key: OptionKey): v.GenericSchema<number> {
  const number = v.pipe(v.number(), v.minValue(key.min), v.maxValue(key.max));
  return key.isInteger ? v.pipe(number, v.integer()) : number;
}

const dispatchBlock = v.strictObject(
  Object.fromEntries(OPTION_KEYS.map((key) => [key.hclName, v.optional(optionSchema(key), key.default)])),
);
const optionsFile = v.strictObject({
  dispatch: v.optional(v.pipe(v.array(dispatchBlock), v.maxLength(1))),
});

/**
 * Reads the parsed form of an HCL file, which has at most one `dispatch` block. Throws
 * `InvalidSettingsError`, naming file and key, for invalid values and for unknown names.
 */
export function readOptions(file: string, parsed: unknown): OperatorOptions {
  const checked = v.safeParse(optionsFile, parsed);
  if (!checked.success) throw new InvalidSettingsError(describeHclIssue(file, checked.issues[0]));
  const block = (checked.output.dispatch?.[0] ?? {}) as Record<string, number>;
  return optionsFrom((key) => block[key.hclName] ?? key.default);
}
