// The HTTP handler of a controller without the controller behind it.
import type { Input } from '../../src/core/base/io.ts';
import { InvalidMessageLog } from '../../src/runtime/invalid-message-log.ts';
import { PendingResponses } from '../../src/runtime/pending-responses.ts';
import { RequestRouter } from '../../src/runtime/request-router.ts';

/** A handler, and what it passes to the core and to the log. */
export interface IsolatedHandler {
  readonly router: RequestRouter;
  readonly inputs: Input[];
  /** The arguments of each call of the log. */
  readonly logLines: unknown[][];
}

/** Creates a handler whose inputs are collected; none gets a response. */
export function createHandler(): IsolatedHandler {
  const inputs: Input[] = [];
  const logLines: unknown[][] = [];
  const log = (...line: unknown[]): void => {
    logLines.push(line);
  };
  const router = new RequestRouter({
    controller: { ready: true, rejection: () => null, describe: () => ({}) },
    responses: new PendingResponses(),
    step: (input) => inputs.push(input),
    processStatus: () => ({}),
    log,
    invalidMessages: new InvalidMessageLog(log),
  });
  return { router, inputs, logLines };
}
