// `swiftford config`: commands with which operators read and change the configuration documents.
import type { Settings } from '../core/base/model.ts';
import { ChangeTooLargeError } from '../core/configuration/change.ts';
import { type ConfigDocument, overlay, UnreadableDocumentError } from '../core/configuration/documents.ts';
import type { HttpClient } from '../http/client.ts';
import { InvalidSettingsError, parseSettings } from '../protocol/settings.ts';
import { stringifyJson } from '../types/exact-json.ts';
import { type ChangeFlags, EXIT, makeChange } from './config-change.ts';
import {
  ConfigClient,
  ConfigConflictError,
  callStoreOverHttp,
  StoreUnavailableError,
  storeClient,
} from './config-client.ts';
import { readConfigFile } from './config-file.ts';
import { printChanges, printPlan } from './config-plan.ts';
import { parseHcl, readText } from './files.ts';
import { print, printError } from './output.ts';

/** Options of all `config` commands. */
export interface ConfigFlags {
  config: string;
  json?: boolean;
}

/** Options of the `config` commands that change the configuration. */
export interface ApplyFlags extends ConfigFlags, ChangeFlags {}

/** Runs a command with a client and sets the exit code; expected errors are printed in one line. */
async function withClient(
  flags: ConfigFlags,
  run: (client: ConfigClient, settings: Settings) => Promise<number>,
): Promise<void> {
  let http: HttpClient | null = null;
  try {
    const settings = parseSettings(flags.config, readText(flags.config));
    http = storeClient(settings);
    process.exitCode = await run(new ConfigClient(callStoreOverHttp(http), settings), settings);
  } catch (error) {
    process.exitCode = exitCodeOf(error);
    printError(error);
  } finally {
    http?.close();
  }
}

/** The exit code for an expected error; rethrows any other error. */
function exitCodeOf(error: unknown): number {
  if (error instanceof InvalidSettingsError || error instanceof ChangeTooLargeError) return EXIT.usage;
  const isExpected =
    error instanceof ConfigConflictError ||
    error instanceof StoreUnavailableError ||
    error instanceof UnreadableDocumentError;
  if (isExpected) return EXIT.failed;
  throw error;
}

async function readDocuments(file: string): Promise<ConfigDocument[]> {
  return readConfigFile(file, await parseHcl(file, readText(file)));
}

/** Prints what a file would change. */
export const plan = (file: string, flags: ConfigFlags): Promise<void> =>
  withClient(flags, async (client, settings) => {
    const documents = await readDocuments(file);
    const snapshot = await client.snapshot();
    const changes = client.plan(snapshot, documents);
    if (changes.length === 0) print('nothing would change');
    else await printPlan(client, { settings, snapshot, changes });
    return EXIT.done;
  });

/** Applies the configuration of a file. */
export const apply = (file: string, flags: ApplyFlags): Promise<void> =>
  withClient(flags, async (client, settings) => {
    const documents = await readDocuments(file);
    return makeChange(client, settings, flags, (snapshot) => client.plan(snapshot, documents));
  });

/** Restores the configuration as it was after an earlier change. */
export const rollback = (number: string, flags: ApplyFlags): Promise<void> =>
  withClient(flags, async (client, settings) => {
    const target = Number(number);
    if (!Number.isInteger(target) || target < 0)
      throw new InvalidSettingsError(`${number}: expected the number of a change, or 0`);
    return makeChange(client, settings, flags, async (snapshot) => {
      if (target > (snapshot.head?.number ?? 0))
        throw new InvalidSettingsError(`${target}: there is no change with this number yet`);
      const changes = await client.planRollback(snapshot, target);
      if (changes === null)
        throw new InvalidSettingsError(`${target}: the history no longer reaches back to this change`);
      return changes;
    });
  });

/** Prints the configuration and the origin of each team's quota. */
export const show = (flags: ConfigFlags): Promise<void> =>
  withClient(flags, async (client, settings) => {
    const snapshot = await client.snapshot();
    const { teams, objectives, dispatch } = overlay(settings, snapshot.documents);
    const teamsInDocuments = new Set(
      snapshot.documents.flatMap((document) => (document.kind === 'team' ? [document.name] : [])),
    );
    const view = {
      number: snapshot.head?.number ?? 0,
      revision: snapshot.revision,
      teams: [...teams.values()].map((team) => ({
        ...team,
        from: teamsInDocuments.has(team.name) ? 'document' : 'settings file',
      })),
      objectives,
      dispatch,
    };
    if (flags.json) {
      print(stringifyJson(view));
      return EXIT.done;
    }
    print(`change ${view.number}, revision ${view.revision}`);
    for (const { name, from, ...quota } of view.teams) {
      print(`  team ${name}: ${JSON.stringify(quota)} (${from})`);
    }
    for (const objective of objectives) print(`  aim: ${JSON.stringify(objective)}`);
    print(`  dispatch: ${JSON.stringify(dispatch)}`);
    return EXIT.done;
  });

/** Prints the newest change and whether it is in force. */
export const status = (flags: ConfigFlags): Promise<void> =>
  withClient(flags, async (client) => {
    const { head, revision } = await client.snapshot();
    const inForce = await client.inForce();
    if (flags.json) {
      print(stringifyJson({ revision, head, inForce }));
      return EXIT.done;
    }
    if (head === null) {
      print('there are no documents: the settings file is in force');
      return EXIT.done;
    }
    const inForceRevision = inForce?.revision ?? 0;
    const madeAt = new Date(head.at).toISOString();
    print(`change ${head.number} (${head.id}) at revision ${revision}, made ${madeAt}`);
    print(inForceRevision >= revision ? 'in force everywhere' : `in force: revision ${inForceRevision}`);
    for (const [node, applied] of Object.entries(inForce?.lagging ?? {})) {
      print(`  ${node} was at revision ${applied} when the leader recorded this`);
    }
    return EXIT.done;
  });

/** Prints the last changes. */
export const history = (flags: ConfigFlags): Promise<void> =>
  withClient(flags, async (client, settings) => {
    const entries = await client.history();
    if (flags.json) {
      print(JSON.stringify(entries));
      return EXIT.done;
    }
    for (const { number, id, at, changes } of entries) {
      print(`change ${number} (${id}), ${new Date(at).toISOString()}`);
      printChanges(changes, settings);
    }
    return EXIT.done;
  });
