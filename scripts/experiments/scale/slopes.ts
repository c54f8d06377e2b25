// The slopes of the scale experiment: varies one parameter at a time, fits a straight line to the cost of
// each role, and compares the prediction from smaller clusters with the measurement of larger ones.
import { readFileSync, writeFileSync } from 'node:fs';
import { fitLine } from './line-fit.ts';
import type { Figures } from './measure.ts';
import { findResourceShortage } from './resources.ts';
import { type RunResult, type RunSetup, ScaleRun } from './run.ts';
import { PLOTTED_MEASURES, type PlottedValue, plotSlopes } from './slopes-plot.ts';

/** The expected production size. */
const FULL_WORKERS = 2000;
const FULL_RUNNING = 14_000;
const JOBS_PER_S = 0.36;
const URGENT_PER_S = 0.25;

/** A setup whose load is proportional to the number of workers, without faults. */
export function baseSetup(workers: number, controllers: number, teams: number, seed: number): RunSetup {
  return {
    demand: {
      workers,
      teams,
      running: Math.round((FULL_RUNNING * workers) / FULL_WORKERS),
      jobsPerS: JOBS_PER_S,
      urgentPerS: URGENT_PER_S,
      waitingJobs: 0,
    },
    controllers,
    seed,
    fillS: 45,
    measureS: 30,
    burst: 0,
    changesPerMinute: 0,
    troubles: [],
    calmS: 0,
  };
}

/** Options of the command that apply to slopes. */
export interface SlopesOptions {
  controllers: number;
  teams: number;
  seed: number;
  json?: string;
  resume?: boolean;
  plot?: string;
  only?: string[];
}

/** A run of a series, and the value of the parameter that the series varies. */
export interface Point {
  series: string;
  x: number;
  result: RunResult;
}

/** A point that is to be measured. */
interface PlannedPoint {
  series: string;
  x: number;
  setup: RunSetup;
}

/** A figure `y` at the value `x` of the varied parameter. */
interface Sample {
  x: number;
  y: number;
}

/** Number of workers at which the other parameters are varied. */
const MIDDLE_WORKERS = 1000;
const WORKER_COUNTS = [250, 500, 1000, 2000, 3000];
/**
 * Predictions are fitted to clusters up to this size; the measured number of workers may be a little higher.
 */
const PREDICTION_MAX_WORKERS = 1000;
const PREDICTION_MAX_MEASURED_WORKERS = PREDICTION_MAX_WORKERS * 1.05;
const MAX_BROKEN_RULES_SHOWN = 5;

function planPoints({ controllers, teams, seed, only }: SlopesOptions): PlannedPoint[] {
  const setupAt = (
    workers: number,
    overrides: Partial<RunSetup> = {},
    demand: Partial<RunSetup['demand']> = {},
  ): RunSetup => {
    const base = baseSetup(workers, controllers, teams, seed);
    return { ...base, ...overrides, demand: { ...base.demand, ...demand } };
  };
  const vary = (series: string, values: number[], setupOf: (x: number) => RunSetup): PlannedPoint[] =>
    values.map((x) => ({ series, x, setup: setupOf(x) }));
  return [
    ...vary('workers', WORKER_COUNTS, (x) => setupAt(x)),
    ...vary('running', [3500, 10_500], (x) => setupAt(MIDDLE_WORKERS, {}, { running: x })),
    ...vary('starts', [250, 500, 1000], (x) => setupAt(MIDDLE_WORKERS, { burst: x })),
    ...vary('open-jobs', [300, 900], (x) => setupAt(MIDDLE_WORKERS, {}, { waitingJobs: x })),
    ...vary('teams', [10, 200], (x) => setupAt(MIDDLE_WORKERS, {}, { teams: x })),
    ...vary('changes', [6, 30, 120], (x) => setupAt(MIDDLE_WORKERS, { changesPerMinute: x })),
    ...vary('controllers', [3, 9, 15], (x) => setupAt(MIDDLE_WORKERS, { controllers: x })),
  ].filter(({ series }) => only === undefined || only.includes(series));
}

/** The measures that lines are fitted to, by name. */
const MEASURES: Record<string, (figures: Figures) => number> = {
  owner_core: (figures) => figures.owner.core,
  owner_mb: (figures) => figures.owner.rssMb,
  owner_heap_mb: (figures) => figures.owner.heapMb,
  owner_reads_s: (figures) => figures.owner.reads,
  owner_writes_s: (figures) => figures.owner.writes,
  owner_bytes_in_s: (figures) => figures.owner.bytesIn,
  owner_bytes_out_s: (figures) => figures.owner.bytesOut,
  owner_sockets: (figures) => figures.owner.sockets,
  other_core: (figures) => figures.others.core,
  other_mb: (figures) => figures.others.rssMb,
  other_bytes_in_s: (figures) => figures.others.bytesIn,
  other_bytes_out_s: (figures) => figures.others.bytesOut,
  other_sockets: (figures) => figures.others.sockets,
  worker_core: (figures) => figures.worker.core,
  worker_mb: (figures) => figures.worker.mb,
  worker_bytes_s: (figures) => figures.worker.bytesPerS,
  worker_reports_s: (figures) => figures.worker.reportsPerS,
  state_core: (figures) => figures.state.core,
  state_requests_s: (figures) => figures.stateRequestsPerS,
  state_changes_s: (figures) => figures.stateChangesPerS,
  cloud_calls_s: (figures) => figures.cloudCallsPerS,
};

/**
 * The x value of a point: the configured value of the parameter or, where that may differ, the measured one.
 */
function xOf({ series, x, result }: Point): number {
  if (series === 'workers') return result.figures.workers;
  if (series === 'running') return result.running;
  if (series === 'starts') return result.meanStartsPerS;
  return series === 'open-jobs' ? result.openJobs : x;
}

/** The x value in `series` of the run at the middle size, which is a point of every series. */
function middleXOf(series: string, point: Point): number {
  const { setup } = point.result;
  if (series === 'changes') return setup.changesPerMinute;
  if (series === 'teams') return setup.demand.teams;
  if (series === 'controllers') return setup.controllers;
  return xOf({ ...point, series });
}

/** The samples of one measure at all points of a series. */
function samplesOf(points: readonly Point[], series: string, measure: string): Sample[] {
  const samples: Sample[] = [];
  for (const point of points) {
    const isMiddle = point.series === 'workers' && point.x === MIDDLE_WORKERS;
    if (point.series !== series && !isMiddle) continue;
    const x = point.series === series ? xOf(point) : middleXOf(series, point);
    samples.push({ x, y: MEASURES[measure]!(point.result.figures) });
  }
  return samples;
}

const roundTo4Digits = (value: number): number => Number(value.toPrecision(4));

function printSeries(points: readonly Point[], series: string): void {
  for (const measure of Object.keys(MEASURES)) {
    const samples = samplesOf(points, series, measure);
    if (samples.length < 2) continue;
    const { slope, intercept, residual } = fitLine(samples);
    const values = samples.map(({ x, y }) => `${Math.round(x)}:${roundTo4Digits(y)}`).join(' ');
    process.stdout.write(
      `slope ${series} ${measure}: ${roundTo4Digits(slope)} per unit, ${roundTo4Digits(intercept)} at zero, residual ${roundTo4Digits(residual)}; ${values}\n`,
    );
  }
}

/**
 * Prints the prediction, the measurement and their deviation for each size that the line is not fitted to.
 */
function printPredictions(points: readonly Point[]): void {
  for (const measure of Object.keys(MEASURES)) {
    const samples = samplesOf(points, 'workers', measure);
    const small = samples.filter(({ x }) => x <= PREDICTION_MAX_MEASURED_WORKERS);
    if (small.length < 2) continue;
    const { slope, intercept } = fitLine(small);
    for (const { x, y } of samples) {
      if (x <= PREDICTION_MAX_MEASURED_WORKERS) continue;
      const predicted = intercept + slope * x;
      const deviationPercent = predicted === 0 ? 0 : (100 * (y - predicted)) / predicted;
      process.stdout.write(
        `predicted ${measure} at ${Math.round(x)}: ${roundTo4Digits(predicted)}, measured ${roundTo4Digits(y)}, ${deviationPercent.toFixed(0)}%\n`,
      );
    }
  }
}

/** Points that the file of figures already contains, with `--resume`. */
function readPoints({ resume, json }: SlopesOptions): Point[] {
  return resume && json !== undefined ? (JSON.parse(readFileSync(json, 'utf8')) as Point[]) : [];
}

/** Runs all series; prints the fitted lines and the deviations of predictions. */
export async function runSlopes(
  options: SlopesOptions,
  onProgress: (line: string) => void,
  registerStop: (stop: () => Promise<void>) => void,
): Promise<void> {
  const points = readPoints(options);
  let broken = 0;
  for (const { series, x, setup } of planPoints(options)) {
    if (points.some((point) => point.series === series && point.x === x)) continue;
    const shortage = findResourceShortage(setup.demand.workers, setup.controllers);
    if (shortage !== null) {
      process.stdout.write(`not run ${series} ${x}: ${shortage}\n`);
      continue;
    }
    // Progress lines that begin with `fault` are always written.
    onProgress(`fault: none; series ${series}, value ${x}`);
    const result = await ScaleRun.run(setup, onProgress, registerStop);
    points.push({ series, x, result });
    broken += result.broken.length;
    for (const line of result.broken.slice(0, MAX_BROKEN_RULES_SHOWN))
      process.stdout.write(`${series} ${x}: ${line}\n`);
    if (options.json !== undefined) writeFileSync(options.json, `${JSON.stringify(points, null, 1)}\n`);
  }
  for (const series of new Set(points.map((point) => point.series))) printSeries(points, series);
  printPredictions(points);
  if (options.plot !== undefined) writeFileSync(options.plot, await plotSlopes(plottedValues(points)));
  process.stdout.write(`slopes: runs=${points.length} rules_broken=${broken}\n`);
  process.exitCode = broken > 0 ? 1 : 0;
}

/** Measured and predicted values of each plotted measure; predictions are fitted to the smaller sizes. */
function plottedValues(points: readonly Point[]): PlottedValue[] {
  return PLOTTED_MEASURES.flatMap((measure) => {
    const samples = samplesOf(points, 'workers', measure);
    const { slope, intercept } = fitLine(samples.filter(({ x }) => x <= PREDICTION_MAX_MEASURED_WORKERS));
    return samples.flatMap(({ x, y }): PlottedValue[] => [
      { measure, x, y, kind: 'measured' },
      { measure, x, y: intercept + slope * x, kind: 'predicted' },
    ]);
  });
}
