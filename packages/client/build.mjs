// Bundles the library, with its libraries left outside, and writes its types.
import { execFileSync } from 'node:child_process';
import { build } from 'esbuild';

await build({
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  entryPoints: ['src/index.ts'],
  outfile: 'dist/index.js',
  external: ['crc-32', 'proper-lockfile', 'tinyqueue'],
});
execFileSync(process.execPath, ['../../node_modules/typescript/bin/tsc', '-p', 'tsconfig.json'], {
  stdio: 'inherit',
});
