// Plots the results of the fleet experiment as an SVG: for each day, the 90th percentile of each class's wait
// and the fraction of its fair share that each team used, with the compared sides in different colours.
import { parse, type Spec, View } from 'vega';
import type { DayResult } from './fleet-types.ts';

/** Plots the given results as an SVG. */
export async function plot(results: DayResult[]): Promise<string> {
  const waits = results.flatMap(({ day, machines, side, outcome }) =>
    Object.entries(outcome.classes).map(([name, { wait }]) => ({
      at: `${day} ${machines}, ${name}`,
      side,
      value: wait.p90,
    })),
  );
  const shares = results.flatMap(({ day, machines, side, outcome }) =>
    Object.values(outcome.fair).map((value) => ({ at: `${day} ${machines}`, side, value })),
  );
  const view = new View(parse(spec(waits, shares)), { renderer: 'none' });
  return view.toSVG();
}

/** A point of a plot; `at` is its row on the vertical axis. */
interface Value {
  at: string;
  side: string;
  value: number;
}

const PANEL_SIZE = 420;

/** Scales of a panel: the value horizontally, the row vertically. */
function scalesOf(data: string) {
  const range = [0, PANEL_SIZE];
  return [
    { name: 'x', type: 'linear' as const, domain: { data, field: 'value' }, range, nice: true, zero: true },
    { name: 'y', type: 'point' as const, domain: { data, field: 'at', sort: true }, range, padding: 0.5 },
  ];
}

/** A panel with the points of a data set, coloured by side. */
function panel(data: string, title: string, shape: string) {
  return {
    type: 'group' as const,
    encode: { enter: { width: { value: PANEL_SIZE }, height: { value: PANEL_SIZE } } },
    title,
    scales: scalesOf(data),
    axes: [
      { orient: 'bottom' as const, scale: 'x', grid: true },
      { orient: 'left' as const, scale: 'y' },
    ],
    marks: [
      {
        type: 'symbol' as const,
        from: { data },
        encode: {
          enter: {
            x: { scale: 'x', field: 'value' },
            y: { scale: 'y', field: 'at' },
            fill: { scale: 'side', field: 'side' },
            shape: { value: shape },
            size: { value: 50 },
            opacity: { value: 0.7 },
          },
        },
      },
    ],
  };
}

function spec(waits: Value[], shares: Value[]): Spec {
  return {
    $schema: 'https://vega.github.io/schema/vega/v6.json',
    padding: 20,
    layout: { columns: 2, padding: 160 },
    data: [
      { name: 'waits', values: waits },
      { name: 'shares', values: shares },
    ],
    scales: [
      {
        name: 'side',
        type: 'ordinal',
        domain: [...new Set(waits.map(({ side }) => side))],
        range: 'category',
      },
    ],
    legends: [{ fill: 'side', title: 'version', orient: 'right' }],
    marks: [
      panel('waits', 'wait of a class, 90th percentile (s)', 'circle'),
      panel('shares', "fraction of a team's fair share", 'diamond'),
    ],
  };
}
