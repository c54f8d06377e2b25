// Deprecated names of exports that this repository still uses.
import type { CloudEnvironment } from './fake-cloud.ts';
import { FakeStore } from './fake-store.ts';
import { errorResponse } from './json-server.ts';
import { LocalCluster } from './local-cluster.ts';
import { type LocalClusterOptions, readLocalClusterOptions } from './options.ts';
import { ProcessGuard } from './process-guard.ts';

/** @deprecated Use CloudEnvironment. */
export type CloudPlace = CloudEnvironment;

/** @deprecated Use FakeStore. */
export const FakeState = FakeStore;
/** @deprecated Use FakeStore. */
export type FakeState = FakeStore;

/** @deprecated Use errorResponse. */
export const error = errorResponse;

/** @deprecated Use LocalCluster. */
export const Lab = LocalCluster;
/** @deprecated Use LocalCluster. */
export type Lab = LocalCluster;

/** @deprecated Use LocalClusterOptions. */
export type LabOptions = LocalClusterOptions;

/** @deprecated Use readLocalClusterOptions. */
export const readLabOptions = readLocalClusterOptions;

/** @deprecated Use ProcessGuard. */
export const Guard = ProcessGuard;
/** @deprecated Use ProcessGuard. */
export type Guard = ProcessGuard;
