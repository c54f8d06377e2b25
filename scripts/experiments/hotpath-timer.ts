// Measures the processor time that inputs take, by kind.
import type { InputKind } from './hotpath-lib.ts';

const noTimes = (): Record<InputKind, number> => ({
  report: 0,
  submit: 0,
  poll: 0,
  write: 0,
  pass: 0,
  plan: 0,
  tick: 0,
});

const microsecondsSince = (begin: bigint): number => Number(process.hrtime.bigint() - begin) / 1000;

/** Times inputs, and separately some methods that are called while inputs are processed. */
export class InputTimer {
  /** Time is only counted while this is true. */
  isMeasuring = false;
  /** Microseconds spent, by kind. */
  readonly spentUs = noTimes();
  readonly inputs = noTimes();
  /** Microseconds spent in all methods that are counted separately. */
  private nestedUs = 0;

  /** Times an input, excluding the methods that are counted separately. */
  timeInput<T>(kind: InputKind, work: () => T): T {
    const nestedUsBefore = this.nestedUs;
    const begin = process.hrtime.bigint();
    const result = work();
    this.count(kind, microsecondsSince(begin) - (this.nestedUs - nestedUsBefore));
    return result;
  }

  /** Times a codec call; its time is added to the kind without counting another input. */
  timeCodec<T>(kind: InputKind, work: () => T): T {
    const begin = process.hrtime.bigint();
    const result = work();
    if (this.isMeasuring) this.spentUs[kind] += microsecondsSince(begin);
    return result;
  }

  /**
   * Patches a method so that its time is counted under `kind` instead of under the input that calls it. Calls
   * that return false are counted under neither.
   */
  timeMethod<T extends object>(prototype: T, name: keyof T & string, kind: InputKind): void {
    const methods = prototype as unknown as Record<string, (...args: unknown[]) => unknown>;
    const method = methods[name]!;
    const timer = this;
    methods[name] = function (...args: unknown[]) {
      const begin = process.hrtime.bigint();
      const result = method.apply(this, args);
      const us = microsecondsSince(begin);
      timer.nestedUs += us;
      if (result !== false) timer.count(kind, us);
      return result;
    };
  }

  /** Microseconds per input, by kind. */
  usPerInput(): Record<InputKind, number> {
    const us = noTimes();
    for (const kind of Object.keys(us) as InputKind[])
      us[kind] = this.spentUs[kind] / Math.max(1, this.inputs[kind]);
    return us;
  }

  /** Microseconds spent, over all kinds. */
  totalUs(): number {
    return Object.values(this.spentUs).reduce((total, us) => total + us, 0);
  }

  /** Resets the times spent to 0; the numbers of inputs stay. */
  resetTimes(): void {
    Object.assign(this.spentUs, noTimes());
  }

  private count(kind: InputKind, us: number): void {
    if (!this.isMeasuring) return;
    this.spentUs[kind] += us;
    this.inputs[kind]++;
  }
}
