// Links to the other controllers: each node dials every other and speaks on the link it dialled.
import { connect, createServer, type Socket } from 'node:net';
import type { PeerMessage, Settings } from '../core/base/model.ts';
import type { Turns } from '../http/turns.ts';
import { decodeFrame, encodePeer, isFront, PeerDecoder } from '../protocol/peer.ts';
import type { NodeId } from '../types/index.ts';
import { splitAddr } from './addr.ts';

const REDIAL_MS = 500;
const DIAL_TIMEOUT_MS = 1500;
/** A link that takes nothing for this long is given up: behind a cut it would swallow messages. */
const STUCK_BYTES = 2 * 1024 * 1024;
/** The node that passes a report on gives it up after this. */
const REPORT_MS = 3400;
/** Reports are passed on in company: each write and each read costs more than the frame in it. */
const GATHER_MS = 10;

export interface PeersHost {
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
    private readonly host: PeersHost,
  ) {
    this.dial();
  }

  private dial(): void {
    const { host, port } = splitAddr(this.addr);
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
    const first = this.pending.push(encodePeer(m)) === 1;
    // Reports and their answers can wait for one another; what a user waits for takes them along at once.
    if (m.kind === 'front' || m.kind === 'fronted') {
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

export class Peers {
  private readonly links = new Map<NodeId, Link>();

  constructor(settings: Settings, host: PeersHost, turns: Turns, onError: (e: Error) => void) {
    const { host: bind, port } = splitAddr(settings.peerListen);
    const names = new Set(settings.peers.map((p) => p.node));
    const newest = new Newest<Socket>();
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
export class Newest<L> {
  private made = 0;
  private readonly byNode = new Map<NodeId, { link: L; at: number }>();

  /** Numbers links in the order in which they were made. */
  number(): number {
    return ++this.made;
  }

  /** Link number `at` says that it is the node's; the one that is not heard from now on, or null. */
  greeted(node: NodeId, link: L, at: number): L | null {
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
  host: PeersHost,
  turns: Turns,
  newest: Newest<Socket>,
): void {
  const decoder = new PeerDecoder();
  const at = newest.number();
  let node: NodeId | null = null;
  const guarded = (work: () => void): void => {
    try {
      work();
    } catch {
      socket.destroy();
    }
  };
  const take = (frame: Buffer): void => {
    const m = decodeFrame(frame);
    if (m === null) return;
    if (socket.destroyed) return;
    if (m.kind === 'hello' && names.has(m.node)) {
      node = m.node;
      newest.greeted(node, socket, at)?.destroy();
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
        if (!isFront(frame)) take(frame);
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
