// The package's public entry.

export type { SimulationClock as Clock } from './clock.ts';
export { nodeAddresses, spawnController } from './controller-process.ts';
export type { CloudEnvironment as CloudPlace, CloudMachine } from './fake-cloud.ts';
export { FakeCloud } from './fake-cloud.ts';
export { FakeStore as FakeState } from './fake-store.ts';
export type { RunningTask as Work, WorkerEnvironment as WorkerPlace } from './fake-worker.ts';
export { FakeWorker } from './fake-worker.ts';
export { error, freePort, type Listening, listen, type Serve } from './json-server.ts';
export { LocalCluster as Lab } from './local-cluster.ts';
export {
  defaults,
  FAULTS,
  type Fault,
  type LocalClusterOptions as LabOptions,
  readLocalClusterOptions as readLabOptions,
} from './options.ts';
export { OutsideServices, type ServiceCounts } from './outside-services.ts';
export { endGroup, ProcessGuard as Guard } from './process-guard.ts';
export { type NodeAddress, settingsFile } from './settings-file.ts';
