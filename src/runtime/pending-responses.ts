// HTTP requests to which the core has not responded yet.
import type { Respond, ServerResponse } from '../http/server.ts';

/** Maps the request ids of the core to the functions that respond to the HTTP requests. */
export class PendingResponses {
  private readonly pending = new Map<number, Respond>();
  private nextId = 1;

  /** Adds a request; returns its id. */
  add(respond: Respond): number {
    const id = this.nextId++;
    this.pending.set(id, respond);
    return id;
  }

  /** Responds to a request; does nothing if there was a response before. */
  respond(id: number, response: ServerResponse): void {
    const respond = this.pending.get(id);
    this.pending.delete(id);
    respond?.(response);
  }
}
