// Drives a session: executes its effects with sockets, the journal and a timer, and passes the results back
// to it as inputs.
import { type ClientReply, HttpClient } from '../../../src/http/client.ts';
import { openJournalFile } from './journal-file.ts';
import { RequestJournal } from './request-journal.ts';
import { parseRetryAfterS } from './retry-policy.ts';
import { Session } from './session.ts';
import type { Effect, Input, SendEffect, ServiceResponse } from './session-messages.ts';
import type { JobState, JournalError, Outcome } from './types.ts';

/** Receives the events of the jobs of a session. */
export interface SessionListener {
  /** Called when the service has accepted a job. */
  onAccepted(id: string): void;
  /** Called when the service has reported a new state of a job. */
  onStateChanged(state: JobState): void;
  /** Called once for each job, with its outcome. */
  onOutcome(outcome: Outcome): void;
  /** Called when the journal cannot be written; nothing is sent after that. */
  onFailure(error: JournalError): void;
}

/** Nodes and connections of a session. */
export interface SessionDriverOptions {
  /** Addresses of the nodes, `host:port`. */
  nodes: readonly string[];
  /** Maximum number of connections to each node. */
  connections: number;
}

const MAX_RESPONSE_BYTES = 1 << 20;
/** Limit on the delay of a timer, as `setTimeout` overflows above 2^31 ms. Waking early has no effect. */
const MAX_TIMER_DELAY_MS = 1e9;
const NEVER = Number.POSITIVE_INFINITY;

/** Runs a session with its connections, journal and timer. */
export class SessionDriver {
  private readonly session: Session;
  private readonly connections = new Map<string, HttpClient>();
  /** Outcomes to be published when a journal entry is on disk, by the number of that entry. */
  private readonly unpublished = new Map<number, Outcome>();
  private openedJournal: RequestJournal | null = null;
  private timer: NodeJS.Timeout | null = null;
  private timerSetForMs = NEVER;
  private journalError: JournalError | null = null;
  private stopped = false;

  /** `listener`: receives the events of the jobs. */
  constructor(
    options: SessionDriverOptions,
    private readonly listener: SessionListener,
  ) {
    const { nodes, connections } = options;
    this.session = new Session({ nodes, perNode: connections, random: Math.random });
    for (const node of nodes)
      this.connections.set(node, new HttpClient(node, connections, MAX_RESPONSE_BYTES));
  }

  /** The journal; null if none was opened. */
  get journal(): RequestJournal | null {
    return this.openedJournal;
  }

  /** The journal error because of which nothing more is sent; null if there was none. */
  get failure(): JournalError | null {
    return this.journalError;
  }

  /** Whether `stop` was called. */
  get isStopped(): boolean {
    return this.stopped;
  }

  /** Opens the journal. Throws JournalError if the file cannot be locked or read. */
  async openJournal(fileName: string): Promise<RequestJournal> {
    const file = await openJournalFile(fileName);
    try {
      this.openedJournal = await RequestJournal.open(file, (error) => this.fail(error));
      return this.openedJournal;
    } catch (error) {
      await file.close();
      throw error;
    }
  }

  /** Passes an input to the session and executes the resulting effects. */
  step(input: Input): void {
    if (this.stopped || this.journalError !== null) return;
    const effects = this.session.step(performance.now(), Date.now(), input);
    for (const effect of effects) this.execute(effect);
    this.armTimer();
  }

  /** Stops the session: later inputs are ignored and nothing more is sent. */
  stop(): void {
    this.stopped = true;
    if (this.timer !== null) clearTimeout(this.timer);
  }

  /** Closes the connections and the journal. */
  async close(): Promise<void> {
    for (const connection of this.connections.values()) connection.close();
    await this.openedJournal?.close();
  }

  private fail(error: JournalError): void {
    this.journalError = error;
    this.listener.onFailure(error);
  }

  private armTimer(): void {
    const { nextWake } = this.session;
    if (nextWake === this.timerSetForMs && this.timer !== null) return;
    if (this.timer !== null) clearTimeout(this.timer);
    this.timerSetForMs = nextWake;
    this.timer = null;
    if (nextWake === NEVER) return;
    const delayMs = Math.max(0, Math.ceil(nextWake - performance.now()));
    this.timer = setTimeout(() => this.wake(), Math.min(MAX_TIMER_DELAY_MS, delayMs));
  }

  private wake(): void {
    this.timer = null;
    this.step({ kind: 'wake' });
  }

  // ---- effects

  private execute(effect: Effect): void {
    switch (effect.kind) {
      case 'persist':
        return this.persist(effect);
      case 'send':
        return this.send(effect);
      case 'accepted':
        return this.listener.onAccepted(effect.id);
      case 'state-changed':
        return this.listener.onStateChanged(effect.state);
      case 'outcome':
        if (effect.afterSeq > 0) this.unpublished.set(effect.afterSeq, effect.outcome);
        else this.listener.onOutcome(effect.outcome);
    }
  }

  private persist({ seq, entry }: Extract<Effect, { kind: 'persist' }>): void {
    const onPersisted = (): void => this.handlePersisted(seq);
    if (this.openedJournal === null) queueMicrotask(onPersisted);
    else this.openedJournal.append(entry, onPersisted);
  }

  private handlePersisted(seq: number): void {
    const outcome = this.unpublished.get(seq);
    this.unpublished.delete(seq);
    if (outcome !== undefined) this.listener.onOutcome(outcome);
    this.step({ kind: 'persisted', upTo: seq });
  }

  private send({ node, call, timeoutMs, tag }: SendEffect): void {
    this.connections.get(node)!.call({ ...call, timeoutMs }, (reply) => {
      const response = reply === null ? null : serviceResponse(reply);
      this.step({ kind: 'response', tag, response });
    });
  }
}

const serviceResponse = (reply: ClientReply): ServiceResponse => ({
  status: reply.status,
  body: reply.body.toString('utf8'),
  retryAfterS: parseRetryAfterS(reply.headers.get('retry-after')),
});
