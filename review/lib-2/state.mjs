// Stand-in of the state service (PROTOCOL, "Controller nodes -> state service"). Each controller has a listener
// of its own, so that faults can be limited to one of them.
import { now, serveJson, sleep } from './net.mjs';

class Bucket {
  constructor(rate) {
    this.rate = rate;
    this.left = rate;
    this.at = now();
  }
  take(n) {
    const t = now();
    this.left = Math.min(this.rate, this.left + ((t - this.at) / 1000) * this.rate);
    this.at = t;
    if (this.left < n) return false;
    this.left -= n;
    return true;
  }
}

export class StateService {
  constructor(limits) {
    this.limits = { ...limits };
    this.items = new Map();
    this.ledger = 0;
    this.changes = [];
    this.leases = new Map();
    this.lastLease = 0;
    this.watches = new Set();
    this.requests = new Bucket(limits.rps);
    this.writes = new Bucket(limits.write_rps);
    this.outage = false;
    this.refused429 = 0;
    this.gates = [];
    this.onCommit = null;
    this.timer = setInterval(() => this.expire(), 20);
  }

  /** A listener for one controller. gate.mode: ok, refuse (503), hang (no answer, not executed). gate.filter(request)
   *  may return 'drop-answer', {lateMs} (executed late, unanswered), {slowMs}, or undefined. */
  async listener() {
    const gate = { mode: 'ok', filter: null, late: 0, held: [] };
    gate.release = () => {
      gate.mode = 'ok';
      for (const run of gate.held.splice(0)) run();
      this.wake();
    };
    gate.server = await serveJson((method, path, body, answer) => this.handle(gate, method, path, body, answer));
    gate.addr = gate.server.addr;
    this.gates.push(gate);
    return gate;
  }

  close() {
    clearInterval(this.timer);
    for (const gate of this.gates) gate.server.close();
  }

  async handle(gate, method, path, body, answer) {
    if (gate.mode === 'hang') return;
    if (gate.mode === 'hold') return void gate.held.push(() => this.execute(gate, method, path, body, answer));
    if (this.outage || gate.mode === 'refuse') return answer(503, { error: 'trouble' });
    const what = gate.filter?.(method, path, body);
    if (what === 'drop-answer') return void this.execute(gate, method, path, body, () => {});
    if (what?.lateMs !== undefined) {
      await sleep(what.lateMs);
      gate.late++;
      return void this.execute(gate, method, path, body, () => {});
    }
    await sleep(what?.slowMs ?? 2 + Math.random() * 6);
    this.execute(gate, method, path, body, answer);
  }

  execute(gate, method, path, body, answer) {
    if (!this.requests.take(1)) {
      this.refused429++;
      return answer(429, { error: 'rate' });
    }
    const url = new URL(path, 'http://x');
    const parts = url.pathname.split('/').slice(1);
    if (method === 'GET' && url.pathname === '/store') return this.list(url, answer);
    if (method === 'GET' && parts[0] === 'store') return this.get(url.pathname.slice('/store/'.length), answer);
    if (method === 'POST' && url.pathname === '/commit') return this.commit(body, answer);
    if (method === 'POST' && url.pathname === '/holds') {
      const id = ++this.lastLease;
      this.leases.set(id, { ttl: body.lifeMs, until: now() + body.lifeMs });
      return answer(200, { tenancy: id });
    }
    if (parts[0] === 'holds') {
      const id = Number(parts[1]);
      const lease = this.leases.get(id);
      if (lease === undefined) return answer(404, { ledger: this.ledger });
      if (method === 'DELETE') this.end(id);
      else lease.until = now() + lease.ttl;
      return answer(200, {});
    }
    if (method === 'GET' && url.pathname === '/changes') return this.watch(gate, url, answer);
    answer(400, { error: 'malformed' });
  }

  get(key, answer) {
    const item = this.items.get(decodeURIComponent(key));
    if (item === undefined) return answer(404, { ledger: this.ledger });
    answer(200, { key, v: item.v, stamp: item.stamp, ...(item.tenancy === undefined ? {} : { tenancy: item.tenancy }) });
  }

  list(url, answer) {
    const prefix = url.searchParams.get('prefix') ?? '';
    const from = url.searchParams.get('from');
    const page = Math.min(1000, Number(url.searchParams.get('page') ?? 1000));
    const keys = [...this.items.keys()].filter((key) => key.startsWith(prefix) && (from === null || key > from)).sort();
    const items = [];
    let bytes = 0;
    let more = false;
    for (const key of keys) {
      const item = this.items.get(key);
      bytes += JSON.stringify(item.v).length + key.length + 40;
      if (items.length >= page || bytes > 500 * 1024) {
        more = true;
        break;
      }
      items.push({ key, v: item.v, stamp: item.stamp });
    }
    answer(200, { items, more, ledger: this.ledger });
  }

  commit(body, answer) {
    const conditions = body.if ?? [];
    const apply = body.apply ?? [];
    const { txn_ops, value_kb } = this.limits;
    if (!this.writes.take(apply.length)) {
      this.refused429++;
      return answer(429, { error: 'rate' });
    }
    if (apply.length > txn_ops || conditions.length > 4 * txn_ops) return answer(400, { error: 'too many' });
    for (const op of apply) {
      if (op.set !== undefined && Buffer.byteLength(JSON.stringify(op.v)) > value_kb * 1024) return answer(400, { error: 'too large' });
      if (op.tenancy !== undefined && !this.leases.has(op.tenancy)) return answer(400, { error: 'no such lease' });
    }
    const failed = conditions.filter(({ key, stamp }) => (this.items.get(key)?.stamp ?? 0) !== stamp).map(({ key }) => key);
    if (failed.length > 0) return answer(409, { failed, ledger: this.ledger });
    if (apply.length > 0) {
      this.ledger++;
      for (const op of apply) this.change(op, this.ledger);
      this.wake();
      this.onCommit?.(apply, this.ledger);
    }
    answer(200, { ledger: this.ledger });
  }

  change(op, stamp) {
    if (op.set !== undefined) {
      this.items.set(op.set, { v: op.v, stamp, tenancy: op.tenancy });
      this.changes.push({ set: op.set, v: op.v, stamp });
    } else {
      if (!this.items.delete(op.drop)) return;
      this.changes.push({ drop: op.drop, stamp });
    }
    if (this.changes.length > 10_000) this.changes.splice(0, this.changes.length - 10_000);
  }

  end(id) {
    this.leases.delete(id);
    const keys = [...this.items].filter(([, item]) => item.tenancy === id).map(([key]) => key);
    if (keys.length === 0) return;
    this.ledger++;
    for (const key of keys) this.change({ drop: key }, this.ledger);
    this.wake();
  }

  expire() {
    if (this.outage) return;
    const t = now();
    for (const [id, lease] of [...this.leases]) if (t > lease.until + 30) this.end(id);
    this.wake();
  }

  /** During an outage nothing is answered; once it is over, every lease has its full time again. */
  setOutage(on) {
    this.outage = on;
    if (on) return;
    for (const lease of this.leases.values()) lease.until = now() + lease.ttl;
    this.wake();
  }

  watch(gate, url, answer) {
    const from = Number(url.searchParams.get('from'));
    if (this.changes.length > 0 && from < this.changes[0].stamp - 1) return answer(410, { error: 'too old' });
    this.watches.add({
      gate,
      prefix: url.searchParams.get('prefix') ?? '',
      from,
      until: now() + Math.min(60_000, Number(url.searchParams.get('blockMs') ?? 0)),
      answer,
    });
    this.wake();
  }

  wake() {
    if (this.outage) return;
    const t = now();
    for (const watch of [...this.watches]) {
      if (watch.gate.mode !== 'ok') continue;
      const events = [];
      for (let i = this.changes.length - 1; i >= 0 && this.changes[i].stamp > watch.from; i--) {
        const change = this.changes[i];
        if ((change.set ?? change.drop).startsWith(watch.prefix)) events.unshift(change);
      }
      if (events.length === 0 && t < watch.until) continue;
      this.watches.delete(watch);
      watch.answer(200, { ledger: this.ledger, events });
    }
  }
}
