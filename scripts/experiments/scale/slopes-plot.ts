// The slopes of the scale experiment as an SVG: each measure against the workers, measured and predicted.
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
  kind: 'measured' | 'foretold';
}

const PANEL_WIDTH = 260;
const PANEL_HEIGHT = 180;

/** The plot as an SVG. */
export async function plotSlopes(values: PlottedValue[]): Promise<string> {
  return new View(parse(plotSpec(values)), { renderer: 'none' }).toSVG();
}

/** Scales of a panel, from nothing on. */
function scalesOf(data: string) {
  const scale = { type: 'linear' as const, zero: true };
  return [
    { ...scale, name: 'x', domain: { data, field: 'x' }, range: [0, PANEL_WIDTH] },
    { ...scale, name: 'y', domain: { data, field: 'y' }, range: [PANEL_HEIGHT, 0] },
  ];
}

/** A measure against the workers. */
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
            fill: { scale: 'of', field: 'of' },
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
    scales: [{ name: 'of', type: 'ordinal', domain: ['measured', 'foretold'], range: 'category' }],
    legends: [{ fill: 'of' }],
    marks: PLOTTED_MEASURES.map(panel),
  };
}
