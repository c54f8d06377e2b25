// The callbacks with which requests are answered. Each is called at most once.
import type { ForwardedHeartbeatResponse, HeartbeatResponse, UserResponse } from '../base/model.ts';

/** Answers a user's request. */
export type UserResponder = (response: UserResponse) => void;

/** Answers a heartbeat of an agent. */
export type HeartbeatResponder = (response: HeartbeatResponse) => void;

/** Answers a heartbeat that another controller has forwarded. */
export type ForwardedHeartbeatResponder = (response: ForwardedHeartbeatResponse) => void;
