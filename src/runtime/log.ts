// The program's log: structured lines (JSON) on standard error.
import { destination, pino } from 'pino';
import type { LogFields, LogLevel } from '../core/base/io.ts';

/** Writes a line: a fixed message, and fields in camelCase with their units. */
export type Log = (level: LogLevel, message: string, fields?: LogFields) => void;

/** A log whose lines name the node and are written before the call returns; unknown levels mean `info`. */
export function openLog(node: string, level: string | undefined): Log {
  const known = level === 'error' || level === 'debug' ? level : 'info';
  const logger = pino({ level: known, base: { node } }, destination({ dest: 2, sync: true }));
  return (at, message, fields = {}) => logger[at](fields, message);
}
