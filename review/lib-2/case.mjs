// Runs one case: exit code 1 if a rule was broken, 0 if not, 2 if the case could not run.
import { dirname, join } from 'node:path';
import { World } from './world.mjs';

const LIMIT_MS = 118_000;

export async function runCase(file, options, play) {
  const trouble = process.env.TROUBLE !== '0';
  const world = new World({ ...options, recordFile: join(dirname(file), 'record.txt') });
  let code = 2;
  const timer = setTimeout(async () => {
    world.log('out of time');
    await world.stop();
    process.exit(2);
  }, LIMIT_MS);
  const end = async () => {
    await world.stop();
    process.exit(2);
  };
  process.on('SIGTERM', end);
  process.on('SIGINT', end);
  for (const event of ['uncaughtException', 'unhandledRejection'])
    process.on(event, (error) => {
      world.log('could not run', { error: String(error?.stack ?? error) });
      end();
    });
  try {
    world.log('case', { trouble });
    await world.begin();
    world.watchRules();
    await play(world, trouble);
    code = world.broken.length > 0 ? 1 : 0;
    for (const { rule, text } of world.broken.slice(0, 10)) console.log(`broken: ${rule}: ${text}`);
  } catch (error) {
    world.log('could not run', { error: String(error?.stack ?? error) });
    console.log('could not run:', error);
  } finally {
    clearTimeout(timer);
    await world.stop();
  }
  world.log('end of the case', { code });
  console.log(code === 1 ? 'the rule was broken' : code === 0 ? 'the rule held' : 'the case could not run');
  process.exit(code);
}
