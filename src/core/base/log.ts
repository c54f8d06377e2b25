// Types for the log lines of the core.

/** Severity of a log line. */
export type LogLevel = 'error' | 'info' | 'debug';

/** Fields of a log line. Their names are in camelCase and end with the unit. */
export type LogFields = Record<string, unknown>;

/** Writes a log line. */
export type Log = (level: LogLevel, message: string, fields: LogFields) => void;
