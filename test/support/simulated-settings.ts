// Settings and job descriptions of the simulated world, with defaults that a test overrides where it matters.
import type { JobSpec, Settings } from '../../src/core/base/model.ts';
import type { JobId, NodeId, TeamName, ZoneName } from '../../src/types/index.ts';

/** Names of the controllers of a world, unless a test names others. */
export const DEFAULT_NODE_NAMES: readonly string[] = ['node-0', 'node-1', 'node-2'];

/** Name of the one team whose CPU use is limited. */
export const LIMITED_TEAM = 'small';
/** CPU quota of the limited team. */
export const LIMITED_TEAM_CPUS = 6;

/** Settings of the controller `node` in a world with the controllers `names`. */
export const settings = (
  node: string,
  overrides: Partial<Settings> = {},
  names: readonly string[] = DEFAULT_NODE_NAMES,
): Settings => ({
  node: node as NodeId,
  zone: 'north' as ZoneName,
  listen: '10.0.0.1:80',
  peerListen: '10.0.0.1:81',
  peers: names
    .filter((name) => name !== node)
    .map((name) => ({ node: name as NodeId, zone: 'north' as ZoneName, addr: '10.0.0.2:81' })),
  cloudAddr: '10.0.0.9:1',
  storeAddr: '10.0.0.8:1',
  zones: ['north', 'south'] as ZoneName[],
  teams: [
    { name: 'open' as TeamName, cpus: 0, cpusMax: 0, gpus: 0, gpusMax: 0 },
    { name: LIMITED_TEAM as TeamName, cpus: 0, cpusMax: LIMITED_TEAM_CPUS, gpus: 0, gpusMax: 0 },
  ],
  objectives: [],
  workers: { heartbeatS: 1, leaseS: 10, gangWaitS: 30, gangPeerS: 4, cancelS: 40 },
  store: { requestsPerS: 200, writesPerS: 100, maxValueKb: 8, maxTransactionOps: 24 },
  currentWritesPerS: 100,
  cloud: { requestsPerS: 5, listLagS: 2 },
  sockets: 100,
  ramMb: null,
  ...overrides,
});

/** Describes a job of one task that fits every machine type of the world. */
export const job = (id: string, overrides: Partial<JobSpec> = {}): JobSpec => ({
  id: id as JobId,
  class: 'plain',
  team: 'open' as TeamName,
  kind: 'array',
  priority: 1,
  tasks: 1,
  cpus: 2,
  gpus: 0,
  memoryGb: 1,
  image: 'img',
  imageGb: 0,
  machineTypes: null,
  zone: null,
  oneZone: false,
  spread: false,
  spot: false,
  estimatedRunS: 5,
  checkpointIntervalS: 0,
  checkpointDurationS: 0,
  deadlineS: null,
  ...overrides,
});
