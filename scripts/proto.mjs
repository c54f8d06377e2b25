// npm run proto: generates the peer codec from src/protocol/peer.proto. Run it after editing that file; the
// generated code is committed.
import { execFileSync } from 'node:child_process';
import { mkdirSync } from 'node:fs';

mkdirSync('src/protocol/generated', { recursive: true });
const outputBase = 'src/protocol/generated/peer';
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
  '-o',
  `${outputBase}.js`,
  'src/protocol/peer.proto',
]);
run('pbts', ['-o', `${outputBase}.d.ts`, `${outputBase}.js`]);
