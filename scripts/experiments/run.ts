// npm run experiment -- NAME: long measurements, kept out of the tests. Each ends with one line of figures
// and an exit code.
/** What each experiment is about, by name. */
const EXPERIMENTS: Record<string, string> = {
  client: 'one outcome a job, with script, controllers and machines killed in a local cluster',
  'submission-load': 'submissions to a local cluster in open loop, and the memory of the client',
  fleet:
    'days of a whole fleet on a simulated clock: who is served, waits, fairness, work lost; beside another version',
  'concurrent-faults': 'histories of two faults at once in a simulated world, checked against the rules',
  scale: 'real controllers and thousands of simulated workers: slopes, faults, and what each role costs',
  hotpath: 'processor time of the core by input, against an earlier version',
};
/** Names of earlier versions, which go on working. */
const ALIASES: Record<string, string> = { load: 'submission-load', meetings: 'concurrent-faults' };

const [asked, ...rest] = process.argv.slice(2);
const name = asked === undefined ? undefined : (ALIASES[asked] ?? asked);
if (name === undefined || EXPERIMENTS[name] === undefined) {
  for (const [listed, about] of Object.entries(EXPERIMENTS))
    process.stderr.write(`experiment ${listed}: ${about}\n`);
  process.exit(2);
}
// The experiment's own parser sees only what follows its name.
process.argv = [process.argv[0]!, name, ...rest];
await import(new URL(`${name}.ts`, import.meta.url).href);
