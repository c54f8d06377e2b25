// Generates the peer codec from its .proto; run after editing it, the result is committed.
import { execFileSync } from 'node:child_process';
import { mkdirSync } from 'node:fs';

mkdirSync('src/protocol/generated', { recursive: true });
const out = 'src/protocol/generated/peer';
const run = (tool, args) => execFileSync(`node_modules/.bin/${tool}`, args, { stdio: 'inherit' });
run('pbjs', [
  '-t',
  'static-module',
  '-w',
  'es6',
  '--no-create',
  '--no-verify',
  '--no-delimited',
  '--no-service',
  '--force-number',
  '-o',
  `${out}.js`,
  'src/protocol/peer.proto',
]);
run('pbts', ['-o', `${out}.d.ts`, `${out}.js`]);
