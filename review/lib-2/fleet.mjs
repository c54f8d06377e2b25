// Stand-ins of the cloud and of the workers on its machines (PROTOCOL, "Controller nodes -> cloud", "Workers ->
// controller nodes", "Gangs"), and the record of what was on which machine when.
import http from 'node:http';
import { call, now, serveJson } from './net.mjs';

/** Watches the rules that are about machines: what is on a machine, and where else. */
export class Presence {
  constructor(log) {
    this.log = log;
    this.byPiece = new Map();
    this.starts = [];
    this.broken = [];
    this.onStart = null;
  }
  start(worker, piece, attempt) {
    const others = this.byPiece.get(piece) ?? new Set();
    for (const other of others)
      if (other !== worker) this.fail('ran_twice', `${piece} starts on ${worker.id} (try ${attempt}) while it is on ${other.id}`);
    others.add(worker);
    this.byPiece.set(piece, others);
    this.starts.push({ piece, machine: worker.id, attempt, at: now() });
    if (!worker.world.quietPieces) this.log('start', { piece, machine: worker.id, attempt });
    this.onStart?.(worker, piece);
  }
  end(worker, piece, why) {
    this.byPiece.get(piece)?.delete(worker);
    if (!worker.world.quietPieces) this.log('end', { piece, machine: worker.id, why });
  }
  on(piece) {
    return [...(this.byPiece.get(piece) ?? [])];
  }
  fail(rule, text) {
    this.broken.push({ rule, text });
    this.log('BROKEN', { rule, text });
  }
}

export class Cloud {
  constructor({ flavors, listLagS, bootS, world }) {
    this.flavors = flavors;
    this.listLagS = listLagS;
    this.bootS = bootS;
    this.world = world;
    this.hires = new Map();
    this.machines = new Map();
    this.last = 0;
    this.outage = false;
    this.capacity = null;
    this.gates = [];
    this.released = [];
  }
  async listener() {
    const gate = { mode: 'ok', filter: null };
    gate.server = await serveJson((method, path, body, answer) => this.handle(gate, method, path, body, answer));
    gate.addr = gate.server.addr;
    this.gates.push(gate);
    return gate;
  }
  close() {
    for (const gate of this.gates) gate.server.close();
    for (const machine of this.machines.values()) machine.worker?.vanish();
  }
  handle(gate, method, path, body, answer) {
    if (gate.mode === 'hang') return;
    if (this.outage) return answer(503, { error: 'trouble' });
    const reply = (status, json) => setTimeout(() => answer(status, json), 30 + Math.random() * 60);
    if (method === 'GET' && path === '/flavors') return reply(200, { berthkinds: this.flavors });
    if (method === 'POST' && path === '/rentals') return this.rent(body, reply);
    if (method === 'POST' && path === '/rentals/release') {
      for (const id of body.berths) this.delete(id);
      return reply(200, {});
    }
    if (method === 'GET' && path.startsWith('/rentals')) return this.list(path, reply);
    answer(400, {});
  }
  rent({ hire, berthkind, yard, loaners, number }, reply) {
    const known = this.hires.get(hire);
    if (known !== undefined) return reply(200, { berths: known });
    const free = this.capacity === null ? number : Math.max(0, this.capacity - [...this.machines.values()].filter((m) => m.goneAt === null).length);
    const count = Math.min(number, free);
    if (count === 0) return reply(503, { error: 'no capacity' });
    const berths = [];
    for (let i = 0; i < count; i++) {
      const id = `i-${String(++this.last).padStart(6, '0')}`;
      const machine = { id, berthkind, yard, loaners, rentedAt: now(), upAt: null, goneAt: null, failedAt: null, worker: null };
      this.machines.set(id, machine);
      berths.push(id);
      setTimeout(() => this.boot(machine), this.bootS * 1000 * (0.6 + Math.random() * 0.9));
    }
    this.hires.set(hire, berths);
    this.world.log('rented', { hire, berthkind, yard, loaners, berths });
    reply(200, { berths });
  }
  async boot(machine) {
    if (machine.goneAt !== null || this.world.stopped) return;
    machine.upAt = now();
    const flavor = this.flavors.find((f) => f.label === machine.berthkind);
    machine.worker = new Worker(this.world, machine, flavor);
    await machine.worker.begin();
  }
  delete(id) {
    const machine = this.machines.get(id);
    if (machine === undefined || machine.goneAt !== null) return;
    machine.goneAt = now();
    this.world.log('released', { machine: id });
    this.released.push(id);
    machine.worker?.vanish();
  }
  /** The machine stops with all that is on it. */
  die(id) {
    const machine = this.machines.get(id);
    machine.failedAt = now();
    machine.worker?.vanish();
  }
  list(path, reply) {
    const url = new URL(path, 'http://x');
    const from = url.searchParams.get('from') ?? '';
    const page = Number(url.searchParams.get('page') ?? 500);
    const asOf = now() - this.listLagS * 1000 * (0.8 + Math.random() * 0.6);
    const all = [...this.machines.values()].filter(
      (m) => m.rentedAt <= asOf && (m.goneAt === null || m.goneAt > asOf) && m.id > from,
    );
    const berths = all.slice(0, page).map((m) => ({
      nameId: m.id,
      endpoint: m.worker?.addr ?? '127.0.0.1:9',
      berthkind: m.berthkind,
      yard: m.yard,
      loaners: m.loaners,
      status: m.failedAt !== null && m.failedAt + 30_000 <= asOf ? 'failed' : m.upAt !== null && m.upAt <= asOf ? 'running' : 'booting',
      heldS: (asOf - m.rentedAt) / 1000,
    }));
    reply(200, { berths, more: all.length > page });
  }
}

/** One worker. Faults: `cut` (reaches no controller; null, 'hang'), `nodeCut` (a set of nodes that do not answer). */
export class Worker {
  constructor(world, machine, flavor) {
    this.world = world;
    this.machine = machine;
    this.id = machine.id;
    this.flavor = flavor;
    this.shift = 1;
    this.tally = 0;
    this.baton = 0;
    this.recallS = null;
    this.pieces = new Map();
    this.images = new Set();
    this.gone = false;
    this.cut = false;
    this.nodeIndex = Math.floor(Math.random() * world.nodes.length);
    this.sentAt = 0;
    this.leaseFrom = now();
    this.inFlight = null;
    this.changed = false;
    this.timer = null;
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 4 });
    this.reports = 0;
    this.lastStatus = null;
    this.largestReport = 0;
    this.largestAnswer = 0;
    this.statuses = new Map();
    this.leasesLost = 0;
  }
  async begin() {
    this.server = await serveJson((method, path, body, answer) => this.command(method, path, body, answer));
    this.addr = this.server.addr;
    this.world.log('up', { machine: this.id });
    this.leaseFrom = now();
    this.tick = setInterval(() => this.check(), 50);
    this.schedule(Math.random() * 300);
  }
  vanish() {
    if (this.gone) return;
    this.gone = true;
    clearTimeout(this.timer);
    clearInterval(this.tick);
    this.agent.destroy();
    this.server?.close();
    for (const piece of this.pieces.values()) this.leave(piece, 'machine gone');
    this.pieces.clear();
  }
  // ---- reports
  schedule(ms) {
    clearTimeout(this.timer);
    if (!this.gone) this.timer = setTimeout(() => this.report(), Math.max(0, ms));
  }
  change() {
    if (this.gone) return;
    this.changed = true;
    if (this.inFlight === null) this.schedule(Math.max(0, this.sentAt + 500 - now()));
  }
  body() {
    return {
      berth: this.id,
      endpoint: this.addr,
      berthkind: this.machine.berthkind,
      yard: this.machine.yard,
      loaners: this.machine.loaners,
      shift: this.shift,
      tally: ++this.tally,
      baton: this.baton,
      recallS: this.recallS,
      pieces: [...this.pieces.values()].map((p) => ({
        piece: p.piece,
        try: p.attempt,
        status: p.status,
        ...(p.status === 'ended' ? { cause: p.cause, ...(p.stored ? { stored: true } : {}) } : {}),
      })),
    };
  }
  async report() {
    if (this.gone || this.inFlight !== null) return;
    const { nodes } = this.world;
    const node = nodes[this.nodeIndex];
    const sentAt = now();
    const { shift } = this;
    this.sentAt = sentAt;
    this.changed = false;
    this.reports++;
    const text = JSON.stringify(this.body());
    this.largestReport = Math.max(this.largestReport, Buffer.byteLength(text));
    const token = {};
    if (this.cut === 'hold' && this.heldReport === undefined) this.heldReport = { addr: node.addr, text };
    this.inFlight = token;
    const reply = this.cut || node.cutWorkers?.(this) ? await new Promise((r) => setTimeout(() => r(null), 4000)) : await call(node.addr, 'POST', '/checkin', text, 4000, this.agent);
    if (this.gone) return;
    this.inFlight = null;
    if (this.lastStatus !== (reply?.status ?? 0) && this.world.verbose) this.world.log('report', { machine: this.id, node: node.name, status: reply?.status ?? 0, bytes: Buffer.byteLength(text) });
    this.lastStatus = reply?.status ?? 0;
    this.statuses.set(this.lastStatus, (this.statuses.get(this.lastStatus) ?? 0) + 1);
    this.largestAnswer = Math.max(this.largestAnswer, Buffer.byteLength(reply?.text ?? ''));
    if (reply?.status === 200 && this.world.onReportAnswer !== undefined) this.world.onReportAnswer(this, reply);
    if (reply?.status === 200) {
      this.accept(reply.json, sentAt, shift);
      const every = this.world.workers.report_s * 1000 * (0.75 + Math.random() * 0.5);
      const next = this.changed ? Math.max(500, 0) : every;
      return this.schedule(sentAt + next - now());
    }
    if (reply?.status === 421) {
      const target = nodes.findIndex((n) => n.name === reply.json?.foreman);
      if (target >= 0 && target !== this.nodeIndex) {
        this.nodeIndex = target;
        return this.schedule(Math.max(Math.random() * 500, this.sentAt + 500 - now()));
      }
    }
    this.nodeIndex = (this.nodeIndex + 1) % nodes.length;
    this.schedule(1000);
  }
  /** The machine has its network again. A report that was held back on its way arrives now; nobody takes the answer. */
  heal() {
    this.cut = false;
    const held = this.heldReport;
    this.heldReport = undefined;
    if (held !== undefined && !this.gone) call(held.addr, 'POST', '/checkin', held.text, 4000);
  }
  accept(json, sentAt, shift) {
    if (shift !== this.shift) return;
    if (json === null || typeof json.baton !== 'number' || json.baton < this.baton) return;
    if (json.baton > this.baton) {
      this.baton = json.baton;
      this.changed = true;
    }
    this.leaseFrom = Math.max(this.leaseFrom, sentAt);
    this.execute(json.orders ?? []);
  }
  check() {
    if (this.gone) return;
    if (now() - this.leaseFrom <= this.world.workers.lease_s * 1000) return;
    const had = [...this.pieces.values()].filter((p) => p.status !== 'ended').length;
    this.leasesLost++;
    this.world.log('lease', { machine: this.id, shift: this.shift, tasksKilled: had });
    for (const piece of this.pieces.values()) this.leave(piece, 'lease');
    this.pieces.clear();
    this.shift++;
    this.leaseFrom = now();
    this.change();
  }
  // ---- commands
  command(method, path, body, answer) {
    if (this.gone || this.cut) return;
    if (method === 'GET' && path === '/inspect') return answer(200, this.body());
    if (method !== 'POST' || path !== '/orders') return answer(404, {});
    if (body?.baton === undefined || body.shift === undefined) return answer(400, {});
    if (body.baton < this.baton || body.shift !== this.shift) return answer(409, this.body());
    if (body.baton > this.baton) {
      this.baton = body.baton;
      this.change();
    }
    this.execute(body.orders ?? []);
    answer(200, this.body());
  }
  execute(orders) {
    for (const { verb, piece, try: attempt, windownS } of orders) {
      const key = `${piece}#${attempt}`;
      if (verb === 'launch') this.launch(key, piece, attempt);
      else if (verb === 'kill') this.kill(this.pieces.get(key), windownS);
      else if (verb === 'reap' && this.pieces.get(key)?.status === 'ended') {
        this.pieces.delete(key);
        this.change();
      }
    }
  }
  free() {
    let { cores, accelerators, memoryGb } = this.flavor;
    for (const p of this.pieces.values()) {
      if (p.status === 'ended') continue;
      cores -= p.job.cores;
      accelerators -= p.job.accelerators;
      memoryGb -= p.job.memoryGb;
    }
    return { cores, accelerators, memoryGb };
  }
  launch(key, piece, attempt) {
    if (this.pieces.has(key)) return;
    const [id, index] = piece.split('/');
    const job = this.world.jobs.get(id);
    const p = { key, piece, id, attempt, job, status: 'pulling', cause: null, stored: false, present: false, ran: 0 };
    this.pieces.set(key, p);
    this.change();
    if (job === undefined || Number(index) >= job.pieces) return this.refuse(p, 'no_such');
    for (const other of this.pieces.values())
      if (other !== p && other.piece === piece && other.status !== 'ended') return this.refuse(p, 'in_use');
    const { cores, accelerators, memoryGb } = this.free();
    if (cores < -1e-6 || accelerators < -1e-6 || memoryGb < -1e-6) return this.refuse(p, 'full');
    const fetch = this.images.has(job.bundle) ? 5 : 50 + job.sizeGb * (this.world.pullMsPerGb ?? 300);
    p.timer = setTimeout(() => this.arrive(p), fetch);
  }
  refuse(p, cause) {
    p.status = 'ended';
    p.cause = cause;
    this.world.log('refused', { piece: p.piece, machine: this.id, cause });
    this.change();
  }
  /** The image is there: from now on the task is on the machine. */
  arrive(p) {
    if (this.gone || this.pieces.get(p.key) !== p || p.status !== 'pulling') return;
    this.images.add(p.job.bundle);
    p.present = true;
    this.world.presence.start(this, p.piece, p.attempt);
    if (this.world.results.has(p.piece)) return this.exit(p, 'done');
    if (p.job.shape === 'gang') return this.world.gangs.join(this, p);
    this.run(p);
  }
  run(p) {
    p.status = 'running';
    this.change();
    if (p.job.shape === 'daemon') return;
    p.timer = setTimeout(() => this.exit(p, 'done'), this.world.runS(p.job, p.piece) * 1000);
  }
  exit(p, cause, stored = false) {
    if (this.gone || this.pieces.get(p.key) !== p || p.status === 'ended') return;
    clearTimeout(p.timer);
    p.status = 'ended';
    p.cause = cause;
    p.stored = stored;
    if (cause === 'done') {
      this.world.results.add(p.piece);
      if (p.job.shape === 'gang') this.world.gangs.complete(p);
    }
    this.leave(p, cause);
    this.change();
  }
  leave(p, why) {
    clearTimeout(p.timer);
    if (p.present) this.world.presence.end(this, p.piece, why);
    p.present = false;
    if (p.job?.shape === 'gang') this.world.gangs.leave(this, p);
  }
  kill(p, windownS) {
    if (p === undefined || p.status === 'ended') return;
    const { job } = p;
    if (p.status === 'running' && job.snapshotS > 0 && windownS >= job.flushS && job.shape !== 'gang') {
      clearTimeout(p.timer);
      p.status = 'flushing';
      this.change();
      p.timer = setTimeout(() => this.exit(p, 'halted', true), job.flushS * 1000);
      return;
    }
    if (p.status === 'flushing' && windownS > 0) return;
    if (p.status === 'pulling') {
      clearTimeout(p.timer);
      p.status = 'ended';
      p.cause = 'halted';
      this.change();
      return;
    }
    this.exit(p, 'halted');
  }
}

/** Gangs find one another by their attempt number. */
export class Gangs {
  constructor(world) {
    this.world = world;
    this.byAttempt = new Map();
  }
  of(p) {
    const key = `${p.id}#${p.attempt}`;
    let gang = this.byAttempt.get(key);
    if (gang === undefined) {
      gang = { members: new Map(), running: false };
      this.byAttempt.set(key, gang);
    }
    return gang;
  }
  join(worker, p) {
    const gang = this.of(p);
    gang.members.set(p.piece, { worker, p });
    p.status = 'waiting';
    worker.change();
    const { gang_wait_s } = this.world.workers;
    p.timer = setTimeout(() => worker.exit(p, 'alone'), gang_wait_s * 1000);
    if (gang.members.size < p.job.pieces || gang.running) return;
    gang.running = true;
    const ms = this.world.runS(p.job, p.piece) * 1000;
    for (const { worker: w, p: q } of gang.members.values()) {
      clearTimeout(q.timer);
      q.status = 'running';
      w.change();
      q.timer = setTimeout(() => w.exit(q, 'done'), ms);
    }
  }
  complete(p) {
    const gang = this.of(p);
    if (gang.completing) return;
    gang.completing = true;
    for (const { worker, p: q } of [...gang.members.values()]) {
      if (q === p) continue;
      this.world.results.add(q.piece);
      worker.exit(q, 'done');
    }
  }
  leave(worker, p) {
    const gang = this.of(p);
    if (!gang.members.delete(p.piece)) return;
    if (!gang.running || p.cause === 'done') return;
    for (const { worker: w, p: q } of gang.members.values()) {
      clearTimeout(q.timer);
      q.timer = setTimeout(() => w.exit(q, 'peers'), this.world.workers.gang_peer_s * 1000 * 0.8);
    }
  }
}
