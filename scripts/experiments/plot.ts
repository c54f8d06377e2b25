// The fleet drill's outcome as an SVG: for each day, each class's wait at the 90th percentile and each team's part of its
// fair share, side by side.
import { parse, type Spec, View } from 'vega';
import type { Played } from './fleet-world.ts';

export async function plot(played: Played[]): Promise<string> {
  const waits = played.flatMap((p) =>
    Object.entries(p.out.classes).map(([name, c]) => ({
      at: `${p.day} ${p.machines}, ${name}`,
      side: p.side,
      value: c.wait.p90,
    })),
  );
  const shares = played.flatMap((p) =>
    Object.values(p.out.fair).map((value) => ({ at: `${p.day} ${p.machines}`, side: p.side, value })),
  );
  const view = new View(parse(spec(waits, shares)), { renderer: 'none' });
  return view.toSVG();
}

type Value = { at: string; side: string; value: number };

function spec(waits: Value[], shares: Value[]): Spec {
  const panel = (data: string, title: string, shape: string) => ({
    type: 'group' as const,
    encode: { enter: { width: { value: 420 }, height: { value: 420 } } },
    title,
    scales: [
      {
        name: 'x',
        type: 'linear' as const,
        domain: { data, field: 'value' },
        range: [0, 420],
        nice: true,
        zero: true,
      },
      {
        name: 'y',
        type: 'point' as const,
        domain: { data, field: 'at', sort: true },
        range: [0, 420],
        padding: 0.5,
      },
    ],
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
  });
  return {
    $schema: 'https://vega.github.io/schema/vega/v6.json',
    padding: 20,
    layout: { columns: 2, padding: 160 },
    data: [
      { name: 'waits', values: waits },
      { name: 'shares', values: shares },
    ],
    scales: [
      { name: 'side', type: 'ordinal', domain: [...new Set(waits.map((w) => w.side))], range: 'category' },
    ],
    legends: [{ fill: 'side', title: 'version', orient: 'right' }],
    marks: [
      panel('waits', 'wait of a class, 90th percentile (s)', 'circle'),
      panel('shares', "a team's part of its fair share", 'diamond'),
    ],
  };
}
