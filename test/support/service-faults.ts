// Injectors for faults of the key-value store and of the cloud.
import { type FaultInjectors, NO_RECOVERY } from './fault-injection.ts';

/** Minimum delay of late writes, and the range of the random delay added to it. */
const LATE_WRITE_MS = 2000;
const LATE_WRITE_SPREAD_MS = 10_000;

/** Injectors by kind of fault. */
export const SERVICE_FAULTS: FaultInjectors<
  'outage' | 'slow' | 'late-writes' | 'answers-lost' | 'cloud-down'
> = {
  outage: ({ run }, { forS }) => {
    if (!run.world.state.down) run.world.state.outage(forS);
    return NO_RECOVERY;
  },

  slow: ({ run }, { ms }) => {
    run.world.storeDelayMs = ms;
    return () => {
      run.world.storeDelayMs = 0;
    };
  },

  'late-writes': ({ run }, { share }) => {
    run.world.state.executionDelayMs = () =>
      run.occursWithProbability(share) ? LATE_WRITE_MS + run.random.below(LATE_WRITE_SPREAD_MS) : null;
    return () => {
      run.world.state.executionDelayMs = null;
    };
  },

  'answers-lost': ({ run }, { share }) => {
    run.world.state.losesAnswer = () => run.occursWithProbability(share);
    return () => {
      run.world.state.losesAnswer = null;
    };
  },

  'cloud-down': ({ run }) => {
    run.world.cloud.down = true;
    return () => {
      run.world.cloud.down = false;
    };
  },
};
