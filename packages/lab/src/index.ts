// The package's public entry.
export { FakeCloud } from './cloud.ts';
export { Lab } from './lab.ts';
export { defaults, FAULTS, type Fault, type LabOptions, readLabOptions } from './options.ts';
export type { Clock, CloudPlace, Work, WorkerPlace } from './place.ts';
export { FakeState } from './state.ts';
export { FakeWorker } from './worker.ts';
