// Applies the configuration to the components of a leader's term: teams, objectives and scheduler options.
import type { Revision } from '../../types/index.ts';
import type { Settings } from '../base/model.ts';
import type { Configuration } from '../configuration/configuration.ts';
import type { DispatchDocument } from '../configuration/documents.ts';
import type { SchedulerOptions } from '../scheduling/scheduler.ts';
import type { TermScheduling } from './term-scheduling.ts';
import type { TermState } from './term-state.ts';

/** Dependencies of {@link TermConfiguration}. */
export interface TermConfigurationDependencies {
  settings: Settings;
  /** The options that the program was started with. */
  options: SchedulerOptions;
  configuration: Configuration;
  state: TermState;
  scheduling: TermScheduling;
}

/** Applies the configuration of this controller to the components of a term. */
export class TermConfiguration {
  /** The latest known configuration revision when the term began. */
  private readonly revisionAtStart: Revision;
  private readonly dependencies: TermConfigurationDependencies;

  constructor(dependencies: TermConfigurationDependencies) {
    this.dependencies = dependencies;
    this.revisionAtStart = dependencies.configuration.newestRevision;
  }

  /** Whether the configuration revision of the term's start is applied; the failover does not run before. */
  get isInitialRevisionApplied(): boolean {
    return this.dependencies.configuration.appliedRevision >= this.revisionAtStart;
  }

  /** Passes the configuration that this controller applies to every component of the term. */
  apply(): void {
    const { settings, options: baseOptions, configuration, state, scheduling } = this.dependencies;
    const { teams, objectives, dispatch } = configuration.effective;
    const options = overlayOptions(baseOptions, dispatch, settings.workers.heartbeatS);
    state.quota.configure(teams);
    state.ordering.configure(objectives);
    scheduling.fairShare.configure(teams.values(), { team: options.teamFloor, class: options.classFloor });
    state.autoscaler.spareCapacity.configure(objectives, teams.values());
    scheduling.scheduler.configure(options);
  }
}

/** The scheduler options, overridden by the configuration document. `heartbeatS`: the heartbeat interval. */
function overlayOptions(
  base: SchedulerOptions,
  document: DispatchDocument,
  heartbeatS: number,
): SchedulerOptions {
  const { threshold, takeBackReports, teamFloor, classFloor } = document;
  return {
    threshold: threshold ?? base.threshold,
    dequeueAfterMs: takeBackReports === undefined ? base.dequeueAfterMs : takeBackReports * heartbeatS * 1000,
    teamFloor: teamFloor ?? base.teamFloor,
    classFloor: classFloor ?? base.classFloor,
  };
}
