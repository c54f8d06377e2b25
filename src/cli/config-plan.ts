// Prints the effect of a planned change of the configuration.
import type { Settings, Team } from '../core/base/model.ts';
import type { DocumentChange } from '../core/configuration/change.ts';
import {
  type ConfigDocument,
  type ConfigSnapshot,
  documentKey,
  encodeDocument,
  overlay,
} from '../core/configuration/documents.ts';
import { quotaViolation } from '../core/teams/quota.ts';
import type { ConfigClient } from './config-client.ts';
import { print } from './output.ts';

/** Maximum number of jobs that are listed; further ones are only counted. */
const MAX_LISTED_JOBS = 10;

/** A planned change of the configuration. */
export interface ConfigPlan {
  settings: Settings;
  /** The configuration before the change. */
  snapshot: ConfigSnapshot;
  changes: readonly DocumentChange[];
}

interface BlockedJob {
  id: string;
  reason: string;
}

/** Prints the changes, and the jobs that could not run under the changed quotas. */
export async function printPlan(client: ConfigClient, plan: ConfigPlan): Promise<void> {
  const { settings, snapshot, changes } = plan;
  print(`against change ${snapshot.head?.number ?? 0} (revision ${snapshot.revision}):`);
  printChanges(changes, settings);
  const blocked = await newlyBlockedJobs(client, plan);
  for (const { id, reason } of blocked.slice(0, MAX_LISTED_JOBS)) {
    print(`  ${id} would have to wait: ${reason}`);
  }
  if (blocked.length > MAX_LISTED_JOBS) print(`  and ${blocked.length - MAX_LISTED_JOBS} more jobs`);
}

/** Prints each changed document before and after the change. */
export function printChanges(changes: readonly DocumentChange[], settings: Settings): void {
  for (const { key, before, after } of changes) {
    const isNewTeam = before === null && after?.kind === 'team';
    const fromSettings = isNewTeam ? describeSettingsTeam(settings, after.name) : null;
    print(`  ${key}`);
    print(`    before: ${fromSettings ?? describeDocument(before)}`);
    print(`    after:  ${describeDocument(after)}`);
  }
}

function describeDocument(document: ConfigDocument | null): string {
  if (document === null) return 'none';
  const { v: _, ...fields } = encodeDocument(document);
  return JSON.stringify(fields);
}

/** A team's quota in the settings file; null if the file has no such team. */
function describeSettingsTeam(settings: Settings, name: string): string | null {
  const team = settings.teams.find((candidate) => candidate.name === name);
  if (team === undefined) return null;
  const { name: _, ...quota } = team;
  return `${JSON.stringify(quota)} (settings file)`;
}

/** Jobs that the current quotas allow to run and the changed ones do not. */
async function newlyBlockedJobs(
  client: ConfigClient,
  { settings, snapshot, changes }: ConfigPlan,
): Promise<BlockedJob[]> {
  const changedTeams = new Set(changes.flatMap(({ after }) => (after?.kind === 'team' ? [after.name] : [])));
  if (changedTeams.size === 0) return [];
  const teamsBefore = overlay(settings, snapshot.documents).teams;
  const teamsAfter = overlay(settings, documentsAfter(snapshot, changes)).teams;
  const blocked: BlockedJob[] = [];
  for (const spec of await client.openJobs()) {
    if (!changedTeams.has(spec.team)) continue;
    const violation = (team: Team | undefined): string | null =>
      team === undefined ? 'its team is unknown' : quotaViolation(spec, team);
    const reason = violation(teamsAfter.get(spec.team));
    if (reason !== null && violation(teamsBefore.get(spec.team)) === null) {
      blocked.push({ id: spec.id, reason });
    }
  }
  return blocked;
}

function documentsAfter(snapshot: ConfigSnapshot, changes: readonly DocumentChange[]): ConfigDocument[] {
  const changedKeys = new Set(changes.map((change) => change.key));
  const kept = snapshot.documents.filter((document) => !changedKeys.has(documentKey(document)));
  return [...kept, ...changes.flatMap(({ after }) => (after === null ? [] : [after]))];
}
