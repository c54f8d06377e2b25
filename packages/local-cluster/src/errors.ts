// Errors of the local cluster.
import { SwiftfordError } from '../../../src/types/errors.ts';

/** No controller became ready in time. */
export class NotReadyError extends SwiftfordError {
  readonly code = 'LOCAL_CLUSTER_NOT_READY';
}

/**
 * A fault cannot be injected: the zone that it names does not exist, or the controller that it names, or any
 * controller if it names none, is not running.
 */
export class FaultTargetError extends SwiftfordError {
  readonly code = 'FAULT_TARGET_MISSING';
}

/** Every port that was tried is in use. */
export class NoFreePortError extends SwiftfordError {
  readonly code = 'LOCAL_CLUSTER_NO_FREE_PORT';
}
