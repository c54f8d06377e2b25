// Injectors for actions of users and the operator: cancellations, invalid requests, streams of jobs and quota
// changes.
import type { JobId } from '../../src/types/index.ts';
import { type FaultInjectors, type FaultTargets, NO_RECOVERY } from './fault-injection.ts';
import { sumOf } from './history-run.ts';
import { LIMITED_TEAM, LIMITED_TEAM_CPUS } from './simulated-settings.ts';

const ODD_REQUEST_INTERVAL_MS = 700;
const STREAM_INTERVAL_MS = 250;
/** Cancellations of `cancel-now` are sent within this period. */
const CANCEL_SPREAD_MS = 200;
/** Deadline for stopping tasks above a lowered quota, if the quota change stops them. */
const STOP_WITHIN_S = 20;

/** Selects up to `count` running jobs, and makes their machines hang for `hangS` seconds. */
function runningJobs({ run }: FaultTargets, count: number, hangS: number): Set<string> {
  const ids = new Set<string>();
  for (const machine of run.world.workers.values())
    for (const { job } of machine.activeTasks()) {
      if (ids.size >= count) break;
      ids.add(job);
      if (hangS <= 0 || !machine.up) continue;
      machine.hang(hangS * 1000);
      run.met['cancelled-running-machine-hangs']++;
    }
  return ids;
}

/** Injectors by kind of fault. */
export const USER_FAULTS: FaultInjectors<
  'cancel-now' | 'cancel-at-end' | 'close-looks' | 'odd-requests' | 'stream' | 'quota'
> = {
  'cancel-now': (targets, { count, hangS }) => {
    const { world, random } = targets.run;
    for (const id of runningJobs(targets, count, hangS))
      world.after(random.below(CANCEL_SPREAD_MS), () => targets.users.cancel(id as JobId));
    return NO_RECOVERY;
  },

  'cancel-at-end': ({ users }, { share }) => {
    users.cancelAtEndShare = share;
    return () => {
      users.cancelAtEndShare = 0;
    };
  },

  'close-looks': ({ users }) => {
    users.sendsRequestBursts = true;
    return () => {
      users.sendsRequestBursts = false;
    };
  },

  'odd-requests': ({ run, users }) => run.repeat(ODD_REQUEST_INTERVAL_MS, () => users.sendOddRequests()),

  stream: ({ run, users }) => run.repeat(STREAM_INTERVAL_MS, () => users.submitStreamedJob()),

  quota: ({ run, users, operator }, { afterS, forS, cpus, stop }) => {
    const { world, met } = run;
    users.submitLimitedJob();
    world.after(afterS * 1000, () => {
      met['quota-changed']++;
      if (sumOf(run.limitedTeamUse().values()) > cpus) met['quota-lowered-in-use']++;
      operator.changeLimitUntilCommitted(
        LIMITED_TEAM,
        cpus,
        stop ? { kind: 'stop', withinS: STOP_WITHIN_S } : { kind: 'drain' },
      );
    });
    // The quota must not be restored before it is changed.
    const delayMs = Math.max(0, afterS - forS) * 1000 + 1;
    return () =>
      world.after(delayMs, () =>
        operator.changeLimitUntilCommitted(LIMITED_TEAM, LIMITED_TEAM_CPUS, { kind: 'drain' }),
      );
  },
};
