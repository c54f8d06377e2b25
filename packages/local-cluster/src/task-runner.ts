// What runs on the lab's machines: commands of jobs as child processes, or simulated run times. Nothing is isolated: a
// command runs as the user who started the lab, in a directory of its own.
import { type ChildProcess, spawn } from 'node:child_process';
import { closeSync, mkdirSync, openSync, statSync } from 'node:fs';
import { join } from 'node:path';
import type { ExitReason } from '../../../src/core/base/model.ts';
import { parseTaskId, type TaskId } from '../../../src/types/index.ts';
import type { SimulationClock } from './clock.ts';
import type { RunningTask } from './fake-worker.ts';
import { endGroup, type ProcessGuard } from './process-guard.ts';

/** What users tell the machines of a job. */
export interface Description {
  kind: 'array' | 'gang' | 'service';
  tasks: number;
  image: string;
  imageGb: number;
  /** How long a task runs if there is no command. */
  runS: number;
  /** Program and arguments; null: nothing but time passes. */
  command: string[] | null;
}

/** A start, and how it ended; what the checks of the drills read. */
export interface Run {
  task: TaskId;
  attempt: number;
  machine: string;
  from: number;
  to: number | null;
  why: ExitReason | 'killed' | null;
}

export interface Machine {
  id: string;
  fetchGbPerS: number;
  cacheGb: number;
  /** Its tasks take so many times as long; 1 if it is not given. */
  slow?: number;
}

interface Live {
  run: Run;
  begin(): void;
  finish(why: ExitReason): void;
  kill(): void;
  over: boolean;
  /** Its command has ended well. */
  ran: boolean;
}

interface Gang {
  members: Map<TaskId, Live>;
  started: boolean;
}

/** So many starts are remembered. */
const MAX_RUNS = 200_000;
const UNKNOWN: Description = { kind: 'array', tasks: 1, image: '', imageGb: 0, runS: 5, command: null };

export class Tasks {
  readonly runs: Run[] = [];
  private readonly described = new Map<string, Description>();
  private readonly done = new Set<TaskId>();
  private readonly gangs = new Map<string, Gang>();
  /** Images by machine, as far as its cache holds them. */
  private readonly images = new Map<string, { names: Map<string, number>; gb: number }>();

  constructor(
    private readonly clock: SimulationClock,
    private readonly dir: string,
    private readonly guard: ProcessGuard,
    private readonly settings: { speed: number; gangWaitS: number; gangPeerS: number },
  ) {}

  describe(job: string, d: Description): void {
    this.described.set(job, d);
  }

  /** Of an earlier life: it is not run again. */
  remember(task: TaskId): void {
    this.done.add(task);
  }

  /** Hears of every task that is done, before its worker reports it. */
  onDone: (task: TaskId) => void = () => {};

  logFile(task: TaskId, stream: 'stdout' | 'stderr', attempt?: number): string | null {
    for (let i = this.runs.length - 1; i >= 0; i--) {
      const r = this.runs[i]!;
      if (r.task === task && (attempt === undefined || r.attempt === attempt))
        return join(this.dirOf(r.task, r.attempt), stream);
    }
    return null;
  }

  private dirOf(task: TaskId, attempt: number): string {
    const { job, index } = parseTaskId(task);
    return join(this.dir, job, `${index}.${attempt}`);
  }

  launch(
    machine: Machine,
    task: TaskId,
    attempt: number,
    end: (why: ExitReason) => void,
    is: (state: 'fetching' | 'waiting' | 'running') => void,
  ): RunningTask {
    const d = this.described.get(parseTaskId(task).job) ?? UNKNOWN;
    const run: Run = { task, attempt, machine: machine.id, from: this.clock.now, to: null, why: null };
    this.runs.push(run);
    if (this.runs.length > MAX_RUNS) this.runs.splice(0, MAX_RUNS / 2);
    let child: ChildProcess | null = null;
    let ended: ((saved: boolean) => void) | null = null;
    const live: Live = {
      run,
      over: false,
      ran: false,
      begin: () => {
        if (live.over) return;
        is('running');
        if (this.done.has(task)) return live.finish('done');
        if (d.command === null) {
          if (d.kind !== 'service')
            this.clock.after((d.runS * 1000 * (machine.slow ?? 1)) / this.settings.speed, () =>
              live.finish('done'),
            );
        } else
          child = this.start(d, task, attempt, (code) => {
            if (ended !== null) this.stopped(live, ended, false);
            else if (code !== 0) live.finish('error');
            else this.ran(d, live);
          });
      },
      finish: (why) => {
        if (live.over) return;
        this.close(live, why);
        if (why === 'done') {
          this.done.add(task);
          this.onDone(task);
        }
        if (child?.pid !== undefined) endGroup(child.pid);
        end(why);
        this.left(d, live, why);
      },
      kill: () => {
        if (live.over) return;
        this.close(live, 'killed');
        if (child?.pid !== undefined) endGroup(child.pid);
        this.left(d, live, 'stopped');
      },
    };
    this.fetch(machine, d, is, () => this.ready(d, live, is));
    return {
      kill: live.kill,
      stop: (graceS, then) => {
        if (live.over) return;
        if (child?.pid === undefined || graceS <= 0) return this.stopped(live, then, true);
        ended = then;
        endGroup(child.pid, 'SIGTERM');
        this.clock.after(graceS * 1000, () => this.stopped(live, then, true));
      },
    };
  }

  private close(live: Live, why: Run['why']): void {
    live.over = true;
    live.run.to = this.clock.now;
    live.run.why = why;
  }

  private stopped(live: Live, then: (saved: boolean) => void, kill: boolean): void {
    if (live.over) return;
    // Progress is what the command has written to its checkpoint since it began.
    const saved = changedSince(join(this.dir, parseTaskId(live.run.task).job, 'checkpoint'), live.run.from);
    if (kill) live.kill();
    else this.close(live, 'stopped');
    then(saved);
  }

  /** The image is fetched once for a machine, and stays while the cache has room. */
  private fetch(machine: Machine, d: Description, is: (state: 'fetching') => void, then: () => void): void {
    const cache = this.images.get(machine.id) ?? { names: new Map(), gb: 0 };
    this.images.set(machine.id, cache);
    const has = cache.names.get(d.image);
    if (has !== undefined || d.imageGb === 0) {
      if (has !== undefined) cache.names.delete(d.image);
      cache.names.set(d.image, d.imageGb);
      return then();
    }
    is('fetching');
    this.clock.after(((d.imageGb / machine.fetchGbPerS) * 1000) / this.settings.speed, () => {
      cache.names.set(d.image, d.imageGb);
      cache.gb += d.imageGb;
      for (const [name, gb] of cache.names) {
        if (cache.gb <= machine.cacheGb || name === d.image) break;
        cache.names.delete(name);
        cache.gb -= gb;
      }
      then();
    });
  }

  private ready(d: Description, live: Live, is: (state: 'waiting') => void): void {
    if (live.over) return;
    if (d.kind !== 'gang') return live.begin();
    is('waiting');
    const gang = this.gangs.get(gangKey(live.run)) ?? { members: new Map(), started: false };
    this.gangs.set(gangKey(live.run), gang);
    gang.members.set(live.run.task, live);
    if (gang.members.size >= d.tasks) {
      gang.started = true;
      for (const m of [...gang.members.values()]) m.begin();
    } else
      this.clock.after(this.settings.gangWaitS * 1000, () => {
        if (!gang.started) live.finish('alone');
      });
  }

  /** A gang is complete when the commands of all its tasks are: one that is sooner waits for the others. */
  private ran(d: Description, live: Live): void {
    live.ran = true;
    const gang = this.gangs.get(gangKey(live.run));
    if (d.kind !== 'gang' || gang === undefined || [...gang.members.values()].every((m) => m.ran))
      live.finish('done');
  }

  /** A gang completes together, and notices when one of its tasks is gone. */
  private left(d: Description, live: Live, why: ExitReason): void {
    if (d.kind !== 'gang') return;
    const gang = this.gangs.get(gangKey(live.run));
    if (gang === undefined || gang.members.get(live.run.task) !== live) return;
    gang.members.delete(live.run.task);
    if (!gang.started) return;
    const rest = [...gang.members.values()];
    if (why === 'done') for (const m of rest) m.finish('done');
    else
      this.clock.after(this.settings.gangPeerS * 500, () => {
        for (const m of rest) m.finish('peers');
      });
  }

  private start(
    d: Description,
    task: TaskId,
    attempt: number,
    end: (code: number | null) => void,
  ): ChildProcess {
    const dir = this.dirOf(task, attempt);
    mkdirSync(join(dir, 'work'), { recursive: true });
    const out = openSync(join(dir, 'stdout'), 'w');
    const err = openSync(join(dir, 'stderr'), 'w');
    const { job, index } = parseTaskId(task);
    const [program, ...args] = d.command!;
    const child = spawn(program!, args, {
      cwd: join(dir, 'work'),
      detached: true,
      stdio: ['ignore', out, err],
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG,
        SWIFTFORD_JOB: job,
        SWIFTFORD_TASK: String(index),
        SWIFTFORD_TASKS: String(d.tasks),
        SWIFTFORD_ATTEMPT: String(attempt),
        SWIFTFORD_CHECKPOINT: join(this.dir, job, 'checkpoint'),
        ...(d.kind === 'gang' ? { SWIFTFORD_PEERS: this.peers(task, attempt) } : {}),
      },
    });
    closeSync(out);
    closeSync(err);
    this.guard.add(child);
    child.once('error', () => end(null));
    child.once('exit', (code) => end(code));
    return child;
  }

  /** The directories of a gang's tasks, in their order: they are on one disk. */
  private peers(task: TaskId, attempt: number): string {
    const gang = this.gangs.get(gangKey({ task, attempt }))!;
    const tasks = [...gang.members.keys()].sort((a, b) => parseTaskId(a).index - parseTaskId(b).index);
    return tasks.map((t) => join(this.dirOf(t, attempt), 'work')).join(':');
  }
}

/** Tasks of a gang find one another by their attempt. */
const gangKey = ({ task, attempt }: Pick<Run, 'task' | 'attempt'>): string =>
  `${parseTaskId(task).job}@${attempt}`;

function changedSince(file: string, since: number): boolean {
  try {
    return statSync(file).mtimeMs >= since;
  } catch {
    return false;
  }
}
