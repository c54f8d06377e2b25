import { destination, pino } from 'pino';
import type { LogFields, LogLevel } from '../core/base/io.ts';

export type Log = (level: LogLevel, message: string, fields?: LogFields) => void;

/** Structured lines on standard error, written before the call returns. */
export function openLog(node: string, level: string | undefined): Log {
  const known = level === 'error' || level === 'debug' ? level : 'info';
  const logger = pino({ level: known, base: { node } }, destination({ dest: 2, sync: true }));
  return (at, message, fields = {}) => logger[at](fields, message);
}
