// Stand-in of the cloud: PROTOCOL, "Controller nodes -> cloud". Its machines are the workers of worker.mjs.
import { jsonServer } from './http.mjs';
import { Worker } from './worker.mjs';

export class Cloud {
  /**
   * `types`: as `GET /flavors` lists them. `capacity`: machines of each type, zone and kind. `workers`: settings
   * and environment of the machines.
   */
  constructor({ types, capacity = 8, bootMs = 500, listLagMs = 0, workers, record = () => {} }) {
    this.types = types;
    this.capacity = capacity;
    this.bootMs = bootMs;
    this.listLagMs = listLagMs;
    this.workerOptions = workers;
    this.record = record;
    this.machines = new Map();
    this.rentals = new Map();
    this.created = 0;
    this.lists = [];
    this.down = false;
  }

  async start() {
    this.server = await jsonServer((...args) => this.serve(...args));
    this.addr = this.server.addr;
  }

  close() {
    for (const machine of this.machines.values()) machine.worker?.stop();
    this.server.close();
  }

  serve(method, url, body, reply) {
    if (this.down) return reply(503, { error: 'trouble' });
    const path = url.pathname;
    if (method === 'GET' && path === '/flavors') return reply(200, { berthkinds: this.types });
    if (method === 'POST' && path === '/rentals') return this.rent(body, reply);
    if (method === 'POST' && path === '/rentals/release') {
      for (const id of body.berths) this.remove(id);
      return reply(200, {});
    }
    if (method === 'GET' && path === '/rentals') return reply(200, this.list(url.searchParams));
    reply(400, { error: 'malformed' });
  }

  rent(body, reply) {
    const known = this.rentals.get(body.hire);
    if (known !== undefined) return reply(200, { berths: known });
    const type = this.types.find(({ label }) => label === body.berthkind);
    if (type === undefined || !type.yards.includes(body.yard)) return reply(400, { error: 'malformed' });
    const rented = [...this.machines.values()].filter(
      (machine) => machine.type === type && machine.yard === body.yard && machine.loaners === (body.loaners === true),
    );
    const count = Math.min(body.number, 50, this.capacity - rented.length);
    if (count <= 0) return reply(503, { error: 'no capacity' });
    const ids = [];
    for (let i = 0; i < count; i++) ids.push(this.create(type, body.yard, body.loaners === true));
    this.rentals.set(body.hire, ids);
    this.record('cloud', 'rented', { hire: body.hire, berths: ids });
    reply(200, { berths: ids });
  }

  create(type, yard, loaners) {
    const id = `i-${String(++this.created).padStart(6, '0')}`;
    const machine = { id, type, yard, loaners, rentedAt: performance.now(), worker: null };
    this.machines.set(id, machine);
    setTimeout(async () => {
      if (!this.machines.has(id)) return;
      const worker = new Worker({ id, type, yard, loaners, ...this.workerOptions });
      await worker.start();
      if (!this.machines.has(id)) return worker.stop();
      machine.worker = worker;
      this.record('cloud', 'booted', { berth: id });
    }, this.bootMs);
    return id;
  }

  remove(id) {
    const machine = this.machines.get(id);
    if (machine === undefined) return;
    this.machines.delete(id);
    machine.worker?.stop();
    this.record('cloud', 'released', { berth: id });
  }

  list(params) {
    const now = performance.now();
    const current = [...this.machines.values()].map((machine) => ({
      nameId: machine.id,
      endpoint: machine.worker?.addr ?? '127.0.0.1:1',
      berthkind: machine.type.label,
      yard: machine.yard,
      loaners: machine.loaners,
      status: machine.worker === null ? 'booting' : 'running',
      heldS: (now - machine.rentedAt) / 1000,
    }));
    this.lists.push({ at: now, berths: current });
    while (this.lists.length > 1 && this.lists[1].at <= now - this.listLagMs) this.lists.shift();
    const shown = this.lists[0].at <= now - this.listLagMs ? this.lists[0].berths : [];
    const from = params.get('from');
    const page = Math.min(500, Number(params.get('page') ?? 500));
    const rest = shown.filter(({ nameId }) => from === null || nameId > from);
    return { berths: rest.slice(0, page), more: rest.length > page };
  }
}
