// A small deployment: three controllers as the deploy file starts them, and the stand-ins around them.
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, openSync, closeSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Cloud, Gangs, Presence } from './fleet.mjs';
import { call, now, sleep, startProxy } from './net.mjs';
import { StateService } from './state.mjs';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

/** Deployments as the pages of the operators describe them (BRIEF, DEPLOY). */
export const SITES = {
  'brazos-haul': {
    nodes: ['bryan', 'waco', 'bryan'],
    zones: ['bryan', 'waco'],
    teams: ['dispatch', 'fleet', 'billing', 'sitesafety', 'modeling'].map((name) => ({ name, cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 })),
    workers: { report_s: 3, lease_s: 24, gang_wait_s: 35, gang_peer_s: 8, cancel_s: 49 },
    state: { rps: 100, write_rps: 40, value_kb: 8, txn_ops: 24 },
    cloud: { rps: 8, list_lag_s: 8 },
    limits: { cpu_share: 0.34, ram_mb: 306, sockets: 3000 },
    time_bound_ms: 25,
    flavors: [
      { label: 'yardbox', cores: 16, accelerators: 0, memoryGb: 64, cacheGb: 60, pullGbPerS: 0.5, rate: 0.96, lowPrice: 0.33, bootS: 25, yards: ['bryan', 'waco'] },
      { label: 'lensbox', cores: 16, accelerators: 2, memoryGb: 128, cacheGb: 100, pullGbPerS: 0.5, rate: 4.61, lowPrice: 1.45, bootS: 50, yards: ['bryan', 'waco'] },
    ],
  },
  'signet-tas': {
    nodes: ['hobart', 'launceston', 'burnie'],
    zones: ['hobart', 'launceston', 'burnie', 'devonport'],
    teams: [
      { name: 'trustops', cpus: 304, cpus_max: 616, gpus: 0, gpus_max: 0 },
      { name: 'registry', cpus: 456, cpus_max: 1840, gpus: 0, gpus_max: 0 },
    ],
    workers: { report_s: 1, lease_s: 10, gang_wait_s: 45, gang_peer_s: 4, cancel_s: 40 },
    state: { rps: 250, write_rps: 50, value_kb: 8, txn_ops: 24 },
    cloud: { rps: 1.5, list_lag_s: 10 },
    limits: { cpu_share: 0.17, ram_mb: 146, sockets: 700 },
    time_bound_ms: 250,
    flavors: [
      { label: 'vaultnode', cores: 32, accelerators: 0, memoryGb: 64, cacheGb: 60, pullGbPerS: 0.5, rate: 1.66, lowPrice: 0.39, bootS: 20, yards: ['hobart', 'launceston', 'burnie', 'devonport'] },
      { label: 'scannode', cores: 16, accelerators: 2, memoryGb: 64, cacheGb: 100, pullGbPerS: 0.5, rate: 4.59, lowPrice: 1.21, bootS: 60, yards: ['hobart', 'launceston', 'devonport'] },
      { label: 'bignode', cores: 96, accelerators: 8, memoryGb: 576, cacheGb: 70, pullGbPerS: 0.2, rate: 26.89, lowPrice: 6.52, bootS: 35, yards: ['hobart', 'devonport'] },
    ],
  },
  'temple-recycling': {
    nodes: ['temple', 'killeen', 'belton', 'hearne', 'temple'],
    zones: ['temple', 'killeen', 'belton', 'hearne'],
    teams: [
      { name: 'scalehouse', cpus: 0, cpus_max: 0, gpus: 16, gpus_max: 48 },
      { name: 'sortline', cpus: 0, cpus_max: 0, gpus: 24, gpus_max: 64 },
    ],
    workers: { report_s: 5, lease_s: 27, gang_wait_s: 50, gang_peer_s: 5, cancel_s: 52 },
    state: { rps: 100, write_rps: 30, value_kb: 8, txn_ops: 20 },
    cloud: { rps: 10, list_lag_s: 8 },
    limits: { cpu_share: 0.255, ram_mb: 306, sockets: 3000 },
    time_bound_ms: 50,
    flavors: [
      { label: 'sorterbox', cores: 32, accelerators: 4, memoryGb: 192, cacheGb: 100, pullGbPerS: 0.5, rate: 10.7, lowPrice: 3.64, bootS: 30, yards: ['temple', 'killeen', 'belton', 'hearne'] },
    ],
  },
};

/** A free port below the range that the system gives to outgoing connections, as a process may come back to it later. */
async function freePort() {
  for (;;) {
    const port = 10_000 + Math.floor(Math.random() * 20_000);
    const isFree = await new Promise((resolve) => {
      const server = net.createServer();
      server.once('error', () => resolve(false));
      server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
    });
    if (isFree) return port;
  }
}

/** The program and arguments of `run` in the deploy file. */
function deployCommand() {
  const text = readFileSync(join(ROOT, 'deploy', 'service.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

export class World {
  constructor({ site, recordFile, bootS = 1.2, runS = () => 5, logLevel = 'info', patch = {} }) {
    this.site = { ...SITES[site], ...patch };
    this.siteName = site;
    this.workers = this.site.workers;
    this.runS = runS;
    this.bootS = bootS;
    this.logLevel = logLevel;
    this.recordFile = recordFile;
    this.startedAt = now();
    this.jobs = new Map();
    this.results = new Set();
    this.nodes = [];
    this.proxies = new Map();
    this.stopped = false;
    this.lastJob = 0;
    this.said = new Map();
    if (recordFile !== undefined) writeFileSync(recordFile, '');
    this.lines = [];
    this.presence = new Presence((what, fields) => this.log(what, fields));
    this.gangs = new Gangs(this);
  }
  log(what, fields = {}) {
    const line = `${((now() - this.startedAt) / 1000).toFixed(3).padStart(8)} ${what} ${JSON.stringify(fields)}\n`;
    this.lines.push(line);
    if (this.recordFile !== undefined) appendFileSync(this.recordFile, line);
  }
  async begin() {
    this.folder = mkdtempSync(join(tmpdir(), 'swiftford-review-'));
    const { site } = this;
    this.state = new StateService(site.state);
    this.cloud = new Cloud({ flavors: site.flavors, listLagS: site.cloud.list_lag_s, bootS: this.bootS, world: this });
    for (const [i, location] of site.nodes.entries()) {
      const node = { name: `berth-${i}`, index: i, location, child: null, generation: 0 };
      node.addr = `127.0.0.1:${await freePort()}`;
      node.internal = `127.0.0.1:${await freePort()}`;
      node.state = await this.state.listener();
      node.cloud = await this.cloud.listener();
      this.nodes.push(node);
    }
    for (const from of this.nodes)
      for (const to of this.nodes)
        if (from !== to) this.proxies.set(`${from.name}>${to.name}`, await startProxy(() => to.internal));
    for (const node of this.nodes) {
      node.file = join(this.folder, `${node.name}.json`);
      writeFileSync(node.file, JSON.stringify(this.settingsOf(node), null, 1));
      this.startNode(node);
    }
    await this.ready();
  }
  settingsOf(node) {
    const { site } = this;
    return {
      node: node.name,
      location: node.location,
      bind: node.addr,
      internal_addr: node.internal,
      others: this.nodes.filter((n) => n !== node).map((n) => ({ node: n.name, location: n.location, peer_addr: this.proxies.get(`${node.name}>${n.name}`).addr })),
      outside: { cloud: node.cloud.addr, state: node.state.addr },
      params: {
        initial_size: site.nodes.length,
        zones: site.zones,
        teams: site.teams,
        objectives: [],
        workers: site.workers,
        state: site.state,
        cloud: site.cloud,
        limits: site.limits,
        time_bound_ms: site.time_bound_ms,
      },
    };
  }
  startNode(node) {
    const [program, ...args] = deployCommand();
    const out = openSync(join(this.folder, `${node.name}.log`), 'a');
    node.child = spawn(program === 'node' ? process.execPath : program, [...args, node.file], {
      cwd: ROOT,
      env: { ...process.env, LOG_LEVEL: this.logLevel },
      stdio: ['ignore', 'ignore', out],
    });
    closeSync(out);
    const { child } = node;
    node.generation++;
    child.on('exit', (code, signal) => {
      if (node.child === child) node.child = null;
      if (!this.stopped && !child.expected) {
        this.log('process ended by itself', { node: node.name, code, signal });
        this.ended = (this.ended ?? 0) + 1;
        // The platform starts it again.
        setTimeout(() => this.stopped || node.child || this.startNode(node), 6000);
      }
    });
    this.log('process started', { node: node.name, pid: child.pid });
  }
  kill(node, backAfterMs = 6000) {
    if (node.child === null) return;
    node.child.expected = true;
    node.child.kill('SIGKILL');
    this.log('killed', { node: node.name });
    if (backAfterMs !== null) setTimeout(() => this.stopped || this.startNode(node), backAfterMs);
  }
  logOf(node) {
    return readFileSync(join(this.folder, `${node.name}.log`), 'utf8');
  }
  async ready(timeoutMs = 20_000) {
    const until = now() + timeoutMs;
    for (;;) {
      const answers = await Promise.all(this.nodes.map((n) => call(n.addr, 'GET', '/ready', null, 1000)));
      if (answers.every((a) => a?.status === 200)) return;
      if (now() > until) throw new Error('the controllers do not become ready');
      await sleep(200);
    }
  }
  async statusOf(node) {
    return (await call(node.addr, 'GET', '/status', null, 2000))?.json ?? null;
  }
  /** The controller that holds the leader key, from the state service's own content. */
  leader() {
    for (const key of ['share/0', 'share/1']) {
      const name = this.state.items.get(key)?.v?.node;
      if (name !== undefined) return this.nodes.find((n) => n.name === name) ?? null;
    }
    return null;
  }
  job(fields) {
    const nameId = fields.nameId ?? `run-${String(++this.lastJob).padStart(6, '0')}`;
    return {
      nameId,
      jobclass: 'yardmatch',
      owner: this.site.teams[0].name,
      shape: 'batch',
      urgency: 'normal',
      pieces: 1,
      cores: 1,
      accelerators: 0,
      memoryGb: 1,
      bundle: 'img-1',
      sizeGb: 0.5,
      berthkinds: null,
      yard: null,
      samePlace: false,
      scatter: false,
      loaners: true,
      guessS: 10,
      snapshotS: 0,
      flushS: 0,
      dueS: null,
      ...fields,
    };
  }
  pickNode() {
    const up = this.nodes.filter((n) => n.child !== null && !n.cutUsers);
    return up[Math.floor(Math.random() * up.length)] ?? this.nodes[0];
  }
  /** Submits like a user: again after a second or more, for up to 60 s. Resolves with the last status. */
  async submit(job, { node, forMs = 60_000, quiet = false } = {}) {
    this.jobs.set(job.nameId, job);
    const until = now() + forMs;
    for (;;) {
      const target = node ?? this.pickNode();
      const reply = await call(target.addr, 'POST', '/work', job, 5000);
      if (!quiet || reply === null || reply.status >= 300)
        this.log('submit', { job: job.nameId, node: target.name, status: reply?.status ?? 0, body: reply?.json ?? null });
      if (reply !== null && [200, 201, 400, 422].includes(reply.status)) {
        if (reply.status < 300) this.tell(job.nameId, reply.json.status, now());
        return reply;
      }
      if (now() > until) return reply;
      await sleep(Math.max(1000, 1000 * Math.min(30, Number(reply?.headers['retry-after'] ?? 1))));
    }
  }
  async poll(id, node = this.pickNode()) {
    const askedAt = now();
    const reply = await call(node.addr, 'GET', `/work/${id}`, null, 2000);
    this.hear(id, node, reply, askedAt);
    return reply;
  }
  /** Checks an answer against what this user was told before it was asked for. */
  hear(id, node, reply, askedAt) {
    const status = reply?.status === 200 ? reply.json.status : null;
    if (this.logPolls) this.log('poll', { job: id, node: node.name, status: reply?.status ?? 0, is: status });
    const before = (this.said.get(id) ?? []).filter((s) => s.at <= askedAt);
    if (reply?.status === 404 && before.length > 0) this.presence.fail('forgotten', `${id} gets 404 from ${node.name}`);
    if (status === null) return;
    const final = before.find((s) => s.status === 'done' || s.status === 'aborted');
    if (final !== undefined && status !== final.status) this.presence.fail('went_back', `${id} was ${final.status}, ${node.name} says ${status}`);
    this.tell(id, status, now());
  }
  tell(id, status, at) {
    const list = this.said.get(id) ?? [];
    if (list.at(-1)?.status !== status) {
      list.push({ status, at });
      this.log('told', { job: id, status });
    }
    this.said.set(id, list);
    const job = this.jobs.get(id);
    if (status === 'done' && job !== undefined)
      for (let i = 0; i < job.pieces; i++)
        if (!this.results.has(`${id}/${i}`)) {
          this.presence.fail('not_done', `${id} is called done before task ${i} is`);
          break;
        }
  }
  async abort(id, { node, forMs = 60_000 } = {}) {
    const until = now() + forMs;
    for (;;) {
      const target = node ?? this.pickNode();
      const askedAt = now();
      const reply = await call(target.addr, 'POST', `/work/${id}/abort`, null, 5000);
      this.log('abort', { job: id, node: target.name, status: reply?.status ?? 0, body: reply?.json ?? null });
      if (reply?.status === 200) {
        this.hear(id, target, reply, askedAt);
        return reply;
      }
      if (now() > until) return reply;
      await sleep(1000);
    }
  }
  /** Polls until the job has ended or the time is over; returns the last status. */
  async end(id, forMs, everyMs = 1000) {
    const until = now() + forMs;
    let last = null;
    while (now() < until) {
      const reply = await this.poll(id);
      if (reply?.status === 200) last = reply.json.status;
      if (last === 'done' || last === 'aborted') return last;
      await sleep(everyMs);
    }
    return last;
  }
  /** The rules about cancelled jobs, dependencies and limits, checked from what is on machines. */
  watchRules() {
    const { presence } = this;
    const failed = new Set();
    const once = (rule, key, text) => {
      if (failed.has(rule + key)) return;
      failed.add(rule + key);
      presence.fail(rule, text);
    };
    presence.onStart = (worker, piece) => {
      const id = piece.split('/')[0];
      const job = this.jobs.get(id);
      for (const dep of job?.awaits ?? [])
        for (let i = 0; i < this.jobs.get(dep).pieces; i++)
          if (!this.results.has(`${dep}/${i}`)) once('too_early', id, `${piece} starts before ${dep}/${i} is done`);
      const toldAt = this.cancelledAt(id);
      if (toldAt !== null && now() - toldAt > this.workers.cancel_s * 1000) once('ran_cancelled', piece, `${piece} starts on ${worker.id} ${now() - toldAt} ms after`);
      if (job?.yard && worker.machine.yard !== job.yard) once('wrong_place', piece, `${piece} in ${worker.machine.yard}`);
      if (job?.loaners === false && worker.machine.loaners) once('wrong_place', piece, `${piece} on spot`);
      if (job?.samePlace)
        for (const [other, set] of presence.byPiece)
          if (other.startsWith(`${id}/`)) for (const w of set) if (w.machine.yard !== worker.machine.yard) once('wrong_place', piece, `${piece} in ${worker.machine.yard}, ${other} in ${w.machine.yard}`);
      const team = this.site.teams.find((t) => t.name === job?.owner);
      if (team?.cpus_max > 0) {
        let used = 0;
        for (const [other, set] of presence.byPiece) {
          const j = this.jobs.get(other.split('/')[0]);
          if (j.owner === team.name) used += set.size * j.cores;
        }
        if (used > team.cpus_max + 1e-6) once('quota', team.name + Math.floor(now() / 5000), `${team.name} uses ${used} of ${team.cpus_max}`);
      }
    };
    this.ruleTimer = setInterval(() => {
      for (const [piece, set] of presence.byPiece) {
        if (set.size === 0) continue;
        const toldAt = this.cancelledAt(piece.split('/')[0]);
        if (toldAt !== null && now() - toldAt > this.workers.cancel_s * 1000 + 100) once('ran_cancelled', piece, `${piece} is on ${[...set].map((w) => w.id)} ${Math.round(now() - toldAt)} ms after`);
      }
    }, 200);
    this.ruleTimer.unref();
  }
  cancelledAt(id) {
    return this.said.get(id)?.find((s) => s.status === 'aborted')?.at ?? null;
  }
  get broken() {
    return this.presence.broken;
  }
  async stop() {
    this.stopped = true;
    for (const node of this.nodes) {
      if (node.child === null) continue;
      const { child } = node;
      child.expected = true;
      await new Promise((resolve) => {
        child.once('exit', resolve);
        child.kill('SIGKILL');
      });
    }
    this.cloud?.close();
    this.state?.close();
    for (const proxy of this.proxies.values()) proxy.close();
    if (process.env.KEEP !== '1') rmSync(this.folder, { recursive: true, force: true });
    else console.log('kept', this.folder);
  }
}
