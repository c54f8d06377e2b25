// Bundles the library into dist/index.js, with its dependencies left as imports, and writes its type
// declarations.
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
