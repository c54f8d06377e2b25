// Callbacks that send the response to a request; each is called at most once.
import type { ForwardedHeartbeatResponse, HeartbeatResponse, UserResponse } from '../base/model.ts';

/** Responds to a user's request. */
export type UserResponder = (response: UserResponse) => void;

/** Responds to a heartbeat of an agent. */
export type HeartbeatResponder = (response: HeartbeatResponse) => void;

/** Responds to a heartbeat that another controller has forwarded. */
export type ForwardedHeartbeatResponder = (response: ForwardedHeartbeatResponse) => void;
