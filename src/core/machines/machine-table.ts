// The share's machines: reports, tokens, what may be on them, and when it is certainly gone.
import {
  type Attempt,
  addMs,
  elapsedMs,
  type FencingToken,
  type Instant,
  LONG_AGO,
  type MachineId,
  NEVER,
  type Revision,
  type ZoneName,
} from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { Command, Heartbeat, MachineType, Settings } from '../base/model.ts';
import { diffTaskLists } from '../heartbeats/task-list-delta.ts';
import { type Job, type TaskAssignment, TaskPhase } from '../jobs/job.ts';
import type { JobTable } from '../jobs/job-table.ts';
import type { Quota } from '../teams/quota.ts';
import type { CapacityIndex } from './capacity-index.ts';
import { assignmentKey, hasFreeCapacity, Machine, type OrphanTask, type QueuedTask } from './machine.ts';
import type { MachineRegistry } from './machine-registry.ts';
import { type TaskListener, TaskReconciler } from './task-reconciler.ts';

const DRIFT = 0.001;
const MARGIN_MS = 500;
/** Reports are up to this many periods apart, and on their way for a moment. */
const LATEST_REPORT = 1.25;
const QUIET_MS = 1500;
/** Workers that nobody has answered go round by all nodes. */
const BACK_PERIODS = 3;
const BACK_MORE_MS = 10_000;

export interface MachineTableListener extends TaskListener {
  /** Something changed that dispatch should look at. */
  requestCycle(): void;
}

/** What {@link MachineTable} depends on. */
export interface MachineTableDependencies {
  io: ControllerIo;
  settings: Settings;
  jobs: JobTable;
  registry: MachineRegistry;
  quota: Quota;
  capacityIndex: CapacityIndex;
  listener: MachineTableListener;
  term: Revision;
}

export class MachineTable {
  readonly byId = new Map<MachineId, Machine>();
  /** Machines given up for good; lists may still show them. */
  readonly tombstones = new Map<MachineId, Instant>();
  private readonly io: ControllerIo;
  private readonly settings: Settings;
  private readonly jobs: JobTable;
  private readonly registry: MachineRegistry;
  private readonly quota: Quota;
  private readonly capacityIndex: CapacityIndex;
  private readonly listener: MachineTableListener;
  private readonly reconciler: TaskReconciler;
  readonly fencingToken: FencingToken;
  /** No machine may be commanded at present; and when that was last over. */
  private stoodStill = false;
  private resumedAt: Instant = LONG_AGO;
  /** So long after that all machines that are there have reported. */
  private readonly backMs: number;

  constructor(dependencies: MachineTableDependencies) {
    const { io, settings, jobs, registry, capacityIndex, listener, term } = dependencies;
    this.io = io;
    this.settings = settings;
    this.jobs = jobs;
    this.registry = registry;
    this.quota = dependencies.quota;
    this.capacityIndex = capacityIndex;
    this.listener = listener;
    this.reconciler = new TaskReconciler({ io, jobs, capacityIndex, assignments: this, listener });
    this.fencingToken = term as number as FencingToken;
    this.backMs = BACK_PERIODS * settings.workers.heartbeatS * 1000 + BACK_MORE_MS;
    registry.onRegistered = (m) => this.onRecorded(m);
  }

  add(m: Machine): void {
    this.byId.set(m.id, m);
  }

  /** Brings the sums and the index up to date with the machine; called after every change to it. */
  updateIndexes(m: Machine): void {
    const doubt = !m.isReconciled && m.registryPage !== null && this.byId.get(m.id) === m;
    if (doubt !== m.countsAsUncertain) {
      m.countsAsUncertain = doubt;
      this.quota.addUncertain(m.type, doubt ? 1 : -1);
    }
    this.capacityIndex.update(m);
  }

  /** Records a machine so that the next owner knows that it may hold tasks. */
  register(m: Machine): void {
    this.registry.register(m);
  }

  private onRecorded(m: Machine): void {
    if (this.byId.get(m.id) !== m) this.registry.unregister(m);
    this.updateIndexes(m);
    this.listener.requestCycle();
  }

  /** The machine is on its way back to the cloud. */
  beginRelease(m: Machine): void {
    m.isReleasing = true;
    this.dequeueAll(m);
    this.updateIndexes(m);
  }

  /**
   * Takes a report in, or one that answers a probe; returns the commands that answer it, or null if it is from before what
   * is known.
   */
  onHeartbeat(m: Machine, r: Heartbeat, probed = false): Command[] | null {
    if (r.agentEpoch < m.agentEpoch || (r.agentEpoch === m.agentEpoch && r.seq <= m.seq)) return null;
    // Held back by a cut: sent in a session that is over for certain, it lists tasks that are long gone.
    if (r.agentEpoch <= m.expiredEpoch) return null;
    if (r.agentEpoch > m.agentEpoch) this.newSession(m, r);
    const tasks = m.lastTaskList === null ? r.tasks : diffTaskLists(m.lastTaskList, r.tasks).tasks;
    m.seq = r.seq;
    m.seenFencingToken = r.fencingToken;
    m.addr = r.addr;
    m.isUp = true;
    m.lastHeartbeat = this.io.now;
    m.isOverdue = false;
    m.expectedBackBy = null;
    this.setNotice(m, r.preemptionNoticeS);
    if (!m.isTaskListSettled || tasks !== m.lastTaskList) this.reconciler.reconcile(m, tasks, r.seq);
    if (!m.isEmpty) m.idleSince = this.io.now;
    m.lastTaskList = tasks;
    m.answeredProbe = probed;
    if (r.fencingToken === this.fencingToken && !m.isReconciled) {
      m.isReconciled = true;
      this.io.log('debug', 'machine heard', { machine: m.id, tasks: m.assignments.size });
      this.listener.requestCycle();
    }
    this.updateIndexes(m);
    return this.commandsFor(m);
  }

  /** When everything on a machine that is answered now is gone for certain, unless it is answered again. */
  get leaseExpiryFromNow(): Instant {
    return addMs(this.io.now, this.settings.workers.leaseS * 1000 * (1 + DRIFT) + MARGIN_MS);
  }

  /** The worker is answered with this node's token: its lease runs from this report at the latest. */
  renewLease(m: Machine): void {
    m.leaseExpiresAt = this.leaseExpiryFromNow;
  }

  private newSession(m: Machine, r: Heartbeat): void {
    // A session begins with nothing on the machine, and nothing sent in an earlier one is carried out.
    if (m.assignments.size > 0)
      this.io.log('info', 'tasks lost: session ended', { machine: m.id, tasks: m.assignments.size });
    this.removeAllTasks(m);
    m.agentEpoch = r.agentEpoch;
    m.lastTaskList = null;
    m.orphans = [];
  }

  /** Everything on the machine is certainly gone. */
  removeAllTasks(m: Machine): void {
    for (const e of [...m.assignments.values()]) this.unassign(m, e);
    // Nobody is left to be told to forget them; kept, they would keep a lost machine from being returned.
    for (const x of m.exitedTasks.values()) x.isGone = true;
    m.exitedTasks.clear();
    this.dequeueAll(m);
    this.listener.requestCycle();
  }

  /** Binds a task to the machine's queue: more urgent tasks go ahead; among equals first come, first served. */
  enqueue(m: Machine, q: QueuedTask): void {
    let at = m.queue.length;
    while (at > 0 && m.queue[at - 1]!.job.priority < q.job.priority) at--;
    m.queue.splice(at, 0, q);
    q.job.setPhase(q.index, TaskPhase.Queued);
    this.countQueued(m, q.job, 1);
    this.capacityIndex.update(m);
  }

  private countQueued(m: Machine, job: Job, by: 1 | -1): void {
    m.queuedCpus += job.spec.cpus * by;
    m.queuedGpus += job.spec.gpus * by;
    m.queuedMemory += job.spec.memoryGb * by;
    if (m.queue.length === 0) {
      m.queuedCpus = 0;
      m.queuedGpus = 0;
      m.queuedMemory = 0;
    }
    job.countInZone(m.zone, by);
    this.quota.add(job, by, m.type.name);
  }

  private countUsed(m: Machine, job: Job, by: 1 | -1): void {
    m.usedCpus += job.spec.cpus * by;
    m.usedGpus += job.spec.gpus * by;
    m.usedMemory += job.spec.memoryGb * by;
    // Sums of fractions drift; an empty machine is a chance to start from nothing.
    if (m.assignments.size === 0) {
      m.usedCpus = 0;
      m.usedGpus = 0;
      m.usedMemory = 0;
    }
    job.countInZone(m.zone, by);
    this.quota.add(job, by, m.type.name);
  }

  private unqueue(m: Machine, q: QueuedTask): void {
    this.countQueued(m, q.job, -1);
    q.job.setPhase(q.index, TaskPhase.Waiting);
    this.capacityIndex.update(m);
  }

  dequeue(m: Machine, q: QueuedTask): void {
    const at = m.queue.indexOf(q);
    if (at < 0) return;
    m.queue.splice(at, 1);
    this.unqueue(m, q);
  }

  dequeueAll(m: Machine): void {
    for (const q of m.queue.splice(0)) this.unqueue(m, q);
  }

  private setNotice(m: Machine, noticeS: number | null): void {
    if (noticeS === null) return;
    if (m.preemptedAt === null) {
      this.io.log('info', 'spot notice', { machine: m.id, noticeS });
      this.cordon(m, 'spot notice');
    }
    m.preemptedAt = addMs(this.io.now, noticeS * 1000);
  }

  cordon(m: Machine, why: string): void {
    if (m.drainReason !== null) return;
    m.drainReason = why;
    this.dequeueAll(m);
    this.updateIndexes(m);
    this.io.log('info', 'machine draining', { machine: m.id, why });
    this.listener.requestCycle();
  }

  assign(m: Machine, job: Job, index: number, attempt: Attempt, sentSeq: number): TaskAssignment {
    const e: TaskAssignment = {
      job,
      index,
      attempt,
      machine: m.id,
      state: 'sent',
      sentSeq,
      sentAt: this.io.now,
      runningAt: null,
      stopping: null,
    };
    const old = job.assignments.get(index);
    if (old !== undefined)
      this.io.log('info', 'task listed by a second machine', {
        task: `${job.id}/${index}`,
        machines: [old.machine, m.id],
      });
    job.addAssignment(e);
    m.isTaskListSettled = false;
    m.assignments.set(assignmentKey(`${job.id}/${index}`, attempt), e);
    this.countUsed(m, job, 1);
    this.capacityIndex.update(m);
    return e;
  }

  /** The task is certainly off the machine. */
  unassign(m: Machine, e: TaskAssignment): void {
    const { job, index } = e;
    const key = assignmentKey(`${job.id}/${index}`, e.attempt);
    if (!m.assignments.delete(key)) return;
    m.isTaskListSettled = false;
    e.isGone = true;
    // Heard under this term, the machine had listed it, or was sent it, since nobody else could give it away.
    job.removeAssignment(e, m.isReconciled);
    if (e.runningAt !== null) job.runningTasks--;
    this.countUsed(m, job, -1);
    this.capacityIndex.update(m);
    if (job.assignedTasks === 0) {
      job.gangAttempt = null;
      job.gangHasRun = false;
    }
    this.listener.requestCycle();
  }

  /** What the machine is to be told, as far as it follows from what is known of it; every one may be told again. */
  commandsFor(m: Machine): Command[] {
    const out: Command[] = [];
    for (const x of m.exitedTasks.values())
      if (x.exitReason !== 'done' || this.jobs.isResultRecorded(this.jobs.openJobs.get(x.job), x.index))
        out.push({ op: 'forget', task: x.task, attempt: x.attempt });
    for (const s of m.orphans) out.push({ op: 'stop', task: s.task, attempt: s.attempt, graceS: 0 });
    for (const e of m.assignments.values()) this.stopIfNeeded(m, e, out);
    return out;
  }

  private stopIfNeeded(m: Machine, e: TaskAssignment, out: Command[]): void {
    const task = `${e.job.id}/${e.index}` as OrphanTask['task'];
    if (e.job.isCancelling || e.job.phases[e.index] === TaskPhase.Done) e.stopping = { graceS: 0 };
    else if (e.stopping === null && this.noticeNear(m, e))
      e.stopping = { graceS: e.job.spec.checkpointDurationS + 1 };
    if (e.stopping === null || e.state === 'sent') return;
    // Saving goes on undisturbed; only a stop without grace is repeated over it.
    if (e.state === 'saving' && e.stopping.graceS > 0) return;
    out.push({ op: 'stop', task, attempt: e.attempt, graceS: e.stopping.graceS });
  }

  /** The last report at which a task can still be told to save before its machine is taken. */
  private noticeNear(m: Machine, e: TaskAssignment): boolean {
    if (m.preemptedAt === null || e.job.spec.checkpointIntervalS === 0 || e.state !== 'running') return false;
    const left = (m.preemptedAt - this.io.now) / 1000;
    return left < e.job.spec.checkpointDurationS + this.settings.workers.heartbeatS * 1.25 + 1.5;
  }

  /** Starts queued tasks, head first, as far as the machine's report shows room. */
  startQueued(m: Machine, mayStart: (q: QueuedTask) => boolean): Command[] {
    const out: Command[] = [];
    while (m.queue.length > 0 && m.isSchedulable) {
      const q = m.queue[0]!;
      if (!hasFreeCapacity(m, q.job) || !mayStart(q)) break;
      m.queue.shift();
      this.countQueued(m, q.job, -1);
      this.assign(m, q.job, q.index, q.attempt, m.seq);
      this.io.log('debug', 'task started', {
        task: `${q.job.id}/${q.index}`,
        machine: m.id,
        attempt: q.attempt,
      });
      out.push({ op: 'start', task: `${q.job.id}/${q.index}` as OrphanTask['task'], attempt: q.attempt });
    }
    if (!m.isEmpty) m.idleSince = this.io.now;
    return out;
  }

  /** Released, listed as failed, or its lease has run out: nothing of it is left. */
  remove(m: Machine, why: string): void {
    if (!m.isEmpty)
      this.io.log('info', 'tasks lost with their machine', { machine: m.id, why, tasks: m.assignments.size });
    this.removeAllTasks(m);
    this.byId.delete(m.id);
    this.tombstones.set(m.id, this.io.now);
    this.registry.unregister(m);
    this.capacityIndex.removeAllImages(m);
    m.drainReason ??= why;
    this.updateIndexes(m);
  }

  /**
   * Silent machines: once the lease has run out, what was on them is free to start elsewhere. Only while no other
   * owner can exist: one that took over meanwhile hears the machine and renews the lease, and its tasks go on.
   */
  tick(current: boolean, commands: boolean): void {
    if (!commands) this.stoodStill = true;
    else if (this.stoodStill) {
      this.stoodStill = false;
      this.resumedAt = this.io.now;
    }
    const lateMs = this.settings.workers.heartbeatS * 1000 * LATEST_REPORT + QUIET_MS;
    for (const m of this.byId.values()) {
      if (m.isUp && !m.isOverdue && this.io.now - m.lastHeartbeat > lateMs) this.quieten(m);
      if (m.expectedBackBy !== null && this.io.now > m.expectedBackBy) this.giveUp(m);
      if (!current || this.io.now < m.leaseExpiresAt) continue;
      if (m.assignments.size > 0)
        this.io.log('info', 'tasks lost: lease ran out', { machine: m.id, tasks: m.assignments.size });
      m.leaseExpiresAt = NEVER;
      m.expiredEpoch = m.agentEpoch;
      this.removeAllTasks(m);
      // Empty for certain: a later owner need not wait for it, and it is recorded anew if it comes back.
      this.registry.unregister(m);
      if (elapsedMs(this.io.now, this.resumedAt) < this.backMs) this.awaitBack(m);
      else this.giveUp(m);
    }
    for (const [id, at] of this.tombstones) if (this.io.now - at > 300_000) this.tombstones.delete(id);
  }

  /**
   * It was this owner that answered nobody, for as long as the state service was away; its machines are there, with nothing on
   * them, and come back in a new session. Returned for silence, the whole fleet would have to be rented and booted anew.
   */
  private awaitBack(m: Machine): void {
    m.isReconciled = false;
    m.isOverdue = false;
    m.lastHeartbeat = this.io.now;
    m.expectedBackBy = addMs(this.resumedAt, this.backMs);
    this.updateIndexes(m);
  }

  private giveUp(m: Machine): void {
    m.expectedBackBy = null;
    m.isReconciled = true;
    this.updateIndexes(m);
    this.cordon(m, 'silent');
  }

  /** What is queued there could start only with its next report, which may never come: it goes where it can start now. */
  private quieten(m: Machine): void {
    m.isOverdue = true;
    if (m.queue.length > 0) this.listener.requestCycle();
    this.dequeueAll(m);
    this.updateIndexes(m);
  }

  addMachine(id: MachineId, type: MachineType, zone: ZoneName, spot: boolean, leaseEnds: Instant): Machine {
    const m = new Machine(id, type, zone, spot, this.io.now, leaseEnds);
    this.add(m);
    return m;
  }
}
