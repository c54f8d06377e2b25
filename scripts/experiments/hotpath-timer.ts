// Counts the processor time that inputs take, by kind, while it is measuring.
import type { Kind } from './hotpath-lib.ts';

const noTimes = (): Record<Kind, number> => ({
  report: 0,
  submit: 0,
  poll: 0,
  write: 0,
  pass: 0,
  plan: 0,
  tick: 0,
});

const microsecondsSince = (begin: bigint): number => Number(process.hrtime.bigint() - begin) / 1000;

/** Times inputs, and methods within them that are counted for themselves. */
export class InputTimer {
  isMeasuring = false;
  /** Microseconds by kind. */
  readonly spentUs = noTimes();
  readonly inputs = noTimes();
  /** Microseconds of all methods that are counted for themselves. */
  private nestedUs = 0;

  /** Times an input, without the methods that are counted for themselves. */
  timeInput<T>(kind: Kind, work: () => T): T {
    const nestedBefore = this.nestedUs;
    const begin = process.hrtime.bigint();
    const result = work();
    this.count(kind, microsecondsSince(begin) - (this.nestedUs - nestedBefore));
    return result;
  }

  /** Times work of a codec, which belongs to an input that is counted already. */
  timeCodec<T>(kind: Kind, work: () => T): T {
    const begin = process.hrtime.bigint();
    const result = work();
    if (this.isMeasuring) this.spentUs[kind] += microsecondsSince(begin);
    return result;
  }

  /**
   * Time spent in a method is counted for itself, not for the input that led to it; nor if it returns false.
   */
  timeMethod<T extends object>(prototype: T, name: keyof T & string, kind: Kind): void {
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

  /** Microseconds an input of each kind. */
  usPerInput(): Record<Kind, number> {
    const us = noTimes();
    for (const kind of Object.keys(us) as Kind[])
      us[kind] = this.spentUs[kind] / Math.max(1, this.inputs[kind]);
    return us;
  }

  /** Microseconds of all kinds together. */
  totalUs(): number {
    return Object.values(this.spentUs).reduce((total, us) => total + us, 0);
  }

  /** Forgets the time that was spent. */
  resetTimes(): void {
    Object.assign(this.spentUs, noTimes());
  }

  private count(kind: Kind, us: number): void {
    if (!this.isMeasuring) return;
    this.spentUs[kind] += us;
    this.inputs[kind]++;
  }
}
