// Runs one case: starts a cluster, plays it, ends every process, and exits with 0 (the rule held), 1 (the rule
// was broken) or 2 (the case could not run).
import { fileURLToPath } from 'node:url';
import { Cluster } from './cluster.mjs';

const LIMIT_MS = 116_000;

/** Whether the case plays its disruption. */
export const trouble = process.env.TROUBLE !== '0';

/** Thrown where a case cannot go on, although no rule was broken. */
export class CannotRun extends Error {}

export function need(condition, text) {
  if (!condition) throw new CannotRun(text);
}

/**
 * `caseUrl`: of the case's module, beside which `record.txt` is written. `play(cluster)` returns null if the rule held, or
 * else a sentence that says how it was broken.
 */
export async function runCase(caseUrl, options, play) {
  const cluster = new Cluster({ ...options, recordFile: fileURLToPath(new URL('record.txt', caseUrl)) });
  let code = 2;
  let isOver = false;
  const end = async (result, text) => {
    if (isOver) return;
    isOver = true;
    code = result;
    cluster.record('case', ['held', 'broken', 'could not run'][result], { trouble, text });
    console.log(`${['held', 'broken', 'could not run'][result]}: ${text}`);
    await cluster.stop();
    process.exit(code);
  };
  const timer = setTimeout(() => end(2, 'the time is over'), LIMIT_MS);
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.on(signal, () => end(2, signal));
  process.on('uncaughtException', (error) => end(2, error.stack));
  process.on('unhandledRejection', (error) => end(2, String(error?.stack ?? error)));
  try {
    await cluster.start();
    const broken = await play(cluster);
    clearTimeout(timer);
    if (broken === null) await end(0, 'the rule held');
    else await end(1, broken);
  } catch (error) {
    clearTimeout(timer);
    await end(2, error instanceof CannotRun ? error.message : error.stack);
  }
}
