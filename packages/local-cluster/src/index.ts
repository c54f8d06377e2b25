// The package's public entry.
export type { SimulationClock } from './clock.ts';
export type { Controller } from './controller-group.ts';
export { nodeAddresses, spawnController } from './controller-process.ts';
/** @deprecated Use CloudEnvironment. */
export type { CloudEnvironment as CloudPlace } from './fake-cloud.ts';
export { type CloudEnvironment, type CloudMachine, FakeCloud } from './fake-cloud.ts';
/** @deprecated Use FakeStore. */
export { FakeStore, FakeStore as FakeState } from './fake-store.ts';
export { FakeWorker, type RunningTask, type WorkerEnvironment } from './fake-worker.ts';
/** @deprecated Use errorResponse. */
export {
  errorResponse,
  errorResponse as error,
  freePort,
  type Listening,
  listen,
  type RequestHandler,
} from './json-server.ts';
/** @deprecated Use LocalCluster. */
export { LocalCluster, LocalCluster as Lab, type LocalClusterSetup } from './local-cluster.ts';
/** @deprecated Use LocalClusterOptions and readLocalClusterOptions. */
export {
  defaults,
  FAULTS,
  type Fault,
  type LocalClusterOptions,
  type LocalClusterOptions as LabOptions,
  readLocalClusterOptions,
  readLocalClusterOptions as readLabOptions,
} from './options.ts';
export { OutsideServices, type ServiceCounts } from './outside-services.ts';
/** @deprecated Use ProcessGuard. */
export { endGroup, ProcessGuard, ProcessGuard as Guard } from './process-guard.ts';
export { type NodeAddress, settingsFile } from './settings-file.ts';
