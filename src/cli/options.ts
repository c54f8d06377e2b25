// Operators' own settings, in HCL. Every key, its default and its bounds stand here once.
import * as v from 'valibot';
import type { SchedulerOptions } from '../core/scheduling/scheduler.ts';
import { InvalidSettingsError } from '../protocol/settings.ts';

export interface OperatorOptions {
  threshold: number;
  takeBackReports: number;
  teamFloor: number;
  classFloor: number;
}

interface Key {
  name: keyof OperatorOptions;
  hcl: string;
  default: number;
  min: number;
  max: number;
  whole: boolean;
  about: string;
}

export const KEYS: Key[] = [
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

/** What the core is told; `reportS`: the workers' report period, which some options are counted in. */
export const schedulerOptions = (o: OperatorOptions, reportS: number): SchedulerOptions => ({
  threshold: o.threshold,
  dequeueAfterMs: o.takeBackReports * reportS * 1000,
  teamFloor: o.teamFloor,
  classFloor: o.classFloor,
});

export const defaults = (): OperatorOptions =>
  Object.fromEntries(KEYS.map((k) => [k.name, k.default])) as unknown as OperatorOptions;

const number = (k: Key) => {
  const base = v.pipe(v.number(), v.minValue(k.min), v.maxValue(k.max));
  return v.optional(k.whole ? v.pipe(base, v.integer()) : base, k.default);
};
const schema = v.strictObject({
  dispatch: v.optional(
    v.pipe(v.array(v.strictObject(Object.fromEntries(KEYS.map((k) => [k.hcl, number(k)])))), v.maxLength(1)),
  ),
});

/** Reads the parsed form of an HCL file: one `dispatch` block at most, unknown names refused. */
export function readOptions(file: string, parsed: unknown): OperatorOptions {
  const checked = v.safeParse(schema, parsed);
  if (!checked.success) {
    const issue = checked.issues[0];
    const path =
      issue.path
        ?.map((p) => String(p.key))
        .filter((p) => p !== '0')
        .join('.') ?? '(whole file)';
    const what = issue.expected === 'never' ? 'unknown name' : issue.message;
    throw new InvalidSettingsError(`${file}: ${path}: ${what}`);
  }
  const block = (checked.output.dispatch?.[0] ?? {}) as Record<string, number>;
  return Object.fromEntries(
    KEYS.map((k) => [k.name, block[k.hcl] ?? k.default]),
  ) as unknown as OperatorOptions;
}
