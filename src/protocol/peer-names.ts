// Numeric codes of enum values in messages between controllers. The code is the index in the list, so new
// values must be appended.
import type { Command, ExitReason, TaskState } from '../core/base/model.ts';

/** Values of `TaskStatus.state` in peer.proto. */
export const TASK_STATES: TaskState[] = ['fetching', 'waiting', 'running', 'saving', 'exited'];

/** Values of `TaskStatus.exit_reason` in peer.proto; 0: the task has not exited. */
export const EXIT_REASONS: (ExitReason | null)[] = [
  null,
  'done',
  'stopped',
  'peers',
  'alone',
  'error',
  'no_room',
  'busy',
  'unknown',
];

/** Values of `Command.op` in peer.proto. */
export const COMMAND_OPS: Command['op'][] = ['start', 'stop', 'forget'];
