// Simulates the users of the hotpath load: they submit jobs of three kinds in wire format and poll their
// status.
import type { MachineEnvironment } from './hotpath-machines.ts';

/** The simulated surroundings of the users, the same as those of the machines. */
export type UserEnvironment = MachineEnvironment;

/** Fields of the wire format that are equal in all jobs. */
const COMMON = {
  urgency: 'normal',
  sizeGb: 2.5,
  berthkinds: null,
  yard: null,
  scatter: false,
  loaners: true,
  guessS: 40.0,
  snapshotS: 20.0,
  flushS: 2.0,
};
const ARRAY = {
  samePlace: false,
  dueS: 150.0,
  jobclass: 'many',
  shape: 'batch',
  pieces: 120,
  cores: 1.0,
  accelerators: 0.0,
  memoryGb: 2.4,
};
const GANG = {
  samePlace: true,
  dueS: null,
  jobclass: 'joint',
  shape: 'gang',
  pieces: 3,
  cores: 15.0,
  accelerators: 0.0,
  memoryGb: 51.0,
};
const GPU_ARRAY = {
  samePlace: false,
  dueS: null,
  jobclass: 'photo',
  shape: 'batch',
  pieces: 25,
  cores: 6.0,
  accelerators: 1.0,
  memoryGb: 48.0,
};
/** Kinds of jobs, submitted in rotation. */
const KINDS = [ARRAY, GANG, GPU_ARRAY];
const IMAGES = 12;
/**
 * Intervals of submissions and status requests per machine, so that utilization does not depend on the size.
 */
const SUBMIT_MS_PER_MACHINE = 1_200_000;
const POLL_MS_PER_MACHINE = 60_000;
/** One job is submitted at the start for this many machines. */
const MACHINES_PER_FIRST_JOB = 8;

/** Submits jobs and polls their status. */
export class LoadUsers {
  private submitted = 0;
  private readonly openJobs: string[] = [];

  constructor(private readonly environment: UserEnvironment) {}

  /** Starts the arrivals, at a rate proportional to the number of machines. */
  start(machines: number): void {
    for (let i = 0; i < machines / MACHINES_PER_FIRST_JOB; i++) this.submit();
    this.repeat(SUBMIT_MS_PER_MACHINE / machines, () => this.submit());
    this.repeat(POLL_MS_PER_MACHINE / machines, () => this.poll());
  }

  private repeat(intervalMs: number, action: () => void): void {
    const runAndReschedule = (): void => {
      action();
      this.environment.at(this.environment.now + intervalMs, runAndReschedule);
    };
    runAndReschedule();
  }

  private submit(): void {
    const { environment } = this;
    const n = ++this.submitted;
    const nameId = `run-${String(n).padStart(6, '0')}`;
    const body = {
      nameId,
      owner: n % 2 === 0 ? 'a' : 'b',
      bundle: `img-${n % IMAGES}`,
      ...COMMON,
      ...KINDS[n % KINDS.length]!,
    };
    const bytes = Buffer.from(JSON.stringify(body));
    const spec = environment.timer.timeCodec('submit', () =>
      environment.library.parseJob(environment.library.parseJson(bytes.toString('utf8'))),
    );
    const requestId = environment.newRequest(() => this.openJobs.push(nameId));
    environment.input({ kind: 'user', requestId, request: { op: 'submit', spec } }, 'submit');
  }

  private poll(): void {
    const { environment } = this;
    const id = this.openJobs[environment.random.below(this.openJobs.length)];
    if (id === undefined) return;
    const requestId = environment.newRequest(() => {});
    environment.input({ kind: 'user', requestId, request: { op: 'status', id: id as never } }, 'poll');
  }
}
