// A set of task indices of one job, one bit each; its bytes are what is stored of done tasks.

/** A set of tasks as a bitmap. */
export class TaskBitmap {
  /** Bit `i & 7` of byte `i >> 3` stands for task `i`. */
  readonly bytes: Uint8Array;

  constructor(tasks: number) {
    this.bytes = new Uint8Array(Math.ceil(tasks / 8));
  }

  /** Whether the task is in the set. */
  has(index: number): boolean {
    return hasBit(this.bytes, index);
  }

  /** Adds a task to the set. */
  add(index: number): void {
    this.bytes[index >> 3] = (this.bytes[index >> 3] ?? 0) | (1 << (index & 7));
  }

  /**
   * Adds the tasks of a part of another bitmap, of which the first bit stands for the task `from`, a multiple
   * of 8.
   */
  addAll(from: number, part: Uint8Array): void {
    const start = from >> 3;
    const end = Math.min(part.length, this.bytes.length - start);
    for (let i = 0; i < end; i++) this.bytes[start + i] = this.bytes[start + i]! | part[i]!;
  }
}

/** Whether the bit is set; false beyond the end. */
export function hasBit(bytes: Uint8Array, index: number): boolean {
  return ((bytes[index >> 3] ?? 0) & (1 << (index & 7))) !== 0;
}
