// Generators of random fault histories for fast-check.
import fc from 'fast-check';
import { FAULT_PERIOD_S, type Fault, type History, type HistoryJob } from './history-model.ts';

const tenth = (min: number, max: number): fc.Arbitrary<number> =>
  fc.integer({ min: Math.round(min * 10), max: Math.round(max * 10) }).map((n) => n / 10);

const historyJob: fc.Arbitrary<HistoryJob> = fc.record({
  atS: tenth(0, 50),
  kind: fc.constantFrom('array', 'array', 'array', 'gang', 'service'),
  tasks: fc.integer({ min: 1, max: 4 }),
  runS: fc.constantFrom(2, 10, 30, 100, 100),
  limited: fc.boolean(),
  chained: fc.boolean(),
  cancelAtS: fc.option(tenth(5, 75), { freq: 3 }),
});

const who = fc.integer({ min: 0, max: 2 });
const count = fc.integer({ min: 1, max: 4 });
const hold = fc.boolean();
const share = fc.constantFrom(0.2, 0.5, 0.9);
const faultKind = fc.oneof(
  fc.record({ kind: fc.constant('crash' as const), who, backS: fc.constantFrom(0.1, 0.4, 3, 8) }),
  fc.record({ kind: fc.constant('crash-all' as const), backS: fc.constantFrom(0.1, 0.6, 4, 14) }),
  fc.record({ kind: fc.constant('freeze' as const), who }),
  fc.record({
    kind: fc.constant('refuse-leader' as const),
    hold,
    peers: fc.boolean(),
    side: fc.constant(false),
  }),
  fc.record({
    kind: fc.constant('refuse-leader' as const),
    hold,
    peers: fc.constant(true),
    side: fc.boolean(),
  }),
  fc.record({ kind: fc.constant('outage' as const) }),
  fc.record({ kind: fc.constant('slow' as const), ms: fc.constantFrom(300, 900, 1400) }),
  fc.record({ kind: fc.constant('late-writes' as const), share }),
  fc.record({ kind: fc.constant('late-reports' as const), share }),
  fc.record({ kind: fc.constant('deaf' as const), count }),
  fc.record({ kind: fc.constant('machine-cut' as const), count, hold }),
  fc.record({ kind: fc.constant('held-up' as const), count, ms: fc.constantFrom(1500, 3000, 3900, 6000) }),
  fc.record({ kind: fc.constant('held-up' as const), count, ms: fc.constantFrom(1500, 3000, 3900, 6000) }),
  fc.record({ kind: fc.constant('machine-hang' as const), count }),
  fc.record({ kind: fc.constant('machine-restart' as const), count }),
  fc.record({ kind: fc.constant('machine-die' as const), count }),
  fc.record({ kind: fc.constant('peers-cut' as const), who }),
  fc.record({ kind: fc.constant('cloud-down' as const) }),
  fc.record({ kind: fc.constant('answers-lost' as const), share }),
  fc.record({
    kind: fc.constant('kept-reports' as const),
    share,
    afterMs: fc.constantFrom(5, 100, 400, 2000, 9000),
  }),
  fc.record({ kind: fc.constant('mute' as const), count }),
  fc.record({
    kind: fc.constant('cancel-now' as const),
    count: fc.constantFrom(2, 20, 100),
    hangS: fc.constantFrom(0, 4, 9),
  }),
  fc.record({ kind: fc.constant('cancel-at-end' as const), share }),
  fc.record({ kind: fc.constant('close-looks' as const) }),
  fc.record({ kind: fc.constant('odd-requests' as const) }),
  fc.record({ kind: fc.constant('hand-over' as const), backS: fc.constantFrom(0.2, 0.6, 3) }),
  fc.record({ kind: fc.constant('zone-cut' as const), who, hold }),
  fc.record({ kind: fc.constant('stream' as const) }),
  fc.record({
    kind: fc.constant('quota' as const),
    afterS: tenth(0, 15),
    cpus: fc.constantFrom(2, 2, 4),
    stop: fc.boolean(),
  }),
);

/** A single fault of any kind. */
const singleFault: fc.Arbitrary<Fault[]> = fc
  .tuple(faultKind, tenth(4, 60), fc.oneof(tenth(0.5, 6), tenth(5, 30), tenth(20, 65)))
  .map(([kind, atS, forS]) => [{ ...kind, atS, forS: Math.min(forS, FAULT_PERIOD_S - atS) } as Fault]);

/**
 * A leader that the store refuses, mostly cut off from its peers too, followed by a store outage for all
 * nodes; in some histories the leader crashes or freezes between the two.
 */
const refusedLeader: fc.Arbitrary<Fault[]> = fc
  .record({
    atS: tenth(6, 25),
    gapS: fc.oneof(tenth(1, 8), tenth(3, 30)),
    forS: tenth(35, 60),
    hold,
    peers: fc.constantFrom(true, true, false),
    side: fc.constantFrom(true, true, false),
    cloud: fc.boolean(),
    between: fc.constantFrom(null, null, 'crash' as const, 'freeze' as const),
  })
  .map(({ atS, gapS, forS, hold, peers, side, cloud, between }) => {
    const faults: Fault[] = [
      { kind: 'refuse-leader', atS, forS: gapS + forS, hold, peers, side: side && peers },
      { kind: 'outage', atS: atS + gapS, forS: Math.min(forS, FAULT_PERIOD_S - atS - gapS) },
    ];
    // Without the cloud the next leader can't return machines whose heartbeats it does not receive.
    if (cloud) faults.push({ kind: 'cloud-down', atS, forS: gapS + forS });
    if (between === 'crash') faults.push({ kind: 'crash', who: 0, backS: 0.4, atS: atS + gapS / 2, forS: 1 });
    if (between === 'freeze') faults.push({ kind: 'freeze', who: 0, atS: atS + gapS / 2, forS: 10 });
    return faults;
  });

/** A leader crashes while busy machines can't receive messages from its successor or are cut off. */
const leaderEndsUnheard: fc.Arbitrary<Fault[]> = fc
  .record({
    atS: tenth(6, 40),
    count,
    forS: tenth(8, 40),
    backS: fc.constantFrom(0.1, 0.4, 5),
    cut: fc.boolean(),
    hold,
  })
  .map(({ atS, count, forS, backS, cut, hold }) => [
    cut ? { kind: 'machine-cut', atS, forS, count, hold } : { kind: 'deaf', atS, forS, count },
    { kind: 'crash', who: 0, backS, atS: atS + 2, forS: 1 },
  ]);

/**
 * Old heartbeats reach every controller just after a new leader starts, while current heartbeats of some
 * machines do not reach it.
 */
const keptHeartbeats: fc.Arbitrary<Fault[]> = fc
  .record({
    atS: tenth(8, 40),
    afterMs: fc.constantFrom(5, 100, 400, 2000),
    side: fc.boolean(),
    count,
  })
  .map(({ atS, afterMs, side, count }) => [
    { kind: 'kept-reports', share: 0.5, afterMs, atS: atS - 6, forS: 30 },
    { kind: 'machine-hang', atS: atS - 4, forS: 9, count: 1 },
    { kind: 'refuse-leader', atS, forS: 25, hold: false, peers: true, side },
    { kind: 'mute', atS: atS + 1, forS: 12, count },
  ]);

/** Draws histories. Those of a seed must not change, or behaviour digests are no longer comparable. */
export const historyArbitrary: fc.Arbitrary<History> = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  nodes: fc.constantFrom(2, 3, 3, 3, 5),
  bootS: fc.constantFrom(1, 2, 2, 6),
  jobs: fc.array(historyJob, { minLength: 1, maxLength: 7 }),
  troubles: fc
    .array(
      fc.oneof(
        { weight: 4, arbitrary: singleFault },
        { weight: 1, arbitrary: refusedLeader },
        { weight: 1, arbitrary: leaderEndsUnheard },
        { weight: 1, arbitrary: keptHeartbeats },
      ),
      {
        minLength: 1,
        maxLength: 5,
      },
    )
    .map((all) => all.flat()),
});

/** Unbiased sampling: fast-check's bias towards few and short faults would rarely make faults concurrent. */
export const SAMPLING = { noBias: true, endOnFailure: false } as const;
