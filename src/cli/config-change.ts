// Makes a change of the configuration and waits until it is in force.
import { randomUUID } from 'node:crypto';
import type { Settings } from '../core/base/model.ts';
import type { DocumentChange } from '../core/configuration/change.ts';
import type { ConfigSnapshot } from '../core/configuration/documents.ts';
import { InvalidSettingsError } from '../protocol/settings.ts';
import type { Revision } from '../types/index.ts';
import { type ConfigClient, ConfigConflictError } from './config-client.ts';
import { printPlan } from './config-plan.ts';
import { fetchNodeStatus, versionObstacle } from './node-versions.ts';
import { print } from './output.ts';

/** Exit codes: success; change in conflict, failed or not in force in time; invalid file or option. */
export const EXIT = { done: 0, failed: 1, usage: 2 } as const;

const DEFAULT_WAIT_S = 60;
const MS_PER_S = 1000;

/** Options of a command that changes the configuration. */
export interface ChangeFlags {
  id?: string;
  wait?: boolean;
  within?: string;
}

/** Plans the changes to a snapshot of the configuration. */
export type Planner = (snapshot: ConfigSnapshot) => DocumentChange[] | Promise<DocumentChange[]>;

/** Makes a change, unless one with the same id was made before; returns the exit code. */
export async function makeChange(
  client: ConfigClient,
  settings: Settings,
  flags: ChangeFlags,
  plan: Planner,
): Promise<number> {
  const id = flags.id ?? randomUUID();
  const withinS = Number(flags.within ?? DEFAULT_WAIT_S);
  if (!(withinS > 0))
    throw new InvalidSettingsError(`--within: expected a number of seconds above 0, got ${flags.within}`);
  const finish = (revision: Revision) => (flags.wait ? waitInForce(client, revision, withinS) : EXIT.done);

  const earlier = flags.id === undefined ? null : await client.findChange(id);
  if (earlier !== null) {
    print(`change ${earlier.number} (${id}) was made before, at revision ${earlier.revision}`);
    return finish(earlier.revision);
  }
  const snapshot = await client.snapshot();
  const changes = await plan(snapshot);
  if (changes.length === 0) {
    print('nothing to change');
    return EXIT.done;
  }
  await printPlan(client, { settings, snapshot, changes });
  await checkVersions(settings);
  const made = await client.apply(snapshot, changes, id);
  print(`change ${made.number} (${id}) made at revision ${made.revision}`);
  return finish(made.revision);
}

async function waitInForce(client: ConfigClient, revision: Revision, withinS: number): Promise<number> {
  const tookMs = await client.waitInForce(revision, withinS * MS_PER_S);
  if (tookMs === null) {
    print(`the change is not in force after ${withinS} s: see config status`);
    return EXIT.failed;
  }
  print(`in force everywhere after ${(tookMs / MS_PER_S).toFixed(1)} s`);
  return EXIT.done;
}

/** Throws `ConfigConflictError` if a controller does not support documents or its version is unknown. */
async function checkVersions(settings: Settings): Promise<void> {
  const obstacle = versionObstacle(await fetchNodeStatus(settings.listen), settings);
  if (obstacle !== null) throw new ConfigConflictError(obstacle);
}
