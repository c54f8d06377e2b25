// Sizes of the messages that list tasks: a worker's heartbeat with all tasks on its machine, and the response to
// it with commands. The limit is that of the worker protocol; the other constants are upper bounds of what its
// JSON takes, with a space after every comma and colon, as some encoders write it.
import type { Heartbeat, JobSpec, TaskStatus } from './model.ts';

/** Largest body of a request, and longest line of a response to a worker or user (PROTOCOL). */
export const MAX_MESSAGE_BYTES = 64 * 1024;
/**
 * Largest heartbeat that is read all the same: a machine that a leader of an earlier version has given more tasks
 * than it may list would lose all of them if its heartbeats were refused.
 */
export const MAX_HEARTBEAT_BYTES = 1024 * 1024;
/** Largest message between controllers; all versions close a connection with a larger one. */
export const MAX_PEER_MESSAGE_BYTES = 256 * 1024;
/** A heartbeat without its task list: four names of up to 200 characters of four bytes, and numbers. */
const HEARTBEAT_FIELDS_BYTES = 4 * 1024;
/** A listed task in its longest state, without its id: attempt number, state, exit reason, checkpoint. */
const TASK_STATUS_BYTES = 100;
/** A slash and the index of a task, which together with the id of its job are its id. */
const TASK_INDEX_BYTES = '/99999'.length;
/** A listed task, without its id, in the JSON format for relaying, the longest between controllers. */
const RELAYED_TASK_BYTES = 92;
/** The response to a heartbeat without its commands. */
const RESPONSE_FIELDS_BYTES = 64;
/** A command, without the id of its task: attempt number, grace period. */
const COMMAND_BYTES = 84;

/** Space for the task list of a machine in its heartbeats. */
export const TASK_LIST_BYTES = MAX_MESSAGE_BYTES - HEARTBEAT_FIELDS_BYTES;
/** Space for the commands in the response to a heartbeat. */
export const COMMAND_LIST_BYTES = MAX_MESSAGE_BYTES - RESPONSE_FIELDS_BYTES;

/** Every task takes more of its machine's task list than this. */
export const MIN_LISTED_TASK_BYTES = TASK_STATUS_BYTES + TASK_INDEX_BYTES;

/** What a task of the job takes of its machine's task list at most, from its start until it is forgotten. */
export const listedTaskBytes = ({ id }: Pick<JobSpec, 'id'>): number => id.length + MIN_LISTED_TASK_BYTES;

/** What an exited task takes of its machine's task list at most. */
export const exitedTaskBytes = ({ task }: Pick<TaskStatus, 'task'>): number =>
  task.length + TASK_STATUS_BYTES;

/** What a command takes of the response to a heartbeat at most. */
export const commandBytes = ({ task }: Pick<TaskStatus, 'task'>): number => task.length + COMMAND_BYTES;

/** Whether the heartbeat can be passed on to another controller, in full and in any format. */
export function fitsPeerMessage({ tasks }: Pick<Heartbeat, 'tasks'>): boolean {
  let bytes = HEARTBEAT_FIELDS_BYTES;
  for (const { task } of tasks) bytes += task.length + RELAYED_TASK_BYTES;
  return bytes <= MAX_PEER_MESSAGE_BYTES;
}
