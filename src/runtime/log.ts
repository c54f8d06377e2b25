// The log of the process: structured lines (JSON) on standard error.
import { destination, pino } from 'pino';
import type { LogFields, LogLevel } from '../core/base/io.ts';

/** Writes a log line: a constant message, and fields in camelCase whose names end in their units. */
export type Log = (level: LogLevel, message: string, fields?: LogFields) => void;

/** Opens a log that adds the node to each line and writes synchronously. An unknown `level` means `info`. */
export function openLog(node: string, level: string | undefined): Log {
  const levelOrInfo = level === 'error' || level === 'debug' ? level : 'info';
  const logger = pino({ level: levelOrInfo, base: { node } }, destination({ dest: 2, sync: true }));
  return (lineLevel, message, fields = {}) => logger[lineLevel](fields, message);
}
