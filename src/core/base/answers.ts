import type { UserAnswer } from './model.ts';

export const retry = (reason: string, afterS = 1, overload = false): UserAnswer => ({
  kind: 'retry',
  afterS,
  reason,
  overload,
});

/** What a job's state is to whoever submits it once more; any other answer stays as it is. */
export const toSubmission = (a: UserAnswer): UserAnswer =>
  a.kind === 'status' || a.kind === 'ended' ? { kind: 'known', id: a.id, status: a.status } : a;
