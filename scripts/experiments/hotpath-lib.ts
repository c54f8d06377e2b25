// What `hotpath` measures of a version of the program, and the figures that it takes.
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

/** What is measured of a bundle of the library. */
export type Lib = Pick<typeof controller, 'Controller'> &
  Pick<typeof scheduler, 'Scheduler'> &
  Pick<typeof autoscaler, 'Autoscaler'> &
  Pick<typeof parser, 'HttpParser'> &
  Pick<typeof workerCodec, 'parseHeartbeat' | 'encodeHeartbeatResponse'> &
  Pick<typeof jobCodec, 'parseJob'> &
  Pick<typeof userResponseCodec, 'encodeUserResponse'> &
  Pick<typeof peerCodec, 'encodePeerMessage' | 'PeerDecoder'> &
  Pick<typeof taskListDelta, 'diffTaskLists'> &
  Pick<typeof random, 'seededRandom'>;

/**
 * What processor time is counted for: heartbeats, submissions, status requests and replies of the key-value
 * store and the cloud; scheduling cycles and the autoscaler's plans, wherever they are run; and timer ticks
 * without these.
 */
export type Kind = 'report' | 'submit' | 'poll' | 'write' | 'pass' | 'plan' | 'tick';

/** Figures of one measurement; other revisions' runners write them by the same names. */
export interface Figures {
  /** Microseconds of processor time an input of each kind. */
  us: Record<Kind, number>;
  /** Inputs of each kind. */
  n: Record<Kind, number>;
  /** Milliseconds of processor time from a new leader's term to all machines heard, and simulated seconds. */
  takeoverMs: number;
  takeoverS: number;
  heapMb: number;
}
