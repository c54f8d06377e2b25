// Entry point for histories of concurrent faults: drawn at random, run in the simulated world and checked
// against the users' rules.
export { historyArbitrary, SAMPLING } from './history-arbitrary.ts';
export * from './history-model.ts';
export { HistoryPlayer, playHistory } from './history-player.ts';
