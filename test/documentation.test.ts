// Public parts are documented: every export of the sources has a doc comment, and every module begins with one on its job.
import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { describe, it } from 'node:test';

/** Folders in which everything is documented. A folder joins this list when it is whole, and never leaves it. */
const DOCUMENTED = ['src', 'packages/client/src', 'packages/local-cluster/src', 'scripts', 'test/support'];

const sources = (folder: string): string[] =>
  readdirSync(folder, { recursive: true, encoding: 'utf8' })
    .filter((file) => file.endsWith('.ts') && !file.endsWith('.d.ts') && !file.includes('generated'))
    .map((file) => join(folder, file));

/** A declaration that is exported where it stands; lists of re-exported names have their comments at the source. */
const EXPORTED =
  /^export (?:default )?(?:abstract |async |declare )*(?:class|const enum|const|enum|function\*?|interface|let|type(?! [{*])) /;

/** Lines that begin an export without a doc comment right before them, as `file:line`. */
function undocumented(file: string): string[] {
  const lines = readFileSync(file, 'utf8').split('\n');
  const missing: string[] = [];
  lines.forEach((line, index) => {
    if (!EXPORTED.test(line)) return;
    const before = lines[index - 1]?.trimEnd() ?? '';
    if (!before.endsWith('*/')) missing.push(`${file}:${index + 1} ${line}`);
  });
  return missing;
}

describe('documentation of the sources', () => {
  for (const folder of DOCUMENTED) {
    it(`has a doc comment for each export of ${folder}`, () => {
      assert.deepEqual(sources(folder).flatMap(undocumented), []);
    });

    it(`has a comment on its job at the top of each module of ${folder}`, () => {
      const bare = sources(folder).filter(
        (file) => !/^(#!.*\n)?\s*(\/\/|\/\*)/.test(readFileSync(file, 'utf8')),
      );
      assert.deepEqual(bare, []);
    });
  }
});
