// Stored form of the bitmaps of done tasks: each value holds segments of the bitmaps of many jobs. The short
// field names are used in the stored form only.
import type { JobId } from '../../types/index.ts';
import type { StoreItem } from '../base/model.ts';

/** Prefix of the keys of the records that hold bitmaps of done tasks. */
export const DONE_BITMAP_PREFIX = 'd/';

/**
 * The name of a segment holds the index of its first task in units of this many tasks. Versions before 0.2
 * support only whole units.
 */
export const BITMAP_UNIT_TASKS = 32_768;

/** Bytes reserved in a value for everything other than its segments. */
export const BITMAP_RECORD_OVERHEAD_BYTES = 128;

/** Upper bound for the bytes of a segment's name, which holds a job's id and an index. */
export const MAX_SEGMENT_NAME_BYTES = 140;

/** Bytes of JSON punctuation for each segment: two pairs of quotes, a colon and a comma. */
const SEGMENT_PUNCTUATION_BYTES = 6;

/** A segment of a job's bitmap of done tasks, of which the first bit stands for the task `firstTask`. */
export interface DoneBitmapSegment {
  jobId: JobId;
  firstTask: number;
  bits: Uint8Array;
}

interface StoredDoneBitmaps {
  /** The bits of each segment in Base64, by the segment's name. */
  b: Record<string, string>;
}

/** The name of the segment of a job's bitmap that begins at the task `firstTask`. */
export const segmentName = (jobId: JobId, firstTask: number): string =>
  `${jobId}/${firstTask / BITMAP_UNIT_TASKS}`;

/** Bytes that the bits of this number of tasks take in Base64. */
export const encodedBitsBytes = (tasks: number): number => Math.ceil(Math.ceil(tasks / 8) / 3) * 4;

/** Bytes that a segment with this name and number of tasks takes in a value. */
export const segmentBytes = (name: string, tasks: number): number =>
  name.length + SEGMENT_PUNCTUATION_BYTES + encodedBitsBytes(tasks);

/** Encodes segments, in the given order, as the value to store. */
export function encodeDoneBitmaps(segments: readonly DoneBitmapSegment[]): Record<string, unknown> {
  const stored: StoredDoneBitmaps = { b: {} };
  for (const { jobId, firstTask, bits } of segments)
    stored.b[segmentName(jobId, firstTask)] = Buffer.from(bits).toString('base64');
  return { ...stored };
}

/** Decodes the segments of a stored value, in their stored order. */
export function decodeDoneBitmaps(item: StoreItem): DoneBitmapSegment[] {
  const { b } = item.value as StoredDoneBitmaps;
  return Object.entries(b).map(([name, bits]) => {
    const slash = name.lastIndexOf('/');
    return {
      jobId: name.slice(0, slash) as JobId,
      firstTask: Number(name.slice(slash + 1)) * BITMAP_UNIT_TASKS,
      bits: Buffer.from(bits, 'base64'),
    };
  });
}
