// Known failing tests: KNOWN-RED.txt lists tests that fail because of a known fault that is not fixed yet,
// one per line as `test | cause | issue N`. All tests run; listed tests may fail, and are printed.

/** The result of one test. */
export interface Outcome {
  name: string;
  passed: boolean;
}

/** A line of KNOWN-RED.txt. */
export interface KnownRed {
  test: string;
  cause: string;
  issue: string;
}

/** Maximum number of tests in KNOWN-RED.txt. */
export const MAX_KNOWN_REDS = 3;

/** The parsed KNOWN-RED.txt; `errors` has one line for each fault in the file. */
export interface KnownRedList {
  known: KnownRed[];
  errors: string[];
}

/** Parses the text of KNOWN-RED.txt. */
export function parseKnownReds(text: string): KnownRedList {
  const known: KnownRed[] = [];
  const errors: string[] = [];
  for (const [i, rawLine] of text.split('\n').entries()) {
    const line = rawLine.trim();
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

/** The reasons for which the run fails, one line each; empty if it passes. */
export function failuresOf(known: readonly KnownRed[], outcomes: readonly Outcome[]): string[] {
  const errors: string[] = [];
  const listed = new Set(known.map((red) => red.test));
  if (listed.size < known.length) errors.push('KNOWN-RED.txt: a test is listed twice');
  for (const test of listed) {
    const matches = outcomes.filter((outcome) => outcome.name === test);
    if (matches.length === 0) errors.push(`KNOWN-RED.txt: no test has the name: ${test}`);
    else if (matches.length > 1) errors.push(`KNOWN-RED.txt: ${matches.length} tests have the name: ${test}`);
    else if (matches[0]!.passed) errors.push(`KNOWN-RED.txt: passes, so its line is to go: ${test}`);
  }
  for (const { name, passed } of outcomes)
    if (!passed && !listed.has(name)) errors.push(`failed, and not a known red: ${name}`);
  if (outcomes.length === 0) errors.push('no test was run');
  return errors;
}

/** The line that a run prints for a known failing test. */
export const formatKnownRed = ({ test, cause, issue }: KnownRed): string =>
  `known red, passed over: ${test} | ${cause} | ${issue}`;
