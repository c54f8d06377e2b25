// Tests that fail for a fault which is known and not mended yet: KNOWN-RED.txt names them, one line each,
// `test | cause | issue`. All tests run; just these are passed over, and printed.

/** What became of one test. */
export interface Outcome {
  name: string;
  passed: boolean;
}

/** A line of the list. */
export interface KnownRed {
  test: string;
  cause: string;
  issue: string;
}

/** How many tests may be listed. */
export const MAX_KNOWN_REDS = 3;

/** The lines of the list, and what is wrong with them, one line each. */
export interface KnownRedList {
  known: KnownRed[];
  errors: string[];
}

/** Reads KNOWN-RED.txt. */
export function parse(text: string): KnownRedList {
  const known: KnownRed[] = [];
  const errors: string[] = [];
  for (const [i, raw] of text.split('\n').entries()) {
    const line = raw.trim();
    if (line === '' || line.startsWith('#')) continue;
    const fields = line.split('|').map((field) => field.trim());
    const [test, cause, issue] = fields;
    if (fields.length !== 3 || !test || !cause || !/^issue \d+$/.test(issue ?? ''))
      errors.push(`KNOWN-RED.txt, line ${i + 1}: not "test | cause | issue N": ${line}`);
    else known.push({ test, cause, issue: issue! });
  }
  if (known.length > MAX_KNOWN_REDS)
    errors.push(`KNOWN-RED.txt: ${known.length} tests, at most ${MAX_KNOWN_REDS} may be listed`);
  return { known, errors };
}

/** Why the run fails, one line each; none if it passes. */
export function failuresOf(known: readonly KnownRed[], outcomes: readonly Outcome[]): string[] {
  const errors: string[] = [];
  const listed = new Set(known.map((red) => red.test));
  if (listed.size < known.length) errors.push('KNOWN-RED.txt: a test is listed twice');
  for (const test of listed) {
    const found = outcomes.filter((outcome) => outcome.name === test);
    if (found.length === 0) errors.push(`KNOWN-RED.txt: no test has the name: ${test}`);
    else if (found.length > 1) errors.push(`KNOWN-RED.txt: ${found.length} tests have the name: ${test}`);
    else if (found[0]!.passed) errors.push(`KNOWN-RED.txt: passes, so its line is to go: ${test}`);
  }
  for (const { name, passed } of outcomes)
    if (!passed && !listed.has(name)) errors.push(`failed, and not a known red: ${name}`);
  if (outcomes.length === 0) errors.push('no test was run');
  return errors;
}

/** The line that a run prints of a test that it passes over. */
export const formatKnownRed = ({ test, cause, issue }: KnownRed): string =>
  `known red, passed over: ${test} | ${cause} | ${issue}`;
