// Plots the slopes of the scale experiment as SVG: each measure against the number of workers, measured and
// predicted.
import { parse, type Spec, View } from 'vega';

/** Measures that are plotted. */
export const PLOTTED_MEASURES = [
  'owner_core',
  'owner_mb',
  'other_core',
  'worker_bytes_s',
  'state_requests_s',
  'state_changes_s',
];

/** A point of a plot. */
export interface PlottedValue {
  measure: string;
  x: number;
  y: number;
  kind: 'measured' | 'predicted';
}

const PANEL_WIDTH = 260;
const PANEL_HEIGHT = 180;

/** Renders the plot as SVG. */
export async function plotSlopes(values: PlottedValue[]): Promise<string> {
  return new View(parse(plotSpec(values)), { renderer: 'none' }).toSVG();
}

/** Linear scales of a panel, which start at zero. */
function scalesOf(data: string) {
  const scale = { type: 'linear' as const, zero: true };
  return [
    { ...scale, name: 'x', domain: { data, field: 'x' }, range: [0, PANEL_WIDTH] },
    { ...scale, name: 'y', domain: { data, field: 'y' }, range: [PANEL_HEIGHT, 0] },
  ];
}

/** The panel of one measure against the number of workers. */
function panel(measure: string) {
  const data = `of-${measure}`;
  return {
    type: 'group' as const,
    title: measure,
    encode: { enter: { width: { value: PANEL_WIDTH }, height: { value: PANEL_HEIGHT } } },
    data: [
      {
        name: data,
        source: 'values',
        transform: [{ type: 'filter' as const, expr: `datum.measure === '${measure}'` }],
      },
    ],
    scales: scalesOf(data),
    axes: [
      { orient: 'bottom' as const, scale: 'x', title: 'workers' },
      { orient: 'left' as const, scale: 'y' },
    ],
    marks: [
      {
        type: 'symbol' as const,
        from: { data },
        encode: {
          enter: {
            x: { scale: 'x', field: 'x' },
            y: { scale: 'y', field: 'y' },
            fill: { scale: 'kind', field: 'kind' },
          },
        },
      },
    ],
  };
}

function plotSpec(values: PlottedValue[]): Spec {
  return {
    $schema: 'https://vega.github.io/schema/vega/v6.json',
    padding: 20,
    layout: { columns: 3, padding: 50 },
    data: [{ name: 'values', values }],
    scales: [{ name: 'kind', type: 'ordinal', domain: ['measured', 'predicted'], range: 'category' }],
    legends: [{ fill: 'kind' }],
    marks: PLOTTED_MEASURES.map(panel),
  };
}
