// Numbers that stand for names in messages between controllers. A number is a place in a list: new names go to the end.
import type { Command, ExitReason, TaskState } from '../core/base/model.ts';

/** `TaskStatus.state` in peer.proto. */
export const TASK_STATES: TaskState[] = ['fetching', 'waiting', 'running', 'saving', 'exited'];

/** `TaskStatus.exit_reason` in peer.proto; 0 stands for none. */
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

/** `Command.op` in peer.proto. */
export const COMMAND_OPS: Command['op'][] = ['start', 'stop', 'forget'];
