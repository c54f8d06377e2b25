// How bitmaps of done tasks are stored: each value holds parts of the bitmaps of many jobs. The short field
// names belong to the stored form alone.
import type { JobId } from '../../types/index.ts';
import type { StoreItem } from '../base/model.ts';

/** Keys of the stored bitmaps. */
export const DONE_BITMAP_PREFIX = 'd/';

/**
 * Parts are named by the task where they begin, in units of this; versions before 0.2 know whole units only.
 */
export const BITMAP_UNIT_TASKS = 32_768;

/** Bytes that a value may take beside its parts. */
export const BITMAP_RECORD_OVERHEAD_BYTES = 128;

/** Bytes that the name of a part may take; longer than any job's id. */
export const MAX_PART_NAME_BYTES = 140;

/** Two pairs of quotes, a colon and a comma. */
const PART_PUNCTUATION_BYTES = 6;

/** A part of a job's bitmap of done tasks, beginning at the task `from`. */
export interface DoneBitmapPart {
  jobId: JobId;
  from: number;
  bits: Uint8Array;
}

interface StoredDoneBitmaps {
  /** Base64 of each part's bits, by the part's name. */
  b: Record<string, string>;
}

/** The name of the part of a job's bitmap that begins at the task `from`. */
export const partName = (jobId: JobId, from: number): string => `${jobId}/${from / BITMAP_UNIT_TASKS}`;

/** Bytes of the bits of so many tasks, as stored. */
export const encodedBitsBytes = (tasks: number): number => Math.ceil(Math.ceil(tasks / 8) / 3) * 4;

/** Bytes that a part of so many tasks takes in a value. */
export const partBytes = (name: string, tasks: number): number =>
  name.length + PART_PUNCTUATION_BYTES + encodedBitsBytes(tasks);

/** The value in which these parts are stored, in their order. */
export function encodeDoneBitmaps(parts: readonly DoneBitmapPart[]): Record<string, unknown> {
  const stored: StoredDoneBitmaps = { b: {} };
  for (const { jobId, from, bits } of parts)
    stored.b[partName(jobId, from)] = Buffer.from(bits).toString('base64');
  return { ...stored };
}

/** The parts in a stored value, in their order. */
export function decodeDoneBitmaps(item: StoreItem): DoneBitmapPart[] {
  const { b } = item.value as StoredDoneBitmaps;
  return Object.entries(b).map(([name, bits]) => {
    const slash = name.lastIndexOf('/');
    return {
      jobId: name.slice(0, slash) as JobId,
      from: Number(name.slice(slash + 1)) * BITMAP_UNIT_TASKS,
      bits: Buffer.from(bits, 'base64'),
    };
  });
}
