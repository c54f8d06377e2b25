// The slopes of the scale drill: one thing varied at a time, a straight line through what each role cost, and what the smaller
// sizes foretold for the larger beside what those gave.
import { readFileSync, writeFileSync } from 'node:fs';
import { parse, type Spec, View } from 'vega';
import type { Figures } from './measure.ts';
import { lacking } from './resources.ts';
import { type RunResult, type RunSetup, ScaleRun } from './run.ts';

/** At the operators' size, of 2,000 workers. */
const FULL = { workers: 2000, running: 14_000 };
const JOBS_PER_S = 0.36;
const URGENT_PER_S = 0.25;

/** A load in proportion to the workers, without troubles. */
export function baseSetup(workers: number, controllers: number, teams: number, seed: number): RunSetup {
  return {
    demand: {
      workers,
      teams,
      running: Math.round((FULL.running * workers) / FULL.workers),
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

interface SlopesOptions {
  controllers: number;
  teams: number;
  seed: number;
  json?: string;
  resume?: boolean;
  plot?: string;
  only?: string[];
}

interface Point {
  series: string;
  x: number;
  result: RunResult;
}

/** Workers at which the other things are varied. */
const MIDDLE = 1000;
const SIZES = [250, 500, 1000, 2000, 3000];
/** Sizes up to this foretell the larger ones. */
const FORETOLD_FROM = 1000;

function planned(o: SlopesOptions): { series: string; x: number; setup: RunSetup }[] {
  const at = (workers: number, over: Partial<RunSetup> = {}, demand: object = {}): RunSetup => {
    const base = baseSetup(workers, o.controllers, o.teams, o.seed);
    return { ...base, ...over, demand: { ...base.demand, ...demand } };
  };
  return [
    ...SIZES.map((x) => ({ series: 'workers', x, setup: at(x) })),
    ...[3500, 10_500].map((x) => ({ series: 'running', x, setup: at(MIDDLE, {}, { running: x }) })),
    ...[250, 500, 1000].map((x) => ({ series: 'starts', x, setup: at(MIDDLE, { burst: x }) })),
    ...[300, 900].map((x) => ({ series: 'open-jobs', x, setup: at(MIDDLE, {}, { waitingJobs: x }) })),
    ...[10, 200].map((x) => ({ series: 'teams', x, setup: at(MIDDLE, {}, { teams: x }) })),
    ...[6, 30, 120].map((x) => ({ series: 'changes', x, setup: at(MIDDLE, { changesPerMinute: x }) })),
    ...[3, 9, 15].map((x) => ({ series: 'controllers', x, setup: at(MIDDLE, { controllers: x }) })),
  ].filter((p) => o.only === undefined || o.only.includes(p.series));
}

/** What is fitted: of each role, by name. */
const MEASURES: Record<string, (f: Figures) => number> = {
  owner_core: (f) => f.owner.core,
  owner_mb: (f) => f.owner.rssMb,
  owner_heap_mb: (f) => f.owner.heapMb,
  owner_reads_s: (f) => f.owner.reads,
  owner_writes_s: (f) => f.owner.writes,
  owner_bytes_in_s: (f) => f.owner.bytesIn,
  owner_bytes_out_s: (f) => f.owner.bytesOut,
  owner_sockets: (f) => f.owner.sockets,
  other_core: (f) => f.others.core,
  other_mb: (f) => f.others.rssMb,
  other_bytes_in_s: (f) => f.others.bytesIn,
  other_bytes_out_s: (f) => f.others.bytesOut,
  other_sockets: (f) => f.others.sockets,
  worker_core: (f) => f.worker.core,
  worker_mb: (f) => f.worker.mb,
  worker_bytes_s: (f) => f.worker.bytesPerS,
  worker_reports_s: (f) => f.worker.reportsPerS,
  state_core: (f) => f.state.core,
  state_requests_s: (f) => f.stateRequestsPerS,
  state_changes_s: (f) => f.stateChangesPerS,
  cloud_calls_s: (f) => f.cloudCallsPerS,
};

interface Line {
  slope: number;
  intercept: number;
  /** Root mean square of what the line misses, as a part of the mean. */
  residual: number;
}

export function fitLine(points: readonly { x: number; y: number }[]): Line {
  const n = points.length;
  const mx = points.reduce((s, p) => s + p.x, 0) / n;
  const my = points.reduce((s, p) => s + p.y, 0) / n;
  const sxx = points.reduce((s, p) => s + (p.x - mx) ** 2, 0);
  const slope = sxx === 0 ? 0 : points.reduce((s, p) => s + (p.x - mx) * (p.y - my), 0) / sxx;
  const intercept = my - slope * mx;
  const rms = Math.sqrt(points.reduce((s, p) => s + (p.y - intercept - slope * p.x) ** 2, 0) / n);
  return { slope, intercept, residual: my === 0 ? 0 : rms / Math.abs(my) };
}

/** What a series is plotted against: the value aimed at, or the one that came about. */
function abscissa(p: Point): number {
  if (p.series === 'workers') return p.result.figures.workers;
  if (p.series === 'running') return p.result.running;
  if (p.series === 'starts') return p.result.meanStartsPerS;
  return p.series === 'open-jobs' ? p.result.openJobs : p.x;
}

function pointsOf(points: readonly Point[], series: string, measure: string): { x: number; y: number }[] {
  // The middle size belongs to every series.
  const own = points.filter(
    (p) => p.series === series || (p.series === 'workers' && p.x === MIDDLE && series !== 'workers'),
  );
  return own.map((p) => ({
    x: p.series === series ? abscissa(p) : middleOf(series, p),
    y: MEASURES[measure]!(p.result.figures),
  }));
}

function middleOf(series: string, p: Point): number {
  if (series === 'changes') return p.result.setup.changesPerMinute;
  if (series === 'teams') return p.result.setup.demand.teams;
  if (series === 'controllers') return p.result.setup.controllers;
  return abscissa({ ...p, series });
}

const round = (x: number): number => Number(x.toPrecision(4));

function tellSeries(points: readonly Point[], series: string): void {
  for (const measure of Object.keys(MEASURES)) {
    const all = pointsOf(points, series, measure);
    if (all.length < 2) continue;
    const line = fitLine(all);
    const values = all.map((p) => `${Math.round(p.x)}:${round(p.y)}`).join(' ');
    process.stdout.write(
      `slope ${series} ${measure}: ${round(line.slope)} each, ${round(line.intercept)} at none, residual ${round(line.residual)}; ${values}\n`,
    );
  }
}

/** Of each size beyond those that the line is drawn through: foretold, measured, and how far apart. */
function tellForetold(points: readonly Point[]): void {
  for (const measure of Object.keys(MEASURES)) {
    const all = pointsOf(points, 'workers', measure);
    const small = all.filter((p) => p.x <= FORETOLD_FROM * 1.05);
    if (small.length < 2) continue;
    const line = fitLine(small);
    for (const p of all.filter((q) => q.x > FORETOLD_FROM * 1.05)) {
      const foretold = line.intercept + line.slope * p.x;
      const apart = foretold === 0 ? 0 : (100 * (p.y - foretold)) / foretold;
      process.stdout.write(
        `foretold ${measure} at ${Math.round(p.x)}: ${round(foretold)}, measured ${round(p.y)}, ${apart.toFixed(0)}%\n`,
      );
    }
  }
}

export async function playSlopes(
  o: SlopesOptions,
  progress: (line: string) => void,
  onCluster: (stop: () => Promise<void>) => void,
): Promise<void> {
  const points: Point[] =
    o.resume && o.json !== undefined ? (JSON.parse(readFileSync(o.json, 'utf8')) as Point[]) : [];
  let broken = 0;
  for (const { series, x, setup } of planned(o)) {
    if (points.some((p) => p.series === series && p.x === x)) continue;
    const why = lacking(setup.demand.workers, setup.controllers);
    if (why !== null) {
      process.stdout.write(`not run ${series} ${x}: ${why}\n`);
      continue;
    }
    progress(`fault: none; ${series} ${x}`);
    const result = await ScaleRun.play(setup, progress, onCluster);
    points.push({ series, x, result });
    broken += result.broken.length;
    for (const b of result.broken.slice(0, 5)) process.stdout.write(`${series} ${x}: ${b}\n`);
    if (o.json !== undefined) writeFileSync(o.json, `${JSON.stringify(points, null, 1)}\n`);
  }
  for (const series of new Set(points.map((p) => p.series))) tellSeries(points, series);
  tellForetold(points);
  if (o.plot !== undefined) writeFileSync(o.plot, await plotSlopes(points));
  process.stdout.write(`slopes: runs=${points.length} rules_broken=${broken}\n`);
  process.exitCode = broken > 0 ? 1 : 0;
}

const PLOTTED = [
  'owner_core',
  'owner_mb',
  'other_core',
  'worker_bytes_s',
  'state_requests_s',
  'state_changes_s',
];

/** Each measure against the workers, with the line through the smaller sizes. */
async function plotSlopes(points: readonly Point[]): Promise<string> {
  const values = PLOTTED.flatMap((measure) => {
    const all = pointsOf(points, 'workers', measure);
    const line = fitLine(all.filter((p) => p.x <= FORETOLD_FROM * 1.05));
    return all.flatMap((p) => [
      { measure, x: p.x, y: p.y, of: 'measured' },
      { measure, x: p.x, y: line.intercept + line.slope * p.x, of: 'foretold' },
    ]);
  });
  return new View(parse(plotSpec(values)), { renderer: 'none' }).toSVG();
}

function plotSpec(values: object[]): Spec {
  const panel = (measure: string) => ({
    type: 'group' as const,
    title: measure,
    encode: { enter: { width: { value: 260 }, height: { value: 180 } } },
    data: [
      {
        name: `of-${measure}`,
        source: 'values',
        transform: [{ type: 'filter' as const, expr: `datum.measure === '${measure}'` }],
      },
    ],
    scales: [
      {
        name: 'x',
        type: 'linear' as const,
        domain: { data: `of-${measure}`, field: 'x' },
        range: [0, 260],
        zero: true,
      },
      {
        name: 'y',
        type: 'linear' as const,
        domain: { data: `of-${measure}`, field: 'y' },
        range: [180, 0],
        zero: true,
      },
    ],
    axes: [
      { orient: 'bottom' as const, scale: 'x', title: 'workers' },
      { orient: 'left' as const, scale: 'y' },
    ],
    marks: [
      {
        type: 'symbol' as const,
        from: { data: `of-${measure}` },
        encode: {
          enter: {
            x: { scale: 'x', field: 'x' },
            y: { scale: 'y', field: 'y' },
            fill: { scale: 'of', field: 'of' },
          },
        },
      },
    ],
  });
  return {
    $schema: 'https://vega.github.io/schema/vega/v6.json',
    padding: 20,
    layout: { columns: 3, padding: 50 },
    data: [{ name: 'values', values }],
    scales: [{ name: 'of', type: 'ordinal', domain: ['measured', 'foretold'], range: 'category' }],
    legends: [{ fill: 'of' }],
    marks: PLOTTED.map(panel),
  };
}
