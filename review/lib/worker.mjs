// Stand-in of a worker: PROTOCOL, "Workers -> controller nodes" and "Controller nodes -> workers".
// Arrays, services and one-task gangs run for the time that `runMs(jobId, index)` says.
import { call, jsonServer } from './http.mjs';
import http from 'node:http';

const RESPONSE_MS = 4000;
const NEXT_NODE_MS = 1000;
const MIN_REPORT_MS = 500;

export class Worker {
  /**
   * `nodes`: `[{ name, addr }]`. `jobs`: descriptions that users uploaded, by id. `onEvent(name, fields)`:
   * receives what happens to tasks. `fails(berth)`: whether the machine fails every task that it starts now.
   */
  constructor({ id, type, yard, loaners, nodes, reportMs, leaseMs, jobs, runMs, onEvent, results = new Set(), pullMs = 50, fails = () => false }) {
    Object.assign(this, { id, type, yard, loaners, nodes, reportMs, leaseMs, jobs, runMs, onEvent, results, pullMs, fails });
    this.shift = 1;
    this.tally = 0;
    this.baton = 0;
    this.recallS = null;
    this.tasks = new Map();
    this.node = Number(id.slice(-2)) % nodes.length;
    this.stopped = false;
    this.changed = false;
    this.wake = null;
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  }

  async start() {
    this.server = await jsonServer((method, url, body, reply) => this.serve(method, url, body, reply));
    this.addr = this.server.addr;
    this.leaseFrom = performance.now();
    this.leaseTimer = setInterval(() => this.checkLease(), 20);
    this.loop();
  }

  stop() {
    this.stopped = true;
    this.killAll('machine gone');
    clearInterval(this.leaseTimer);
    this.server.close();
    this.agent.destroy();
    this.wake?.();
  }

  // ---- tasks

  killAll(reason) {
    for (const task of this.tasks.values()) {
      clearTimeout(task.timer);
      if (task.status !== 'ended') this.onEvent('gone', { berth: this.id, piece: task.piece, try: task.try, reason });
    }
    this.tasks.clear();
  }

  checkLease() {
    if (this.stopped || performance.now() - this.leaseFrom <= this.leaseMs) return;
    this.onEvent('lease-expired', { berth: this.id, shift: this.shift, tasks: this.tasks.size });
    this.killAll('lease expired');
    this.shift++;
    this.leaseFrom = performance.now();
    this.change();
  }

  change() {
    this.changed = true;
    this.wake?.();
  }

  used(field) {
    let sum = 0;
    for (const task of this.tasks.values()) if (task.status !== 'ended') sum += task.job[field];
    return sum;
  }

  execute(order) {
    const key = `${order.piece}@${order.try}`;
    const task = this.tasks.get(key);
    if (order.verb === 'launch') {
      if (task === undefined) this.launch(key, order.piece, order.try);
    } else if (order.verb === 'reap') {
      if (task?.status === 'ended') this.tasks.delete(key);
    } else if (task !== undefined && task.status !== 'ended') this.kill(task, order.windownS ?? 0);
    this.change();
  }

  launch(key, piece, attempt) {
    const jobId = piece.slice(0, piece.lastIndexOf('/'));
    const index = Number(piece.slice(piece.lastIndexOf('/') + 1));
    const job = this.jobs.get(jobId);
    const task = { key, piece, try: attempt, jobId, index, job, status: 'pulling', cause: null, timer: null };
    const refuse = (cause) => {
      this.onEvent('refused', { berth: this.id, piece, try: attempt, cause });
      this.tasks.set(key, { ...task, job: job ?? {}, status: 'ended', cause });
    };
    if (job === undefined || index >= job.pieces) return refuse('no_such');
    for (const other of this.tasks.values())
      if (other.piece === piece && other.status !== 'ended') return refuse('in_use');
    const fits = (field, total) => this.used(field) + job[field] <= total + 1e-9;
    if (!fits('cores', this.type.cores) || !fits('accelerators', this.type.accelerators) || !fits('memoryGb', this.type.memoryGb))
      return refuse('full');
    this.tasks.set(key, task);
    this.onEvent('launch', { berth: this.id, piece, try: attempt });
    task.timer = setTimeout(() => this.begin(task), this.pullMs);
  }

  begin(task) {
    task.status = 'running';
    this.onEvent('start', { berth: this.id, yard: this.yard, piece: task.piece, try: task.try });
    this.change();
    if (this.fails(this.id)) return this.exit(task, 'error');
    if (this.results.has(task.piece)) return this.exit(task, 'done');
    const runMs = this.runMs(task.jobId, task.index);
    if (Number.isFinite(runMs)) task.timer = setTimeout(() => this.exit(task, 'done'), runMs);
  }

  exit(task, cause, stored) {
    clearTimeout(task.timer);
    if (this.tasks.get(task.key) !== task || task.status === 'ended') return;
    task.status = 'ended';
    task.cause = cause;
    if (stored) task.stored = true;
    if (cause === 'done') this.results.add(task.piece);
    this.onEvent('exit', { berth: this.id, piece: task.piece, try: task.try, cause });
    this.change();
  }

  kill(task, windownS) {
    const { snapshotS, flushS } = task.job;
    if (task.status === 'running' && snapshotS > 0 && windownS >= flushS && windownS > 0) {
      task.status = 'flushing';
      clearTimeout(task.timer);
      task.timer = setTimeout(() => this.exit(task, 'halted', true), flushS * 1000);
      this.change();
    } else if (task.status !== 'flushing' || windownS === 0) this.exit(task, 'halted');
  }

  // ---- reports

  report() {
    this.tally++;
    return {
      berth: this.id,
      endpoint: this.addr,
      berthkind: this.type.label,
      yard: this.yard,
      loaners: this.loaners,
      shift: this.shift,
      tally: this.tally,
      baton: this.baton,
      recallS: this.recallS,
      pieces: [...this.tasks.values()].map((task) => ({
        piece: task.piece,
        try: task.try,
        status: task.status,
        ...(task.cause === null ? {} : { cause: task.cause }),
        ...(task.stored ? { stored: true } : {}),
      })),
    };
  }

  sleep(ms) {
    return new Promise((resolve) => {
      const timer = setTimeout(done, ms);
      const self = this;
      function done() {
        clearTimeout(timer);
        self.wake = null;
        resolve();
      }
      this.wake = done;
    });
  }

  async loop() {
    let lastSent = Number.NEGATIVE_INFINITY;
    let moved = false;
    while (!this.stopped) {
      const interval = this.reportMs * (0.75 + Math.random() * 0.5);
      for (;;) {
        if (this.stopped) return;
        const since = performance.now() - lastSent;
        if (moved || since >= interval || (this.changed && since >= MIN_REPORT_MS)) break;
        const wanted = this.changed ? MIN_REPORT_MS - since : interval - since;
        await this.sleep(Math.max(1, wanted));
      }
      moved = false;
      this.changed = false;
      lastSent = performance.now();
      const { shift } = this;
      const text = JSON.stringify(this.report());
      const result = await call(this.nodes[this.node].addr, 'POST', '/checkin', text, RESPONSE_MS, this.agent);
      if (this.stopped) return;
      this.onEvent('answer', { berth: this.id, node: this.nodes[this.node].name, bytes: text.length, status: result?.status ?? null });
      if (result?.status === 200) {
        if (shift === this.shift && result.json?.baton >= this.baton) {
          this.adopt(result.json.baton);
          this.leaseFrom = Math.max(this.leaseFrom, lastSent);
          for (const order of result.json.orders ?? []) this.execute(order);
        }
        continue;
      }
      const target = result?.status === 421 ? this.nodes.findIndex(({ name }) => name === result.json?.foreman) : -1;
      if (target >= 0 && target !== this.node) this.node = target;
      else {
        await new Promise((resolve) => setTimeout(resolve, NEXT_NODE_MS));
        this.node = (this.node + 1) % this.nodes.length;
      }
      moved = true;
    }
  }

  adopt(baton) {
    if (baton <= this.baton) return;
    this.baton = baton;
    this.change();
  }

  // ---- direct commands

  serve(method, url, body, reply) {
    if (method === 'GET' && url.pathname === '/inspect') return reply(200, this.report());
    if (method !== 'POST' || url.pathname !== '/orders') return reply(404, {});
    if (body.baton === undefined || body.shift === undefined) return reply(400, {});
    if (body.baton < this.baton || body.shift !== this.shift) return reply(409, this.report());
    this.adopt(body.baton);
    for (const order of body.orders ?? []) this.execute(order);
    reply(200, this.report());
  }
}
