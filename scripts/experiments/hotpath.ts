// Processor time of the core's inputs at 1,000, 3,000 and 10,000 machines, as a ratio to an earlier version of this
// repository measured in the same run. Processes take turns, and the least of several is taken for each figure.
import { execFileSync } from 'node:child_process';
import { Command } from 'commander';
import { bundle, bundleScript, checkout } from './bundle.ts';
import type { Figures, Kind } from './hotpath-load.ts';

/** The version before the work on ever larger fleets began. */
const BASE = '3e5f11a2bffde42ff19366f20bac6b895f26f225';
function measure(runner: string, lib: string, machines: number, seconds: number): Figures {
  const args = ['--expose-gc', '--max-old-space-size=4000', runner, lib, `${machines}`, `${seconds}`];
  return JSON.parse(execFileSync(process.execPath, args, { encoding: 'utf8' })) as Figures;
}

const least = (a: Figures | null, b: Figures): Figures => {
  if (a === null) return b;
  const us = { ...a.us };
  for (const k of Object.keys(us) as Kind[]) us[k] = Math.min(us[k], b.us[k]);
  return { ...a, us, takeoverMs: Math.min(a.takeoverMs, b.takeoverMs) };
};

async function main(o: { base: string; sizes: string[]; times: string; seconds: string }): Promise<void> {
  const runner = await bundleScript('scripts/experiments/hotpath-run.ts', 'run');
  const libs = { base: await bundle(checkout(o.base), 'base-lib'), now: await bundle('.', 'now-lib') };
  const at = new Map<string, Figures>();
  for (let i = 0; i < Number(o.times); i++)
    for (const size of o.sizes)
      for (const v of ['base', 'now'] as const) {
        const key = `${v} ${size}`;
        at.set(key, least(at.get(key) ?? null, measure(runner, libs[v], Number(size), Number(o.seconds))));
      }
  for (const [key, f] of at) {
    const us = (Object.keys(f.us) as Kind[]).map((k) => `${k}=${f.us[k].toFixed(1)}us x${f.n[k]}`).join(' ');
    process.stdout.write(
      `${key}: ${us} takeover=${f.takeoverMs.toFixed(0)}ms in ${f.takeoverS.toFixed(1)}s heap=${f.heapMb.toFixed(0)}MB\n`,
    );
  }
  const middle = o.sizes[Math.min(1, o.sizes.length - 1)]!;
  const [b, n] = [at.get(`base ${middle}`)!, at.get(`now ${middle}`)!];
  // Passes are a matter of how often as well: what they take in all counts.
  const total = (f: Figures, k: Kind) => (k === 'pass' ? f.us[k] * f.n[k] : f.us[k]);
  const ratio = (k: Kind) => (total(n, k) / total(b, k)).toFixed(2);
  const growth = at.get(`now ${o.sizes.at(-1)}`)!.us.report / at.get(`now ${o.sizes[0]}`)!.us.report;
  process.stdout.write(
    `hotpath: report=${ratio('report')} submit=${ratio('submit')} pass=${ratio('pass')} takeover=${(n.takeoverMs / b.takeoverMs).toFixed(2)} (ratio to base) growth_10x=${growth.toFixed(2)}\n`,
  );
}

const program = new Command('hotpath')
  .option('--base <revision>', 'version to compare with', BASE)
  .option('--sizes <n...>', 'numbers of machines, from least to greatest', ['1000', '3000', '10000'])
  .option('--times <n>', 'measurements of each', '3')
  .option('--seconds <s>', 'simulated seconds that are measured', '40')
  .action(main);
await program.parseAsync();
