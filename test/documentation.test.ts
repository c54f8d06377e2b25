// Checks that every export of the sources has a doc comment, and that every module begins with a comment on
// its purpose.
import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { describe, it } from 'node:test';

/** The folders that are checked. A folder is added once all of it is documented, and is never removed. */
const DOCUMENTED = ['src', 'packages/client/src', 'packages/local-cluster/src', 'scripts', 'test/support'];

const sources = (folder: string): string[] =>
  readdirSync(folder, { recursive: true, encoding: 'utf8' })
    .filter((file) => file.endsWith('.ts') && !file.endsWith('.d.ts') && !file.includes('generated'))
    .map((file) => join(folder, file));

/**
 * Matches an exported declaration. Re-exported names are not matched: they are documented at their
 * declaration.
 */
const EXPORTED =
  /^export (?:default )?(?:abstract |async |declare )*(?:class|const enum|const|enum|function\*?|interface|let|type(?! [{*])) /;

/** Exported declarations without a doc comment on the line before, each as `file:line` and its text. */
function undocumented(file: string): string[] {
  const lines = readFileSync(file, 'utf8').split('\n');
  const missing: string[] = [];
  lines.forEach((line, index) => {
    if (!EXPORTED.test(line)) return;
    const previousLine = lines[index - 1]?.trimEnd() ?? '';
    if (!previousLine.endsWith('*/')) missing.push(`${file}:${index + 1} ${line}`);
  });
  return missing;
}

describe('documentation of the sources', () => {
  for (const folder of DOCUMENTED) {
    it(`has a doc comment for each export of ${folder}`, () => {
      assert.deepEqual(sources(folder).flatMap(undocumented), []);
    });

    it(`has a comment on its purpose at the top of each module of ${folder}`, () => {
      const uncommented = sources(folder).filter(
        (file) => !/^(#!.*\n)?\s*(\/\/|\/\*)/.test(readFileSync(file, 'utf8')),
      );
      assert.deepEqual(uncommented, []);
    });
  }
});
