// Stand-in of the state service: PROTOCOL, "Controller nodes -> state service".
import { jsonServer } from './http.mjs';

const HISTORY = 10_000;

export class StateService {
  constructor({ ledger = 0, rps = 100, writeRps = 40, valueKb = 8, txnOps = 24, latencyMs = 5, record = () => {} } = {}) {
    this.ledger = ledger;
    this.record = record;
    this.limits = { rps, writeRps, valueBytes: valueKb * 1024, txnOps };
    this.latencyMs = latencyMs;
    this.entries = new Map();
    this.leases = new Map();
    this.nextLease = 1;
    this.history = [];
    this.watches = new Set();
    this.down = false;
    this.requests = { level: rps, at: performance.now() };
    this.changes = { level: writeRps, at: performance.now() };
    /** Called before a request is executed; returns true if it has been dealt with. */
    this.intercept = null;
    this.timer = setInterval(() => this.tick(), 20);
  }

  async start() {
    this.server = await jsonServer((...args) => this.serve(...args));
    this.addr = this.server.addr;
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
  }

  /** During an outage every request is refused; afterwards every lease has its full time again. */
  setDown(down) {
    this.down = down;
    if (!down) for (const lease of this.leases.values()) lease.endsAt = performance.now() + lease.lifeMs;
  }

  take(bucket, rate, amount) {
    const now = performance.now();
    bucket.level = Math.min(rate, bucket.level + ((now - bucket.at) / 1000) * rate);
    bucket.at = now;
    if (bucket.level < amount) return false;
    bucket.level -= amount;
    return true;
  }

  tick() {
    const now = performance.now();
    if (this.down) return;
    for (const [id, lease] of this.leases) if (now > lease.endsAt) this.endLease(id);
    for (const watch of [...this.watches]) if (now > watch.until) this.answerWatch(watch);
  }

  endLease(id) {
    this.leases.delete(id);
    const keys = [...this.entries].filter(([, entry]) => entry.lease === id).map(([key]) => key);
    if (keys.length === 0) return;
    this.ledger++;
    for (const key of keys) {
      this.entries.delete(key);
      this.history.push({ drop: key, stamp: this.ledger });
    }
    this.notify();
  }

  notify() {
    if (this.history.length > HISTORY) this.history.splice(0, this.history.length - HISTORY);
    if (this.down) return;
    for (const watch of [...this.watches])
      if (this.history.some((event) => event.stamp > watch.from && (event.set ?? event.drop).startsWith(watch.prefix)))
        this.answerWatch(watch);
  }

  answerWatch(watch) {
    this.watches.delete(watch);
    const events = this.history.filter(
      (event) => event.stamp > watch.from && (event.set ?? event.drop).startsWith(watch.prefix),
    );
    watch.reply(200, { ledger: this.ledger, events });
  }

  serve(method, url, body, reply, socket) {
    const answer = (status, json) => setTimeout(() => reply(status, json), this.latencyMs);
    if (this.down) return answer(503, { error: 'trouble' });
    const execute = (respond) => this.execute(method, url, body, respond, socket);
    if (this.intercept?.(method, url, body, answer, execute)) return;
    execute(answer);
  }

  execute(method, url, body, answer, socket) {
    if (this.down) return answer(503, { error: 'trouble' });
    if (!this.take(this.requests, this.limits.rps, 1)) return answer(429, { error: 'too many requests' });
    this.tick();
    const path = url.pathname;
    if (method === 'GET' && path === '/store') return answer(200, this.list(url.searchParams));
    if (method === 'GET' && path.startsWith('/store/')) return this.get(path.slice('/store/'.length), answer);
    if (method === 'GET' && path === '/changes') return this.watch(url.searchParams, answer, socket);
    if (method === 'POST' && path === '/commit') return this.commit(body, answer);
    if (method === 'POST' && path === '/holds') {
      const id = this.nextLease++;
      this.leases.set(id, { lifeMs: body.lifeMs, endsAt: performance.now() + body.lifeMs });
      return answer(200, { tenancy: id });
    }
    const hold = /^\/holds\/(\d+)(\/extend)?$/.exec(path);
    if (hold !== null) {
      const id = Number(hold[1]);
      const lease = this.leases.get(id);
      if (lease === undefined) return answer(404, {});
      if (method === 'DELETE') this.endLease(id);
      else lease.endsAt = performance.now() + lease.lifeMs;
      return answer(200, {});
    }
    answer(400, { error: 'malformed' });
  }

  get(key, answer) {
    const entry = this.entries.get(key);
    if (entry === undefined) return answer(404, { ledger: this.ledger });
    answer(200, { key, v: entry.v, stamp: entry.stamp, tenancy: entry.lease ?? undefined });
  }

  list(params) {
    const prefix = params.get('prefix') ?? '';
    const from = params.get('from');
    const page = Math.min(1000, Number(params.get('page') ?? 1000));
    const keys = [...this.entries.keys()]
      .filter((key) => key.startsWith(prefix) && (from === null || key > from))
      .sort();
    const items = [];
    let bytes = 0;
    for (const key of keys) {
      const entry = this.entries.get(key);
      const item = { key, v: entry.v, stamp: entry.stamp };
      bytes += JSON.stringify(item).length;
      if (items.length >= page || (items.length > 0 && bytes > 500 * 1024)) break;
      items.push(item);
    }
    return { items, more: items.length < keys.length, ledger: this.ledger };
  }

  watch(params, answer, socket) {
    const from = Number(params.get('from'));
    const oldest = this.history.length >= HISTORY ? this.history[0].stamp : null;
    if (oldest !== null && from < oldest) return answer(410, {});
    const watch = {
      prefix: params.get('prefix') ?? '',
      from,
      until: performance.now() + Math.min(60_000, Number(params.get('blockMs') ?? 0)),
      reply: answer,
    };
    this.watches.add(watch);
    socket.setMaxListeners(0);
    socket.once('close', () => this.watches.delete(watch));
    this.notify();
  }

  commit(body, answer) {
    const conditions = body.if ?? [];
    const changes = body.apply ?? [];
    const { txnOps, valueBytes, writeRps } = this.limits;
    if (changes.length > txnOps || conditions.length > 4 * txnOps || JSON.stringify(body).length > 65_536)
      return answer(400, { error: 'too large' });
    if (changes.some((change) => change.set !== undefined && JSON.stringify(change.v).length > valueBytes))
      return answer(400, { error: 'value too large' });
    if (changes.length > 0 && !this.take(this.changes, writeRps, changes.length))
      return answer(429, { error: 'too many changes' });
    if (changes.some((change) => change.tenancy !== undefined && !this.leases.has(change.tenancy)))
      return answer(400, { error: 'no such lease' });
    const failed = conditions
      .filter(({ key, stamp }) => (this.entries.get(key)?.stamp ?? 0) !== stamp)
      .map(({ key }) => key);
    if (failed.length > 0) return answer(409, { failed, ledger: this.ledger });
    if (changes.length > 0) this.ledger++;
    for (const change of changes) {
      if (change.set !== undefined) {
        this.entries.set(change.set, { v: change.v, stamp: this.ledger, lease: change.tenancy ?? null });
        this.history.push({ set: change.set, v: change.v, stamp: this.ledger });
      } else if (this.entries.delete(change.drop)) this.history.push({ drop: change.drop, stamp: this.ledger });
    }
    this.record('state', 'commit', { ledger: this.ledger, apply: changes.map((change) => change.set ?? `-${change.drop}`) });
    answer(200, { ledger: this.ledger });
    this.notify();
  }
}
