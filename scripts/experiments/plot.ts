// The fleet experiment's outcome as an SVG: for each day, each class's wait at the 90th percentile and each
// team's part of its fair share, side by side.
import { parse, type Spec, View } from 'vega';
import type { Played } from './fleet-types.ts';

/** The plot of all days that were played, as an SVG. */
export async function plot(played: Played[]): Promise<string> {
  const waits = played.flatMap(({ day, machines, side, out }) =>
    Object.entries(out.classes).map(([name, { wait }]) => ({
      at: `${day} ${machines}, ${name}`,
      side,
      value: wait.p90,
    })),
  );
  const shares = played.flatMap(({ day, machines, side, out }) =>
    Object.values(out.fair).map((value) => ({ at: `${day} ${machines}`, side, value })),
  );
  const view = new View(parse(spec(waits, shares)), { renderer: 'none' });
  return view.toSVG();
}

interface Value {
  at: string;
  side: string;
  value: number;
}

const PANEL_SIZE = 420;

/** Scales of a panel: the value, and what it is of. */
function scalesOf(data: string) {
  const range = [0, PANEL_SIZE];
  return [
    { name: 'x', type: 'linear' as const, domain: { data, field: 'value' }, range, nice: true, zero: true },
    { name: 'y', type: 'point' as const, domain: { data, field: 'at', sort: true }, range, padding: 0.5 },
  ];
}

/** Points of a data set, by what they are of and by side. */
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
      panel('shares', "a team's part of its fair share", 'diamond'),
    ],
  };
}
