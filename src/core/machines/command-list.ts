// Bounds the commands in the response to a heartbeat. The commands to a machine whose task list is within its
// bound always fit; a machine on which an earlier version has started too much may need more.
import { COMMAND_LIST_BYTES, commandBytes } from '../base/message-size.ts';
import type { Command } from '../base/model.ts';

/**
 * The commands, or if they do not fit into one response those that do, stop commands first. The others follow
 * with the next responses, as stop and forget commands are repeated until they are carried out.
 */
export function commandsForResponse(commands: Command[]): Command[] {
  if (fittingCount(commands) === commands.length) return commands;
  const stops = commands.filter((command) => command.op === 'stop');
  const others = commands.filter((command) => command.op !== 'stop');
  const stopsFirst = [...stops, ...others];
  return stopsFirst.slice(0, fittingCount(stopsFirst));
}

/** Length of the longest prefix of the commands that fits into one response. */
function fittingCount(commands: readonly Command[]): number {
  let bytes = 0;
  for (const [index, command] of commands.entries()) {
    bytes += commandBytes(command);
    if (bytes > COMMAND_LIST_BYTES) return index;
  }
  return commands.length;
}
