#!/usr/bin/env node
import { readFileSync } from 'node:fs';
import { Command } from 'commander';
import { BadSettings, parseSettings } from '../protocol/settings.ts';
import { openLog } from '../runtime/log.ts';
import { Node } from '../runtime/node.ts';

const VERSION = '0.1.0';

function readSettings(file: string) {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (e) {
    throw new BadSettings(`${file}: cannot be read: ${(e as Error).message}`);
  }
  return parseSettings(file, text);
}

function fail(e: unknown): never {
  process.stderr.write(`swiftford: ${e instanceof Error ? e.message : String(e)}\n`);
  process.exit(1);
}

const program = new Command('swiftford').description('Cluster scheduler').version(VERSION);

program
  .command('serve')
  .description('run a controller')
  .requiredOption('--config <file>', 'settings file of the platform (JSON)')
  .action((o: { config: string }) => {
    try {
      const settings = readSettings(o.config);
      const log = openLog(settings.node, process.env.LOG_LEVEL);
      const seed = [...settings.node].reduce((h, c) => (h * 31 + c.charCodeAt(0)) | 0, Date.now() | 0);
      new Node(settings, {
        dispatch: { threshold: 2, takeBackMs: 2 * settings.workers.reportS * 1000 },
        seed,
        log,
      });
    } catch (e) {
      fail(e);
    }
  });

program.parse();
