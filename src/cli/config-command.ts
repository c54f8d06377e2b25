// `swiftford config`: what operators see of the configuration documents and do to them.
import { randomUUID } from 'node:crypto';
import type { Settings, Team } from '../core/base/model.ts';
import { ChangeTooLargeError, type DocumentChange } from '../core/configuration/change.ts';
import {
  type ConfigDocument,
  type ConfigSnapshot,
  documentKey,
  documentValue,
  overlay,
  UnreadableDocumentError,
} from '../core/configuration/documents.ts';
import { quotaViolation } from '../core/teams/quota.ts';
import { HttpClient } from '../http/client.ts';
import { InvalidSettingsError, parseSettings } from '../protocol/settings.ts';
import { askOverHttp, ConfigClient, ConfigConflict, StateUnavailable, stateClient } from './config-client.ts';
import { readConfigFile } from './config-file.ts';
import { parseHcl, readText } from './files.ts';

/** How a command ends: done; made, but not in force in time, or in conflict; a wrong file or option. */
const EXIT = { done: 0, failed: 1, usage: 2 } as const;
const STATUS_MS = 3000;
const NAMED_JOBS = 10;
const WAIT_DEFAULT_S = 60;

export interface ConfigFlags {
  config: string;
  json?: boolean;
}
export interface ApplyFlags extends ConfigFlags {
  id?: string;
  wait?: boolean;
  within?: string;
}

const print = (line: string): void => void process.stdout.write(`${line}\n`);

/** Runs a command with a client; every mistake ends in one line. */
async function withClient(
  flags: ConfigFlags,
  run: (client: ConfigClient, settings: Settings) => Promise<number>,
): Promise<void> {
  let http: HttpClient | null = null;
  try {
    const settings = parseSettings(flags.config, readText(flags.config));
    http = stateClient(settings);
    process.exitCode = await run(new ConfigClient(askOverHttp(http), settings), settings);
  } catch (e) {
    process.exitCode = exitOf(e);
    process.stderr.write(`swiftford: ${(e as Error).message}\n`);
  } finally {
    http?.close();
  }
}

function exitOf(e: unknown): number {
  if (e instanceof InvalidSettingsError || e instanceof ChangeTooLargeError) return EXIT.usage;
  if (e instanceof ConfigConflict || e instanceof StateUnavailable || e instanceof UnreadableDocumentError)
    return EXIT.failed;
  throw e;
}

async function documentsOf(file: string): Promise<ConfigDocument[]> {
  return readConfigFile(file, await parseHcl(file, readText(file)));
}

const shown = (d: ConfigDocument | null): string => {
  if (d === null) return 'none';
  const { v: _, ...fields } = documentValue(d);
  return JSON.stringify(fields);
};

function printChanges(changes: readonly DocumentChange[], settings: Settings): void {
  for (const { key, before, after } of changes) {
    const base = before === null && after?.kind === 'team' ? baseTeam(settings, after.name) : null;
    print(`  ${key}`);
    print(`    before: ${base ?? shown(before)}`);
    print(`    after:  ${shown(after)}`);
  }
}

function baseTeam(settings: Settings, name: string): string | null {
  const team = settings.teams.find((t) => t.name === name);
  if (team === undefined) return null;
  const { name: _, ...limits } = team;
  return `${JSON.stringify(limits)} (settings file)`;
}

/** Jobs that can run now and could not under the changed limits. */
async function jobsThatWait(
  client: ConfigClient,
  settings: Settings,
  snapshot: ConfigSnapshot,
  changes: readonly DocumentChange[],
): Promise<{ id: string; why: string }[]> {
  const touched = new Set(changes.flatMap((c) => (c.after?.kind === 'team' ? [c.after.name] : [])));
  if (touched.size === 0) return [];
  const now = overlay(settings, snapshot.documents).teams;
  const then = overlay(settings, documentsAfter(snapshot, changes)).teams;
  const out: { id: string; why: string }[] = [];
  for (const spec of await client.openJobs()) {
    if (!touched.has(spec.team)) continue;
    const limit = (team: Team | undefined): string | null =>
      team === undefined ? 'its team is not known' : quotaViolation(spec, team);
    const why = limit(then.get(spec.team));
    if (why !== null && limit(now.get(spec.team)) === null) out.push({ id: spec.id, why });
  }
  return out;
}

function documentsAfter(snapshot: ConfigSnapshot, changes: readonly DocumentChange[]): ConfigDocument[] {
  const keys = new Set(changes.map((c) => c.key));
  const kept = snapshot.documents.filter((d) => !keys.has(documentKey(d)));
  return [...kept, ...changes.flatMap((c) => (c.after === null ? [] : [c.after]))];
}

async function tellPlan(
  client: ConfigClient,
  settings: Settings,
  snapshot: ConfigSnapshot,
  changes: readonly DocumentChange[],
): Promise<void> {
  print(`against change ${snapshot.head?.number ?? 0} (revision ${snapshot.revision}):`);
  printChanges(changes, settings);
  const waiting = await jobsThatWait(client, settings, snapshot, changes);
  for (const { id, why } of waiting.slice(0, NAMED_JOBS)) print(`  ${id} would have to wait: ${why}`);
  if (waiting.length > NAMED_JOBS) print(`  and ${waiting.length - NAMED_JOBS} jobs more`);
}

export const plan = (file: string, flags: ConfigFlags): Promise<void> =>
  withClient(flags, async (client, settings) => {
    const wanted = await documentsOf(file);
    const snapshot = await client.snapshot();
    const changes = client.plan(snapshot, wanted);
    if (changes.length === 0) print('nothing would change');
    else await tellPlan(client, settings, snapshot, changes);
    return EXIT.done;
  });

export const apply = (file: string, flags: ApplyFlags): Promise<void> =>
  withClient(flags, async (client, settings) => {
    const wanted = await documentsOf(file);
    return makeChange(client, settings, flags, (snapshot) => client.plan(snapshot, wanted));
  });

export const rollback = (number: string, flags: ApplyFlags): Promise<void> =>
  withClient(flags, async (client, settings) => {
    const to = Number(number);
    if (!Number.isInteger(to) || to < 0)
      throw new InvalidSettingsError(`${number}: the number of a change is expected`);
    return makeChange(client, settings, flags, async (snapshot) => {
      if (to > (snapshot.head?.number ?? 0))
        throw new InvalidSettingsError(`${to}: there is no such change yet`);
      const changes = await client.planBackTo(snapshot, to);
      if (changes === null) throw new InvalidSettingsError(`${to}: the history does not reach back so far`);
      return changes;
    });
  });

async function makeChange(
  client: ConfigClient,
  settings: Settings,
  flags: ApplyFlags,
  planned: (s: ConfigSnapshot) => DocumentChange[] | Promise<DocumentChange[]>,
): Promise<number> {
  const id = flags.id ?? randomUUID();
  const withinS = Number(flags.within ?? WAIT_DEFAULT_S);
  if (!(withinS > 0)) throw new InvalidSettingsError('--within: a number of seconds above 0 is expected');
  const before = flags.id === undefined ? null : await client.made(id);
  if (before !== null) {
    print(`change ${before.number} (${id}) was made before, at revision ${before.revision}`);
    return flags.wait ? tellInForce(client, before.revision, withinS) : EXIT.done;
  }
  const snapshot = await client.snapshot();
  const changes = await planned(snapshot);
  if (changes.length === 0) {
    print('nothing to change');
    return EXIT.done;
  }
  await tellPlan(client, settings, snapshot, changes);
  await checkVersions(settings);
  const made = await client.apply(snapshot, changes, id);
  print(`change ${made.number} (${id}) made at revision ${made.revision}`);
  return flags.wait ? tellInForce(client, made.revision, withinS) : EXIT.done;
}

async function tellInForce(
  client: ConfigClient,
  revision: Parameters<ConfigClient['waitInForce']>[0],
  withinS: number,
): Promise<number> {
  const ms = await client.waitInForce(revision, withinS * 1000);
  if (ms === null) {
    print(`not in force after ${withinS} s: see config status`);
    return EXIT.failed;
  }
  print(`in force everywhere after ${(ms / 1000).toFixed(1)} s`);
  return EXIT.done;
}

/** What a node says of itself, as far as it is looked at here. */
export interface NodeView {
  configuration?: { nodes?: { node: string; linked: boolean; knowsDocuments: boolean | null }[] };
}

/**
 * Why documents may not be changed now, in one line: a controller that does not know them would go by the settings file
 * alone. Null if there is no reason. `view`: of the node that the settings are of; null if it does not answer.
 */
export function versionObstacle(view: NodeView | null, { node, listen }: Settings): string | null {
  if (view === null)
    return `node ${node} at ${listen} does not answer: whether all controllers know documents is unknown`;
  const { nodes } = view.configuration ?? {};
  if (nodes === undefined) return `node ${node} is of a version that does not know documents`;
  const older = nodes.find((n) => n.knowsDocuments === false);
  if (older !== undefined)
    return `node ${older.node} is of a version that does not know documents: upgrade it first`;
  const unknown = nodes.find((n) => n.knowsDocuments === null);
  return unknown === undefined
    ? null
    : `the version of node ${unknown.node} is unknown: it has not been heard of yet`;
}

/** Throws ConfigConflict naming the controller that is in the way. */
async function checkVersions(settings: Settings): Promise<void> {
  const obstacle = versionObstacle(await askNode(settings.listen), settings);
  if (obstacle !== null) throw new ConfigConflict(obstacle);
}

function askNode(addr: string): Promise<NodeView | null> {
  const client = new HttpClient(addr, 1, 1 << 20);
  return new Promise((resolve) =>
    client.call({ method: 'GET', path: '/status', body: null, timeoutMs: STATUS_MS }, (r) => {
      client.close();
      try {
        resolve(r?.status === 200 ? (JSON.parse(r.body.toString('utf8')) as NodeView) : null);
      } catch {
        resolve(null);
      }
    }),
  );
}

export const show = (flags: ConfigFlags): Promise<void> =>
  withClient(flags, async (client, settings) => {
    const snapshot = await client.snapshot();
    const { teams, objectives, dispatch } = overlay(settings, snapshot.documents);
    const from = new Set(snapshot.documents.flatMap((d) => (d.kind === 'team' ? [d.name] : [])));
    const all = {
      number: snapshot.head?.number ?? 0,
      revision: snapshot.revision,
      teams: [...teams.values()].map((t) => ({
        ...t,
        from: from.has(t.name) ? 'document' : 'settings file',
      })),
      objectives,
      dispatch,
    };
    if (flags.json) print(JSON.stringify(all));
    else {
      print(`change ${all.number}, revision ${all.revision}`);
      for (const { name, from: of, ...limits } of all.teams)
        print(`  team ${name}: ${JSON.stringify(limits)} (${of})`);
      for (const o of objectives) print(`  aim: ${JSON.stringify(o)}`);
      print(`  dispatch: ${JSON.stringify(dispatch)}`);
    }
    return EXIT.done;
  });

export const status = (flags: ConfigFlags): Promise<void> =>
  withClient(flags, async (client) => {
    const [snapshot, inForce] = [await client.snapshot(), await client.inForce()];
    if (flags.json) {
      print(JSON.stringify({ revision: snapshot.revision, head: snapshot.head, inForce }));
      return EXIT.done;
    }
    if (snapshot.head === null) print('there are no documents: the settings file is in force');
    else {
      const { number, id, at } = snapshot.head;
      const inForceToo = (inForce?.revision ?? 0) >= snapshot.revision;
      print(`change ${number} (${id}) at revision ${snapshot.revision}, made ${new Date(at).toISOString()}`);
      print(inForceToo ? 'in force everywhere' : `in force: revision ${inForce?.revision ?? 0}`);
      for (const [node, revision] of Object.entries(inForce?.lagging ?? {}))
        print(`  ${node} was at revision ${revision} when that was said`);
    }
    return EXIT.done;
  });

export const history = (flags: ConfigFlags): Promise<void> =>
  withClient(flags, async (client, settings) => {
    const entries = await client.history();
    if (flags.json) print(JSON.stringify(entries));
    else
      for (const { number, id, at, changes } of entries) {
        print(`change ${number} (${id}), ${new Date(at).toISOString()}`);
        printChanges(changes, settings);
      }
    return EXIT.done;
  });
