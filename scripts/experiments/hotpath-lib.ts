// Types of the experiment `hotpath`: the exports of the library that it measures, and the resulting figures.
import type * as autoscaler from '../../src/core/autoscaling/autoscaler.ts';
import type * as controller from '../../src/core/controller.ts';
import type * as taskListDelta from '../../src/core/heartbeats/task-list-delta.ts';
import type * as scheduler from '../../src/core/scheduling/scheduler.ts';
import type * as parser from '../../src/http/parser.ts';
import type * as jobCodec from '../../src/protocol/job.ts';
import type * as peerCodec from '../../src/protocol/peer.ts';
import type * as userResponseCodec from '../../src/protocol/user-response.ts';
import type * as workerCodec from '../../src/protocol/worker.ts';
import type * as random from '../../src/runtime/random.ts';
import type * as exactJson from '../../src/types/exact-json.ts';

/** Exports of a bundled library that are measured. */
export type Library = Pick<typeof controller, 'Controller'> &
  Pick<typeof scheduler, 'Scheduler'> &
  Pick<typeof autoscaler, 'Autoscaler'> &
  Pick<typeof parser, 'HttpParser'> &
  Pick<typeof workerCodec, 'parseHeartbeat' | 'encodeHeartbeatResponse'> &
  Pick<typeof jobCodec, 'parseJob'> &
  Pick<typeof userResponseCodec, 'encodeUserResponse'> &
  Pick<typeof peerCodec, 'encodePeerMessage' | 'PeerDecoder'> &
  Pick<typeof taskListDelta, 'diffTaskLists'> &
  Pick<typeof exactJson, 'parseJson'> &
  Pick<typeof random, 'seededRandom'>;

/**
 * Categories of processor time: heartbeats (`report`), submissions (`submit`), status requests (`poll`),
 * replies of the key-value store and the cloud (`write`), scheduling cycles (`pass`) and runs of the
 * autoscaler (`plan`), whichever input starts them, and timer ticks without cycles and autoscaler runs
 * (`tick`).
 */
export type InputKind = 'report' | 'submit' | 'poll' | 'write' | 'pass' | 'plan' | 'tick';

/** Figures of one measurement. Runners of other revisions print them under the same names. */
export interface Figures {
  /** Microseconds of processor time per input, by kind. */
  us: Record<InputKind, number>;
  /** Number of inputs, by kind. */
  n: Record<InputKind, number>;
  /**
   * Time from the start of a new leader until it has received a heartbeat from all machines: processor time
   * in milliseconds, and simulated time in seconds.
   */
  takeoverMs: number;
  takeoverS: number;
  heapMb: number;
}
