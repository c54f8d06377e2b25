// Bitmap of task indices of one job. The bitmap of done tasks is stored in this form.

/** A set of tasks, with one bit for each. */
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
   * Adds the tasks of a bitmap segment. Its first bit stands for the task `firstTask`, which is a multiple
   * of 8.
   */
  addAll(firstTask: number, segment: Uint8Array): void {
    const start = firstTask >> 3;
    const end = Math.min(segment.length, this.bytes.length - start);
    for (let i = 0; i < end; i++) this.bytes[start + i] = this.bytes[start + i]! | segment[i]!;
  }
}

/** Whether the bit is set; false for an index beyond the end. */
export function hasBit(bytes: Uint8Array, index: number): boolean {
  return ((bytes[index >> 3] ?? 0) & (1 << (index & 7))) !== 0;
}
