#!/usr/bin/env node
// Entry point of the program `swiftford`: registers its commands.
import { Command } from 'commander';
import { registerClientCommands } from './client-cli.ts';
import { registerConfigCommands } from './config-cli.ts';
import { registerControllerCommands } from './controller-cli.ts';
import { registerLocalClusterCommands } from './local-cluster-cli.ts';

const VERSION = '0.10.1';

const program = new Command('swiftford').description('Cluster scheduler').version(VERSION);
registerControllerCommands(program);
registerClientCommands(program);
registerLocalClusterCommands(program);
registerConfigCommands(program);
program.parseAsync();
