// Generates the settings file of a controller in a local cluster, in the form that the platform writes.
import type { LocalClusterOptions } from './options.ts';

/** Name, zone and addresses of a controller. */
export interface NodeAddress {
  name: string;
  /** Its zone. */
  location: string;
  /** Address for users and workers. */
  addr: string;
  /** Address for the other controllers. */
  peer: string;
}

/** Addresses of the outside systems. */
export interface OutsideAddresses {
  /** The key-value store. */
  state: string;
  cloud: string;
}

/** Returns the text of the settings file of `node`. `sockets`: maximum number of connections it may open. */
export function settingsFile(
  options: LocalClusterOptions,
  node: NodeAddress,
  all: readonly NodeAddress[],
  outside: OutsideAddresses,
  sockets = 2000,
): string {
  const others = all.filter((other) => other.name !== node.name);
  const settings = {
    node: node.name,
    location: node.location,
    bind: node.addr,
    internal_addr: node.peer,
    others: others.map(({ name, location, peer }) => ({ node: name, location, peer_addr: peer })),
    outside,
    params: platformParameters(options, sockets),
  };
  return JSON.stringify(settings, null, 1);
}

function platformParameters(
  { lab, workers, state, cloud, teams }: LocalClusterOptions,
  sockets: number,
): object {
  return {
    zones: lab.zones,
    teams: Object.entries(teams).map(([name, quota]) => ({ name, ...quota })),
    objectives: [],
    workers,
    state: {
      rps: state.rps,
      write_rps: state.write_rps,
      value_kb: state.value_kb,
      txn_ops: state.txn_ops,
    },
    cloud: { rps: cloud.rps, list_lag_s: cloud.list_lag_s },
    limits: { sockets },
  };
}
