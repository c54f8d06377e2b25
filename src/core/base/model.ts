// Re-exports the types that the modules of the core and the protocol codecs share, one file per subject.
export type * from './agent-model.ts';
export type * from './cloud-model.ts';
export type * from './job-model.ts';
export type * from './peer-model.ts';
export type * from './settings-model.ts';
export type * from './store-model.ts';
export type * from './user-model.ts';
