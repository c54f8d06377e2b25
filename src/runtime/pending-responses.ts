// The HTTP requests that the core has not answered yet.
import type { Respond, ServerResponse } from '../http/server.ts';

/** Maps the core's request ids to the HTTP requests that they stand for. */
export class PendingResponses {
  private readonly pending = new Map<number, Respond>();
  private nextId = 1;

  /** The id of a new request. */
  add(respond: Respond): number {
    const id = this.nextId++;
    this.pending.set(id, respond);
    return id;
  }

  /** Answers a request; does nothing if it was answered before. */
  respond(id: number, response: ServerResponse): void {
    const respond = this.pending.get(id);
    this.pending.delete(id);
    respond?.(response);
  }
}
