// Histories of faults that coincide, drawn at random, played in the simulated world and checked by the users'
// rules.
export { historyArbitrary, SAMPLING } from './history-arbitrary.ts';
export * from './history-model.ts';
export { HistoryPlayer, playHistory } from './history-player.ts';
