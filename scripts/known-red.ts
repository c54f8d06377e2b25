// Tests that fail for a fault which is known and not mended yet: KNOWN-RED.txt names them, one line each,
// `test | cause | issue`. All tests run; just these are passed over, and printed.

/** What became of one test. */
export interface Outcome {
  name: string;
  passed: boolean;
}
export interface KnownRed {
  test: string;
  cause: string;
  issue: string;
}

export const MOST = 3;

/** The lines of the file, and what is wrong with them. */
export function parse(text: string): { known: KnownRed[]; errors: string[] } {
  const known: KnownRed[] = [];
  const errors: string[] = [];
  for (const [i, raw] of text.split('\n').entries()) {
    const line = raw.trim();
    if (line === '' || line.startsWith('#')) continue;
    const fields = line.split('|').map((f) => f.trim());
    const [test, cause, issue] = fields;
    if (fields.length !== 3 || !test || !cause || !/^issue \d+$/.test(issue ?? ''))
      errors.push(`KNOWN-RED.txt, line ${i + 1}: not "test | cause | issue N": ${line}`);
    else known.push({ test, cause, issue: issue! });
  }
  if (known.length > MOST) errors.push(`KNOWN-RED.txt: ${known.length} tests, at most ${MOST} may be listed`);
  return { known, errors };
}

/** Why the run fails, one line each; none if it passes. */
export function judge(known: readonly KnownRed[], outcomes: readonly Outcome[]): string[] {
  const errors: string[] = [];
  const listed = new Set(known.map((k) => k.test));
  if (listed.size < known.length) errors.push('KNOWN-RED.txt: a test is listed twice');
  for (const test of listed) {
    const found = outcomes.filter((o) => o.name === test);
    if (found.length === 0) errors.push(`KNOWN-RED.txt: no test has the name: ${test}`);
    else if (found.length > 1) errors.push(`KNOWN-RED.txt: ${found.length} tests have the name: ${test}`);
    else if (found[0]!.passed) errors.push(`KNOWN-RED.txt: passes, so its line is to go: ${test}`);
  }
  for (const o of outcomes)
    if (!o.passed && !listed.has(o.name)) errors.push(`failed, and not a known red: ${o.name}`);
  if (outcomes.length === 0) errors.push('no test was run');
  return errors;
}

export const printed = (k: KnownRed): string => `known red, passed over: ${k.test} | ${k.cause} | ${k.issue}`;
