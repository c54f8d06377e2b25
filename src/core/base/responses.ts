import type { UserResponse } from './model.ts';

export const retryLater = (reason: string, afterS = 1, overload = false): UserResponse => ({
  kind: 'retry',
  afterS,
  reason,
  overload,
});

/** What a job's state is to whoever submits it once more; any other answer stays as it is. */
export const asSubmissionResponse = (a: UserResponse): UserResponse =>
  a.kind === 'status' || a.kind === 'ended' ? { kind: 'known', id: a.id, status: a.status } : a;
