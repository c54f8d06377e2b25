// A small deployment: controllers as separate processes, started with the command of the deploy file, and the
// stand-ins in this process. Everything is on loopback addresses.
import { spawn } from 'node:child_process';
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { Cloud } from './cloud.mjs';
import { call, freePorts } from './http.mjs';
import { StateService } from './state.mjs';

const REPOSITORY = fileURLToPath(new URL('../..', import.meta.url));

/** `run` of the deploy file, as a program and its arguments. */
function runCommand() {
  const text = fs.readFileSync(path.join(REPOSITORY, 'deploy/service.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

export const BOX = {
  label: 'yardbox', cores: 16, accelerators: 0, memoryGb: 64, cacheGb: 100, pullGbPerS: 1, rate: 0.96,
  lowPrice: 0.33, bootS: 1, yards: ['bryan', 'waco'],
};

/** A job with the fields of `POST /work`. */
export const jobOf = (fields) => ({
  jobclass: 'yardmatch', owner: 'dispatch', shape: 'batch', urgency: 'normal', pieces: 1, cores: 1, accelerators: 0,
  memoryGb: 2.4, bundle: 'img-01', sizeGb: 0.01, berthkinds: null, yard: null, samePlace: false, scatter: false,
  loaners: false, guessS: 2, snapshotS: 0, flushS: 0, dueS: null, ...fields,
});

export class Cluster {
  constructor({
    nodes = 3, zones = ['bryan', 'waco'], types = [BOX], capacity = 4, bootMs = 500, ledger = 0, runMs = () => 1000,
    workers = {}, state = {}, teams, recordFile, settings = (value) => value, logLevel = 'info',
  } = {}) {
    this.options = { nodes, zones, types, capacity, bootMs, ledger, state, teams, settings, logLevel };
    this.workers = { report_s: 3, lease_s: 24, gang_wait_s: 35, gang_peer_s: 8, cancel_s: 49, ...workers };
    this.runMs = runMs;
    /** Whether a machine fails every task that it starts now. */
    this.fails = () => false;
    this.startedAt = performance.now();
    this.jobs = new Map();
    this.results = new Set();
    this.controllers = [];
    this.events = [];
    this.listeners = [];
    this.recordStream = recordFile === undefined ? null : fs.openSync(recordFile, 'w');
    this.directory = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
  }

  record(who, what, fields = {}) {
    if (this.isClosed) return;
    const atS = (performance.now() - this.startedAt) / 1000;
    this.events.push({ atS, who, what, ...fields });
    if (this.recordStream !== null)
      fs.writeSync(this.recordStream, `${atS.toFixed(3)} ${who} ${what} ${JSON.stringify(fields)}\n`);
  }

  async start() {
    const { nodes, zones, types, capacity, bootMs, ledger, state, settings } = this.options;
    this.state = new StateService({ ledger, ...state, record: (...args) => this.record(...args) });
    await this.state.start();
    const ports = await freePorts(nodes * 2);
    this.nodes = Array.from({ length: nodes }, (_, index) => ({
      name: `berth-${index}`,
      location: zones[index % zones.length],
      addr: `127.0.0.1:${ports[2 * index]}`,
      peer: `127.0.0.1:${ports[2 * index + 1]}`,
    }));
    await this.beforeControllers?.();
    this.cloud = new Cloud({
      types, capacity, bootMs,
      record: (...args) => this.record(...args),
      workers: {
        nodes: this.workerNodes ?? this.nodes,
        reportMs: this.workers.report_s * 1000,
        leaseMs: this.workers.lease_s * 1000,
        jobs: this.jobs,
        results: this.results,
        runMs: (job, index) => this.runMs(job, index),
        fails: (berth) => this.fails(berth),
        onEvent: (what, fields) => this.onWorkerEvent(what, fields),
      },
    });
    await this.cloud.start();
    for (const node of this.nodes) {
      const file = path.join(this.directory, `${node.name}.json`);
      fs.writeFileSync(file, JSON.stringify(settings(this.settingsOf(node)), null, 1));
      const controller = { ...node, file, process: null };
      this.controllers.push(controller);
      this.spawn(controller);
    }
    if (!(await this.untilReady(20_000))) throw new Error('no controller became ready');
    await this.untilAllAnswer(20_000);
  }

  settingsOf(node) {
    const { zones, state } = this.options;
    const teams = this.options.teams ?? ['dispatch', 'fleet', 'billing', 'sitesafety', 'modeling'].map((name) => ({ name }));
    return {
      node: node.name,
      location: node.location,
      bind: node.addr,
      internal_addr: node.peer,
      others: this.nodes
        .filter(({ name }) => name !== node.name)
        .map(({ name, location, peer }) => ({ node: name, location, peer_addr: this.peerAddr?.(node.name, name) ?? peer })),
      outside: { cloud: this.cloud.addr, state: this.stateAddr?.(node.name) ?? this.state.addr },
      params: {
        initial_size: this.nodes.length,
        zones,
        teams: teams.map((team) => ({ cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0, ...team })),
        objectives: [],
        workers: this.workers,
        state: { rps: state.rps ?? 100, write_rps: state.writeRps ?? 40, value_kb: state.valueKb ?? 8, txn_ops: state.txnOps ?? 24 },
        cloud: { rps: 8, list_lag_s: 8 },
        limits: { cpu_share: 0.34, ram_mb: 306, sockets: 3000 },
        time_bound_ms: 25,
      },
    };
  }

  spawn(controller) {
    if (this.isStopped) return;
    const [program, ...args] = runCommand();
    const log = fs.openSync(path.join(this.directory, `${controller.name}.log`), 'a');
    const child = spawn(program, [...args, controller.file], {
      cwd: REPOSITORY,
      stdio: ['ignore', log, log],
      env: { ...process.env, LOG_LEVEL: this.options.logLevel },
    });
    fs.closeSync(log);
    controller.process = child;
    controller.exit = null;
    this.record('controller', 'begun', { node: controller.name, pid: child.pid });
    child.once('exit', (code, signal) => {
      controller.exit = { code, signal };
      if (controller.process === child) controller.process = null;
      this.record('controller', 'ended', { node: controller.name, code, signal });
    });
  }

  log(name) {
    return fs.readFileSync(path.join(this.directory, `${name}.log`), 'utf8');
  }

  async kill(controller) {
    const child = controller.process;
    if (child === null) return;
    const ended = new Promise((resolve) => child.once('exit', resolve));
    child.kill('SIGKILL');
    await ended;
  }

  async untilReady(timeoutMs) {
    const until = performance.now() + timeoutMs;
    while (performance.now() < until) {
      for (const { addr } of this.controllers) {
        const result = await call(addr, 'GET', '/ready', null, 1000);
        if (result?.status === 200) return true;
      }
      await sleep(100);
    }
    return false;
  }

  async untilAllAnswer(timeoutMs) {
    const until = performance.now() + timeoutMs;
    for (const { addr, name } of this.controllers) {
      for (;;) {
        const result = await call(addr, 'GET', '/status', null, 1000);
        if (result?.json?.node === name) break;
        if (performance.now() > until) throw new Error(`${name} does not answer at ${addr}`);
        await sleep(100);
      }
    }
  }

  /** The controller that says that it leads, or null. */
  async leader() {
    for (const controller of this.controllers) {
      if (controller.process === null) continue;
      const result = await call(controller.addr, 'GET', '/status', null, 1000);
      if (result?.json?.owner === controller.name && result.json.current) return controller;
    }
    return null;
  }

  onWorkerEvent(what, fields) {
    if (what !== 'answer') this.record('worker', what, fields);
    else if (fields.status !== 200 && fields.status !== 421) this.record('worker', 'report-not-taken', fields);
    for (const listener of this.listeners) listener(what, fields);
  }

  // ---- users

  /** One request of a user to one node. */
  async request(node, method, pathName, body, timeoutMs) {
    const addr = this.controllers[node % this.controllers.length].addr;
    const result = await call(addr, method, pathName, body, timeoutMs);
    this.record('user', `${method} ${pathName}`, { node: `berth-${node % this.controllers.length}`, status: result?.status ?? null, body: result?.json });
    return result;
  }

  /** Submits a job as a user does: retried for up to 60 s. The result is the last response. */
  async submit(job, node = 0) {
    this.jobs.set(job.nameId, job);
    const until = performance.now() + 60_000;
    for (let attempt = 0; ; attempt++) {
      const result = await this.request(node + attempt, 'POST', '/work', job, 5000);
      if (result !== null && [200, 201, 400, 422].includes(result.status)) return result;
      if (performance.now() > until) return result;
      await sleep(Math.max(1000, 1000 * Number(result?.headers['retry-after'] ?? 0)));
    }
  }

  async cancel(id, node = 0) {
    const until = performance.now() + 60_000;
    for (let attempt = 0; ; attempt++) {
      const result = await this.request(node + attempt, 'POST', `/work/${id}/abort`, null, 5000);
      if (result !== null && [200, 404].includes(result.status)) return result;
      if (performance.now() > until) return result;
      await sleep(Math.max(1000, 1000 * Number(result?.headers['retry-after'] ?? 0)));
    }
  }

  poll(id, node = 0) {
    return this.request(node, 'GET', `/work/${id}`, null, 2000);
  }

  /** Polls a job until its state is one of `states`; null if it is not in time. */
  async until(id, states, timeoutMs, everyMs = 1000) {
    const end = performance.now() + timeoutMs;
    for (let node = 0; performance.now() < end; node++) {
      const result = await this.poll(id, node);
      if (result?.status === 200 && states.includes(result.json.status)) return result.json.status;
      await sleep(everyMs);
    }
    return null;
  }

  /** Ends every process that was started, and the stand-ins. */
  async stop() {
    this.isStopped = true;
    for (const controller of this.controllers) {
      controller.process?.kill('SIGCONT');
      await this.kill(controller);
    }
    this.cloud?.close();
    this.state?.close();
    fs.rmSync(this.directory, { recursive: true, force: true });
    this.isClosed = true;
    if (this.recordStream !== null) fs.closeSync(this.recordStream);
  }
}
