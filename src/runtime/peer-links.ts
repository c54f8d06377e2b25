// Links to the other controllers: each node dials every other and speaks on the link it dialled.
import { connect, createServer, type Socket } from 'node:net';
import type { PeerMessage, Settings } from '../core/base/model.ts';
import type { WorkQueue } from '../http/work-queue.ts';
import { decodePeerMessage, encodePeerMessage, FrameReader, isForwardedHeartbeat } from '../protocol/peer.ts';
import type { NodeId } from '../types/index.ts';
import { splitAddress } from './address.ts';

const REDIAL_MS = 500;
const DIAL_TIMEOUT_MS = 1500;
/** A link that takes nothing for this long is given up: behind a cut it would swallow messages. */
const STUCK_BYTES = 2 * 1024 * 1024;
/** The node that passes a report on gives it up after this. */
const REPORT_MS = 3400;
/** Reports are passed on in company: each write and each read costs more than the frame in it. */
const GATHER_MS = 10;

export interface PeerLinksListener {
  up(node: NodeId): void;
  down(node: NodeId): void;
  message(node: NodeId, m: PeerMessage): void;
}

class Link {
  private socket: Socket | null = null;
  private up = false;
  /** What was said since the last write: one write for all of it. */
  private pending: Buffer[] = [];
  private hurried = false;
  constructor(
    private readonly node: NodeId,
    private readonly addr: string,
    private readonly host: PeerLinksListener,
  ) {
    this.dial();
  }

  private dial(): void {
    const { host, port } = splitAddress(this.addr);
    const socket = connect({ host, port, noDelay: true });
    this.socket = socket;
    const timer = setTimeout(() => socket.destroy(), DIAL_TIMEOUT_MS);
    socket.on('connect', () => {
      clearTimeout(timer);
      this.up = true;
      this.host.up(this.node);
    });
    socket.on('data', () => {});
    socket.on('error', () => {});
    socket.on('close', () => {
      clearTimeout(timer);
      if (this.up) this.host.down(this.node);
      this.up = false;
      setTimeout(() => this.dial(), REDIAL_MS);
    });
  }

  send(m: PeerMessage): void {
    if (!this.up || this.socket === null) return;
    const first = this.pending.push(encodePeerMessage(m)) === 1;
    // Reports and their answers can wait for one another; what a user waits for takes them along at once.
    if (m.kind === 'forwarded-heartbeat' || m.kind === 'forwarded-heartbeat-response') {
      if (first) setTimeout(() => this.flush(), GATHER_MS);
    } else if (!this.hurried) {
      this.hurried = true;
      setImmediate(() => this.flush());
    }
  }

  private flush(): void {
    const frames = this.pending;
    this.pending = [];
    this.hurried = false;
    if (frames.length === 0) return;
    if (!this.up || this.socket === null) return;
    if (this.socket.writableLength > STUCK_BYTES) this.socket.destroy();
    else this.socket.write(frames.length === 1 ? frames[0]! : Buffer.concat(frames));
  }
}

export class PeerLinks {
  private readonly links = new Map<NodeId, Link>();

  constructor(settings: Settings, host: PeerLinksListener, turns: WorkQueue, onError: (e: Error) => void) {
    const { host: bind, port } = splitAddress(settings.peerListen);
    const names = new Set(settings.peers.map((p) => p.node));
    const newest = new NewestLinks<Socket>();
    createServer({ noDelay: true }, (socket) => listen(socket, names, host, turns, newest))
      .on('error', onError)
      .listen({ host: bind, port });
    for (const p of settings.peers) this.links.set(p.node, new Link(p.node, p.addr, host));
  }

  send(node: NodeId, m: PeerMessage): void {
    this.links.get(node)?.send(m);
  }
}

/**
 * Of each node the link that was made last. A node may be back within a fraction of a second, while what its former self
 * said is still on its way: nothing of that is heard after the new one has spoken.
 */
export class NewestLinks<L> {
  private made = 0;
  private readonly byNode = new Map<NodeId, { link: L; at: number }>();

  /** Numbers links in the order in which they were made. */
  nextNumber(): number {
    return ++this.made;
  }

  /** Link number `at` says that it is the node's; the one that is not heard from now on, or null. */
  onHello(node: NodeId, link: L, at: number): L | null {
    const known = this.byNode.get(node);
    if (known !== undefined && known.at > at) return link;
    this.byNode.set(node, { link, at });
    return known === undefined || known.link === link ? null : known.link;
  }
}

/** An incoming link: its first message says who speaks. */
function listen(
  socket: Socket,
  names: Set<NodeId>,
  host: PeerLinksListener,
  turns: WorkQueue,
  newest: NewestLinks<Socket>,
): void {
  const decoder = new FrameReader();
  const at = newest.nextNumber();
  let node: NodeId | null = null;
  const guarded = (work: () => void): void => {
    try {
      work();
    } catch {
      socket.destroy();
    }
  };
  const take = (frame: Buffer): void => {
    const m = decodePeerMessage(frame);
    if (m === null) return;
    if (socket.destroyed) return;
    if (m.kind === 'hello' && names.has(m.node)) {
      node = m.node;
      newest.onHello(node, socket, at)?.destroy();
      if (socket.destroyed) return;
    }
    if (node === null) return void socket.destroy();
    host.message(node, m);
  };
  const front = { urgency: 0, uselessAfterMs: REPORT_MS } as const;
  socket.on('error', () => socket.destroy());
  socket.on('data', (data) =>
    guarded(() => {
      // Reports take their turn with those that come directly; after a take-over a whole fleet's come at once.
      for (const frame of decoder.frames(data))
        if (!isForwardedHeartbeat(frame)) take(frame);
        else
          turns.add({
            ...front,
            since: performance.now(),
            run: () => guarded(() => take(frame)),
            drop: () => {},
          });
    }),
  );
}
