// Log lines of the core.

/** How much a log line matters. */
export type LogLevel = 'error' | 'info' | 'debug';

/** Fields of a log line, in camelCase with units. */
export type LogFields = Record<string, unknown>;

/** Writes a log line. */
export type Log = (level: LogLevel, message: string, fields: LogFields) => void;
