// The settings file of one controller of a lab, as the platform would write it.
import type { LocalClusterOptions } from './options.ts';

export interface NodeAddress {
  name: string;
  location: string;
  /** Where users and workers reach it. */
  addr: string;
  /** Where the other controllers reach it. */
  peer: string;
}

/** `outside`: addresses of the state service and the cloud. */
export function settingsFile(
  options: LocalClusterOptions,
  node: NodeAddress,
  all: readonly NodeAddress[],
  outside: { state: string; cloud: string },
  sockets = 2000,
): string {
  const { lab, workers, state, cloud, teams } = options;
  const others = all.filter((x) => x.name !== node.name);
  const settings = {
    node: node.name,
    location: node.location,
    bind: node.addr,
    internal_addr: node.peer,
    others: others.map((x) => ({ node: x.name, location: x.location, peer_addr: x.peer })),
    outside,
    params: {
      zones: lab.zones,
      teams: Object.entries(teams).map(([name, t]) => ({ name, ...t })),
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
    },
  };
  return JSON.stringify(settings, null, 1);
}
