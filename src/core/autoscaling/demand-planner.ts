// Plans capacity for the demand: open jobs in the order of `unplacedJobs`, then spare capacity.
import type { MachineId, MachineTypeName, TeamName } from '../../types/index.ts';
import type { ControllerIo } from '../base/io.ts';
import type { MachineType } from '../base/model.ts';
import type { Job } from '../jobs/job.ts';
import type { JobTable } from '../jobs/job-table.ts';
import { isGang } from '../jobs/placement-constraints.ts';
import type { Quota, TeamUsage } from '../teams/quota.ts';
import { CapacityPlan } from './capacity-plan.ts';
import type { OfferBackoff } from './offer-backoff.ts';
import type { OfferSelection } from './offer-selection.ts';
import type { ScaleOut, ScaleOutRequest } from './scale-out.ts';
import { readyTimeS, type SpareCapacity } from './spare-capacity.ts';
import type { SupplyForecast } from './supply-forecast.ts';

/** Dependencies of {@link DemandPlanner}. */
export interface DemandPlannerDependencies {
  io: ControllerIo;
  jobs: JobTable;
  quota: Quota;
  types: ReadonlyMap<MachineTypeName, MachineType>;
  supplyForecast: SupplyForecast;
  spareCapacity: SpareCapacity;
  offers: OfferSelection;
  backoff: OfferBackoff;
  scaleOut: ScaleOut;
}

/** Builds a capacity plan from the current demand and supply. */
export class DemandPlanner {
  /** Machines whose capacity the last plan uses, or that a waiting job avoids for now; they are not released. */
  readonly neededMachines = new Set<MachineId>();
  private readonly io: ControllerIo;
  private readonly jobs: JobTable;
  private readonly quota: Quota;
  private readonly types: ReadonlyMap<MachineTypeName, MachineType>;
  private readonly supplyForecast: SupplyForecast;
  private readonly spareCapacity: SpareCapacity;
  private readonly offers: OfferSelection;
  private readonly backoff: OfferBackoff;
  private readonly scaleOut: ScaleOut;

  constructor(dependencies: DemandPlannerDependencies) {
    this.io = dependencies.io;
    this.jobs = dependencies.jobs;
    this.quota = dependencies.quota;
    this.types = dependencies.types;
    this.supplyForecast = dependencies.supplyForecast;
    this.spareCapacity = dependencies.spareCapacity;
    this.offers = dependencies.offers;
    this.backoff = dependencies.backoff;
    this.scaleOut = dependencies.scaleOut;
  }

  /** Plans capacity for all demand; returns the requests for machines to be sent. */
  plan(): ScaleOutRequest[] {
    const supply = this.supplyForecast.forecast();
    this.neededMachines.clear();
    const { offers, backoff, scaleOut, neededMachines } = this;
    const plan = new CapacityPlan({ supply, offers, backoff, scaleOut, neededMachines });
    const plannedByTeam = new Map<TeamName, TeamUsage>();
    for (const job of this.unplacedJobs()) plan.provideForJob(job, this.tasksToPlan(job, plannedByTeam));
    const readyS = (job: Job): number => readyTimeS(this.types.values(), job.spec);
    for (const requirement of this.spareCapacity.requirements(readyS)) plan.provideSpareCapacity(requirement);
    return plan.requests;
  }

  /**
   * Jobs with unplaced tasks, by priority. Within a priority, jobs that are hard to place come first: those
   * with more GPUs, then gangs; after that, the one ready the longest.
   */
  private unplacedJobs(): Job[] {
    const jobs = [...this.jobs.openJobs.values()].filter((job) => !job.isCancelling && job.unplacedTasks > 0);
    return jobs.sort(
      (a, b) =>
        b.priority - a.priority ||
        b.spec.gpus - a.spec.gpus ||
        Number(isGang(b.spec)) - Number(isGang(a.spec)) ||
        a.readyAt - b.readyAt,
    );
  }

  /**
   * The number of the job's waiting and queued tasks to provide capacity for. A job that fails everywhere
   * gets capacity for one attempt: it must not wait for ever once its machines are gone, nor must all the
   * machines be rented that it would need if it did not fail.
   */
  private tasksToPlan(job: Job, plannedByTeam: Map<TeamName, TeamUsage>): number {
    const isFaulty = job.failures.isJobFaulty(this.io.now);
    const attemptTasks = isFaulty && !isGang(job.spec) ? 1 : job.unplacedTasks;
    return Math.min(attemptTasks, this.tasksWithinQuota(job, plannedByTeam, attemptTasks));
  }

  /**
   * The number of the job's tasks, with at most `maxWaiting` waiting ones, that its team's quota allows in
   * addition to the tasks already planned for the team. Near the limit, each job of a team may fit the quota
   * by itself although all of them together do not.
   */
  private tasksWithinQuota(job: Job, plannedByTeam: Map<TeamName, TeamUsage>, maxWaiting: number): number {
    const { team, cpus, gpus } = job.spec;
    const planned = plannedByTeam.get(team) ?? { cpus: 0, gpus: 0 };
    const tasks = Math.min(job.waitingTasks, maxWaiting, this.quota.allowedTasks(job, planned));
    plannedByTeam.set(team, { cpus: planned.cpus + cpus * tasks, gpus: planned.gpus + gpus * tasks });
    return tasks + job.queuedTasks;
  }
}
