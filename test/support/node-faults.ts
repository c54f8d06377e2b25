// Injectors for faults of controllers and of their links to each other, to machines and to the store.
import { type FaultInjectors, type FaultTargets, NO_RECOVERY, recoverAll } from './fault-injection.ts';

/** A restart that takes less than this counts as `back-at-once`. */
const BACK_AT_ONCE_S = 1;
/** Time between the crashes of the first and the second leader in a `hand-over`. */
const HAND_OVER_MS = 6000;
/** Duration of a machine's lease, which ends if its zone is cut off for longer. */
const LEASE_S = 10;

/** Crashes a node and starts it again `backS` seconds later. */
function restartNode({ run }: FaultTargets, name: string, backS: number): void {
  const { world, met } = run;
  if (!world.nodes.has(name)) return;
  world.crash(name);
  world.after(backS * 1000, () => {
    if (world.nodes.has(name)) return;
    world.start(name);
    if (backS < BACK_AT_ONCE_S) met['back-at-once']++;
  });
}

/** Injectors by kind of fault. */
export const NODE_FAULTS: FaultInjectors<
  'crash' | 'crash-all' | 'freeze' | 'refuse-leader' | 'peers-cut' | 'hand-over' | 'zone-cut'
> = {
  crash: (targets, { who, backS }) => {
    restartNode(targets, targets.run.nodeByNumber(who), backS);
    return NO_RECOVERY;
  },

  'crash-all': (targets, { backS }) => {
    for (const name of targets.run.names) restartNode(targets, name, backS);
    return NO_RECOVERY;
  },

  freeze: ({ run }, { who }) => {
    const node = run.nodeByNumber(who);
    run.world.freeze(node);
    return () => run.world.thaw(node);
  },

  'refuse-leader': ({ run }, { hold, peers, side }) => {
    const { world, names } = run;
    const leader = run.nodeByNumber(0);
    const healPeers = peers ? run.isolate(leader, names, 'drop') : NO_RECOVERY;
    const healStore = hold
      ? run.isolate(leader, ['state'], 'hold')
      : () => void world.state.refusedNodes.delete(leader);
    if (!hold) world.state.refusedNodes.add(leader);
    const others = names.filter((name) => name !== leader);
    const machines = side
      ? [...world.workers.values()].filter((machine) => machine.up && machine.node === leader)
      : [];
    const healMachines = machines.map((machine) => run.isolate(machine.id, others, 'drop'));
    return recoverAll([...healMachines, healPeers, healStore]);
  },

  'peers-cut': ({ run }, { who }) => run.isolate(run.nodeByNumber(who), run.names, 'drop'),

  'hand-over': (targets, { backS }) => {
    const { run } = targets;
    const first = run.nodeByNumber(0);
    restartNode(targets, first, backS);
    run.world.after(HAND_OVER_MS, () => {
      const second = run.nodeByNumber(0);
      if (second !== first) run.met['there-and-back']++;
      restartNode(targets, second, backS);
    });
    return NO_RECOVERY;
  },

  'zone-cut': ({ run }, { who, hold, forS }) => {
    const { world, names, random, met } = run;
    const node = run.nodeByNumber(who);
    const zone = random.below(2) === 0 ? 'north' : 'south';
    const machines = [...world.workers.values()].filter((machine) => machine.zone === zone);
    const inside = new Set<string>([node, ...machines.map((machine) => machine.id)]);
    const outside = ['state', ...names, ...world.workers.keys()].filter((end) => !inside.has(end));
    const heals = [...inside].map((end) => run.isolate(end, outside, hold ? 'hold' : 'drop'));
    if (forS > LEASE_S && inside.size > 1) met['zone-away-for-a-lease']++;
    return recoverAll(heals);
  },
};
