// Bundles the library and the experiment runners of this revision and of earlier revisions into modules that
// an experiment's process can load.
import { execFileSync } from 'node:child_process';
import { existsSync, mkdirSync, readdirSync } from 'node:fs';
import { basename, dirname, join, resolve } from 'node:path';
import { build } from 'esbuild';
import { InvalidInputError } from '../errors.ts';

/** Folder for the files that experiments build and write. */
export const WORK_FOLDER = 'target/drill';

/**
 * Modules whose exports experiments use. Includes module names of earlier revisions, so a given revision has
 * only some of them.
 */
const LIBRARY_MODULES = [
  'controller',
  'scheduler',
  'dispatch',
  'autoscaler',
  'fleet',
  'parser',
  'job',
  'user-response',
  'worker',
  'peer',
  'task-list-delta',
  'listing',
  'random',
  'exact-json',
];
const LIBRARY_FOLDERS = ['src/core', 'src/http', 'src/protocol', 'src/runtime', 'src/types'];

/** Folders of an earlier revision that an experiment needs: the sources, the runners and their imports. */
const CHECKED_OUT = ['src', 'scripts', 'test', 'packages'];
/** Folders of the runners: the current one, and the one used up to revision baf23d2. */
const RUNNER_FOLDERS = ['scripts/experiments', 'scripts/drill'];
const ARCHIVE_MAX_BYTES = 1 << 28;

const BUILD_OPTIONS = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  logLevel: 'error',
} as const;

/**
 * Whether experiments use the exports of this file. Of the two modules named job.ts, in src/core and in
 * src/protocol, only the protocol's is included.
 */
function isLibraryModule(file: string): boolean {
  if (!file.endsWith('.ts') || !LIBRARY_MODULES.includes(basename(file, '.ts'))) return false;
  return basename(file) !== 'job.ts' || dirname(file).endsWith('protocol');
}

/**
 * Bundles the library of the checkout at `root`.
 *
 * @returns the path of the bundled module, which exports the parts of the library that experiments use
 */
export async function bundle(root: string, name: string): Promise<string> {
  const outfile = resolve(WORK_FOLDER, `${name}.mjs`);
  const files = LIBRARY_FOLDERS.flatMap((folder) =>
    readdirSync(resolve(root, folder), { recursive: true, encoding: 'utf8' }).map((file) =>
      resolve(root, folder, file),
    ),
  );
  const contents = files
    .filter(isLibraryModule)
    .map((file) => `export * from ${JSON.stringify(file)};`)
    .join('\n');
  await build({
    ...BUILD_OPTIONS,
    stdin: { contents, resolveDir: resolve('.') },
    outfile,
    nodePaths: [resolve('node_modules')],
  });
  return outfile;
}

/**
 * Bundles a script with all of its imports.
 *
 * @returns the path of the bundled script
 */
export async function bundleScript(entry: string, name: string): Promise<string> {
  mkdirSync(WORK_FOLDER, { recursive: true });
  const outfile = join(WORK_FOLDER, `${name}.mjs`);
  await build({ ...BUILD_OPTIONS, entryPoints: [entry], outfile });
  return outfile;
}

/**
 * Finds the script that runs one measurement in a checkout. A library is measured by the runner of its own
 * revision, because the names of messages differ between revisions.
 *
 * @throws InvalidInputError if the revision has no such runner
 */
export function runnerOf(root: string, script: string): string {
  const path = RUNNER_FOLDERS.map((folder) => join(root, folder, script)).find(existsSync);
  if (path === undefined)
    throw new InvalidInputError(
      `no ${script} in ${RUNNER_FOLDERS.join(' or ')} of ${root}: choose a base revision that has this runner`,
    );
  return path;
}

/**
 * Extracts the sources of an earlier revision into a separate folder.
 *
 * @returns the path of the folder
 */
export function checkout(revision: string): string {
  const folder = join(WORK_FOLDER, `base-${revision.slice(0, 12)}`);
  mkdirSync(folder, { recursive: true });
  const archive = execFileSync('git', ['archive', revision, ...CHECKED_OUT], {
    maxBuffer: ARCHIVE_MAX_BYTES,
  });
  execFileSync('tar', ['-x', '-C', folder], { input: archive });
  return folder;
}
