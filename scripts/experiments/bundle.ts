// The core of this revision, and of an earlier one, as modules that a drill can load side by side.
import { execFileSync } from 'node:child_process';
import { mkdirSync, readdirSync } from 'node:fs';
import { basename, dirname, join, resolve } from 'node:path';
import { build } from 'esbuild';

export const WORK = 'target/drill';
/** Modules that drills need; their folders may differ from version to version. */
const PARTS = [
  'controller',
  'dispatch',
  'fleet',
  'parser',
  'job',
  'user-response',
  'worker',
  'peer',
  'listing',
  'random',
];
const PLACES = ['src/core', 'src/http', 'src/protocol', 'src/runtime'];

export async function bundle(root: string, name: string): Promise<string> {
  const outfile = resolve(WORK, `${name}.mjs`);
  const files = PLACES.flatMap((p) =>
    readdirSync(resolve(root, p), { recursive: true, encoding: 'utf8' }).map((f) => resolve(root, p, f)),
  );
  // A folder may bear a module's name, and so may a job of the core: what the protocol has goes by its own folder.
  const wanted = (f: string): boolean =>
    PARTS.includes(basename(f, '.ts')) && (basename(f) !== 'job.ts' || dirname(f).endsWith('protocol'));
  const contents = files
    .filter((f) => f.endsWith('.ts') && wanted(f))
    .map((f) => `export * from ${JSON.stringify(f)};`)
    .join('\n');
  await build({
    stdin: { contents, resolveDir: resolve('.') },
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    outfile,
    nodePaths: [resolve('node_modules')],
    logLevel: 'error',
  });
  return outfile;
}

export async function bundleScript(entry: string, name: string): Promise<string> {
  mkdirSync(WORK, { recursive: true });
  const outfile = join(WORK, `${name}.mjs`);
  await build({
    entryPoints: [entry],
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    outfile,
    logLevel: 'error',
  });
  return outfile;
}

export function checkout(revision: string): string {
  const dir = join(WORK, `base-${revision.slice(0, 12)}`);
  mkdirSync(dir, { recursive: true });
  const tar = execFileSync('git', ['archive', revision, 'src'], { maxBuffer: 1 << 28 });
  execFileSync('tar', ['-x', '-C', dir], { input: tar });
  return dir;
}
