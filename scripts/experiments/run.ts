// npm run experiment -- NAME: runs an experiment, that is, a measurement that takes too long for the tests.
// Each ends with one line of figures and an exit code.
/** Descriptions of the experiments, by name. */
const EXPERIMENTS: Record<string, string> = {
  client:
    'checks that each job gets one outcome while script, controllers and machines of a local cluster are killed',
  'submission-load': 'open-loop submissions to a local cluster, and the memory of the client',
  fleet:
    'days of a whole fleet on a simulated clock: jobs served, waits, fairness and lost work, against another version',
  'concurrent-faults': 'histories of concurrent faults in a simulated world, checked against the rules',
  scale:
    'real controllers and thousands of simulated workers: growth with size, faults, and the cost of each role',
  hotpath: 'processor time of the core per input, against an earlier version',
};
/** Former names of experiments, still accepted. */
const ALIASES: Record<string, string> = { load: 'submission-load', meetings: 'concurrent-faults' };

const [requestedName, ...experimentArgs] = process.argv.slice(2);
const name = requestedName === undefined ? undefined : (ALIASES[requestedName] ?? requestedName);
if (name === undefined || EXPERIMENTS[name] === undefined) {
  for (const [listedName, description] of Object.entries(EXPERIMENTS))
    process.stderr.write(`experiment ${listedName}: ${description}\n`);
  process.exit(2);
}
// The experiment's own argument parser gets only the arguments after its name.
process.argv = [process.argv[0]!, name, ...experimentArgs];
await import(new URL(`${name}.ts`, import.meta.url).href);
