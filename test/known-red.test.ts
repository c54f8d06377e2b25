// Known failing tests: only the listed failures are tolerated, and a list with missing or extra tests fails.
import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { failuresOf, parseKnownReds } from '../scripts/known-red.ts';

const red = { name: 'red', passed: false };
const sound = { name: 'sound', passed: true };
const line = (t: string) => `${t} | a leader forgets | issue 35`;

interface RunnerExit {
  code: number;
  out: string;
  err: string;
}

/** Runs the test runner, and waits until it exits. */
function runUnit(args: string[]): Promise<RunnerExit> {
  // Without NODE_TEST_CONTEXT the inner runner does not report to the outer one as its child.
  const { NODE_TEST_CONTEXT: _, ...env } = process.env;
  return new Promise((resolve) =>
    execFile('node', ['--import', 'tsx', 'scripts/unit.ts', ...args], { env }, (error, out, err) =>
      resolve({ code: error === null ? 0 : Number(error.code), out, err }),
    ),
  );
}

describe('known reds', () => {
  it('a line has test, cause and issue; a malformed line and more than three tests are one-line errors', () => {
    const good = parseKnownReds(`# known\n\n${line('red')}\n`);
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
      const { errors } = parseKnownReds(bad);
      assert.equal(errors.length, 1, bad);
      assert.match(errors[0]!, /^KNOWN-RED.txt, line 1: not "test \| cause \| issue N": [^\n]*$/);
    }
    assert.deepEqual(parseKnownReds(['a', 'b', 'c'].map(line).join('\n')).errors, []);
    assert.match(
      parseKnownReds(['a', 'b', 'c', 'd'].map(line).join('\n')).errors.join(),
      /4 tests, at most 3/,
    );
  });

  it('a run passes if exactly the listed tests fail; otherwise it reports one line per reason', () => {
    const { known } = parseKnownReds(line('red'));
    assert.deepEqual(failuresOf(known, [red, sound]), []);
    assert.deepEqual(failuresOf([], [sound]), []);
    assert.match(failuresOf([], [red, sound]).join(), /^failed, and not a known red: red$/);
    assert.match(failuresOf(known, [sound]).join(), /no test has the name: red$/);
    assert.match(failuresOf(known, [red, { ...red }]).join(), /2 tests have the name: red$/);
    assert.match(failuresOf(known, [{ ...red, passed: true }]).join(), /passes, so its line is to go: red$/);
    assert.match(failuresOf([...known, ...known], [red]).join(), /listed twice/);
    assert.match(failuresOf([], []).join(), /no test was run/);
  });

  it('a file that does not end is killed and fails under its name, and the other files run', async () => {
    const limit = ['--file-limit', '3'];
    const files = ['test/fixtures/hanging/endless.mjs', 'test/fixtures/red/some.mjs'];
    const { code, out, err } = await runUnit([...limit, '--known', '/dev/null', ...files]);
    assert.equal(code, 1, err);
    assert.match(err, /failed, and not a known red: test\/fixtures\/hanging\/endless.mjs\n/);
    assert.match(out, /test timed out after 3000ms/);
    assert.match(err, /failed, and not a known red: red\n/);
  });

  it('the runner prints unchanged counts and the known failures, and sets the exit code by the list', async () => {
    const dir = mkdtempSync(join(tmpdir(), 'known-red-'));
    const unit = (known: string): Promise<RunnerExit> => {
      const file = join(dir, `${known.length}.txt`);
      writeFileSync(file, known);
      return runUnit(['--known', file, 'test/fixtures/red/some.mjs']);
    };
    const [none, listed, twice] = await Promise.all([unit(''), unit(line('red')), unit(line('twin'))]);
    rmSync(dir, { recursive: true });
    assert.deepEqual([none.code, listed.code, twice.code], [1, 0, 1]);
    assert.equal(none.err, 'unit: failed, and not a known red: red\n');
    assert.match(listed.out, /known red, passed over: red \| a leader forgets \| issue 35/);
    assert.match(listed.out, /# tests 4\n(.*\n)*# pass 3\n# fail 1\n/);
    assert.match(twice.err, /2 tests have the name: twin/);
  });
});
