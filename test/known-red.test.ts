// Known reds: just what is listed is passed over, and a list that says too much or too little fails.
import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { failuresOf, parse } from '../scripts/known-red.ts';

const red = { name: 'red', passed: false };
const sound = { name: 'sound', passed: true };
const line = (t: string) => `${t} | a leader forgets | issue 35`;

describe('known reds', () => {
  it('a line names test, cause and issue; what does not, and a fourth one, is an error of one line', () => {
    const good = parse(`# known\n\n${line('red')}\n`);
    assert.deepEqual(good, {
      known: [{ test: 'red', cause: 'a leader forgets', issue: 'issue 35' }],
      errors: [],
    });
    for (const bad of [
      'red',
      'red | cause',
      'red | | issue 35',
      ' | cause | issue 35',
      'red | cause | soon',
    ]) {
      const { errors } = parse(bad);
      assert.equal(errors.length, 1, bad);
      assert.match(errors[0]!, /^KNOWN-RED.txt, line 1: not "test \| cause \| issue N": [^\n]*$/);
    }
    assert.deepEqual(parse(['a', 'b', 'c'].map(line).join('\n')).errors, []);
    assert.match(parse(['a', 'b', 'c', 'd'].map(line).join('\n')).errors.join(), /4 tests, at most 3/);
  });

  it('a run passes with just the listed failures, and says in a line each why it does not', () => {
    const { known } = parse(line('red'));
    assert.deepEqual(failuresOf(known, [red, sound]), []);
    assert.deepEqual(failuresOf([], [sound]), []);
    assert.match(failuresOf([], [red, sound]).join(), /^failed, and not a known red: red$/);
    assert.match(failuresOf(known, [sound]).join(), /no test has the name: red$/);
    assert.match(failuresOf(known, [red, { ...red }]).join(), /2 tests have the name: red$/);
    assert.match(failuresOf(known, [{ ...red, passed: true }]).join(), /passes, so its line is to go: red$/);
    assert.match(failuresOf([...known, ...known], [red]).join(), /listed twice/);
    assert.match(failuresOf([], []).join(), /no test was run/);
  });

  it('the runner tells the true counts, prints what it passes over, and exits by the list', async () => {
    const dir = mkdtempSync(join(tmpdir(), 'known-red-'));
    const unit = (known: string): Promise<{ code: number; out: string; err: string }> =>
      new Promise((done) => {
        const file = join(dir, `${known.length}.txt`);
        writeFileSync(file, known);
        const args = ['--import', 'tsx', 'scripts/unit.ts', '--known', file, 'test/fixtures/red/some.mjs'];
        // A test of tests: the inner runner is none of the outer one's children.
        const { NODE_TEST_CONTEXT: _, ...env } = process.env;
        execFile('node', args, { env }, (e, out, err) =>
          done({ code: e === null ? 0 : Number(e.code), out, err }),
        );
      });
    const [none, listed, twice] = await Promise.all([unit(''), unit(line('red')), unit(line('twin'))]);
    rmSync(dir, { recursive: true });
    assert.deepEqual([none.code, listed.code, twice.code], [1, 0, 1]);
    assert.equal(none.err, 'unit: failed, and not a known red: red\n');
    assert.match(listed.out, /known red, passed over: red \| a leader forgets \| issue 35/);
    assert.match(listed.out, /# tests 4\n(.*\n)*# pass 3\n# fail 1\n/);
    assert.match(twice.err, /2 tests have the name: twin/);
  });
});
