// Public exports of the package.
export type { SimulationClock } from './clock.ts';
export type { Controller } from './controller-group.ts';
export { nodeAddresses, spawnController } from './controller-process.ts';
export { type CloudEnvironment, type CloudMachine, FakeCloud } from './fake-cloud.ts';
export { FakeStore } from './fake-store.ts';
export { FakeWorker, type RunningTask, type WorkerEnvironment } from './fake-worker.ts';
export { errorResponse, type Listening, listen, type RequestHandler } from './json-server.ts';
export { LocalCluster, type LocalClusterSetup } from './local-cluster.ts';
export {
  defaults,
  FAULTS,
  type Fault,
  type LocalClusterOptions,
  readLocalClusterOptions,
} from './options.ts';
export { OutsideServices, type ServiceCounts } from './outside-services.ts';
export { reservePort } from './port-reservation.ts';
export { endGroup, ProcessGuard } from './process-guard.ts';
export { type NodeAddress, settingsFile } from './settings-file.ts';
