// The library and the experiment runners of this revision, and of an earlier one, as modules to be loaded by
// a process.
import { execFileSync } from 'node:child_process';
import { existsSync, mkdirSync, readdirSync } from 'node:fs';
import { basename, dirname, join, resolve } from 'node:path';
import { build } from 'esbuild';
import { InvalidInputError } from '../errors.ts';

/** Where experiments put what they build and measure. */
export const WORK = 'target/drill';

/** Modules whose exports experiments use, by every name that they have had; a version has some of them. */
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
];
const LIBRARY_FOLDERS = ['src/core', 'src/http', 'src/protocol', 'src/runtime'];

/** What an experiment needs of an earlier revision: its sources, and its runners with what they import. */
const CHECKED_OUT = ['src', 'scripts', 'test', 'packages'];
/** Where runners stand now, and where they stood up to revision baf23d2. */
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
 * A folder may bear a module's name, and so may a job of the core: what the protocol has goes by its own
 * folder.
 */
function isLibraryModule(file: string): boolean {
  if (!file.endsWith('.ts') || !LIBRARY_MODULES.includes(basename(file, '.ts'))) return false;
  return basename(file) !== 'job.ts' || dirname(file).endsWith('protocol');
}

/**
 * Bundles the library of the checkout at `root`.
 *
 * @returns the path of the module, which exports what experiments use of the library
 */
export async function bundle(root: string, name: string): Promise<string> {
  const outfile = resolve(WORK, `${name}.mjs`);
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
 * Bundles a script with all that it imports.
 *
 * @returns the path of the bundled script
 */
export async function bundleScript(entry: string, name: string): Promise<string> {
  mkdirSync(WORK, { recursive: true });
  const outfile = join(WORK, `${name}.mjs`);
  await build({ ...BUILD_OPTIONS, entryPoints: [entry], outfile });
  return outfile;
}

/**
 * The script of a checkout that runs one measurement, in the folder where that revision has it. A library is
 * measured by the runner of its own revision, which knows the names of that revision's messages.
 *
 * @throws InvalidInputError if the revision has no such runner
 */
export function runnerOf(root: string, script: string): string {
  const path = RUNNER_FOLDERS.map((folder) => join(root, folder, script)).find(existsSync);
  if (path === undefined)
    throw new InvalidInputError(
      `no ${script} in ${root}: choose a base that has the runner of this experiment`,
    );
  return path;
}

/**
 * Writes the sources of an earlier revision to a folder of their own.
 *
 * @returns the path of the folder
 */
export function checkout(revision: string): string {
  const folder = join(WORK, `base-${revision.slice(0, 12)}`);
  mkdirSync(folder, { recursive: true });
  const archive = execFileSync('git', ['archive', revision, ...CHECKED_OUT], {
    maxBuffer: ARCHIVE_MAX_BYTES,
  });
  execFileSync('tar', ['-x', '-C', folder], { input: archive });
  return folder;
}
