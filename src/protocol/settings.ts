// The platform's settings file (JSON), checked strictly in what is used; unknown fields are ignored.
import * as v from 'valibot';
import type { Settings, StoreLimits } from '../core/base/model.ts';
import type { NodeId, TeamName, ZoneName } from '../types/index.ts';

const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));
const name = v.pipe(v.string(), v.minLength(1));
const address = v.pipe(
  v.string(),
  v.regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'must look like 10.0.0.1:8080'),
);

const schema = v.object({
  node: name,
  location: name,
  bind: address,
  internal_addr: address,
  others: v.optional(
    v.array(v.object({ node: name, location: v.optional(v.string(), ''), peer_addr: address })),
    [],
  ),
  outside: v.object({ cloud: address, state: address }),
  params: v.object({
    zones: v.optional(v.array(name), []),
    teams: v.array(
      v.object({
        name,
        cpus: v.nullish(amount, 0),
        cpus_max: v.nullish(amount, 0),
        gpus: v.nullish(amount, 0),
        gpus_max: v.nullish(amount, 0),
      }),
    ),
    objectives: v.optional(
      v.array(
        v.object({
          kind: name,
          class: v.nullish(v.string()),
          within_s: v.nullish(amount),
          share: v.nullish(amount),
          times: v.nullish(amount),
        }),
      ),
      [],
    ),
    workers: v.object({
      report_s: positive,
      lease_s: positive,
      gang_wait_s: positive,
      gang_peer_s: positive,
      cancel_s: positive,
    }),
    state: v.object({
      rps: positive,
      write_rps: positive,
      value_kb: positive,
      txn_ops: v.pipe(positive, v.integer()),
      // Limits that come later, without notice.
      next: v.nullish(
        v.object({
          rps: v.nullish(positive),
          write_rps: v.nullish(positive),
          value_kb: v.nullish(positive),
          txn_ops: v.nullish(v.pipe(positive, v.integer())),
        }),
      ),
    }),
    cloud: v.object({ rps: positive, list_lag_s: amount }),
    limits: v.optional(v.object({ sockets: v.optional(positive, 1000), ram_mb: v.nullish(positive) }), {
      sockets: 1000,
    }),
  }),
});

type StateSettings = v.InferOutput<typeof schema>['params']['state'];

/** Nobody is told when the limits to come begin, so all that is written fits both from the start. */
function safeLimits(s: StateSettings): StoreLimits {
  const least = (now: number, next: number | null | undefined) => Math.min(now, next ?? now);
  return {
    requestsPerS: least(s.rps, s.next?.rps),
    writesPerS: least(s.write_rps, s.next?.write_rps),
    maxValueKb: least(s.value_kb, s.next?.value_kb),
    maxTransactionOps: least(s.txn_ops, s.next?.txn_ops),
  };
}

export class InvalidSettingsError extends Error {}

function issueLine(file: string, issue: v.BaseIssue<unknown>): string {
  const path = issue.path?.map((p) => String(p.key)).join('.') ?? '(whole file)';
  return `${file}: ${path}: ${issue.message}`;
}

export function parseSettings(file: string, text: string): Settings {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch (e) {
    throw new InvalidSettingsError(`${file}: not JSON: ${(e as Error).message}`);
  }
  const checked = v.safeParse(schema, json);
  if (!checked.success) throw new InvalidSettingsError(issueLine(file, checked.issues[0]));
  const s = checked.output;
  return {
    node: s.node as NodeId,
    zone: s.location as ZoneName,
    listen: s.bind,
    peerListen: s.internal_addr,
    peers: s.others.map((o) => ({ node: o.node as NodeId, zone: o.location as ZoneName, addr: o.peer_addr })),
    cloudAddr: s.outside.cloud,
    storeAddr: s.outside.state,
    zones: s.params.zones as ZoneName[],
    teams: s.params.teams.map((t) => ({
      name: t.name as TeamName,
      cpus: t.cpus,
      cpusMax: t.cpus_max,
      gpus: t.gpus,
      gpusMax: t.gpus_max,
    })),
    objectives: s.params.objectives.map((o) => ({
      kind: o.kind,
      class: o.class ?? null,
      withinS: o.within_s ?? null,
      share: o.share ?? null,
      times: o.times ?? null,
    })),
    workers: {
      heartbeatS: s.params.workers.report_s,
      leaseS: s.params.workers.lease_s,
      gangWaitS: s.params.workers.gang_wait_s,
      gangPeerS: s.params.workers.gang_peer_s,
      cancelS: s.params.workers.cancel_s,
    },
    store: safeLimits(s.params.state),
    currentWritesPerS: s.params.state.write_rps,
    cloud: { requestsPerS: s.params.cloud.rps, listLagS: s.params.cloud.list_lag_s },
    sockets: s.params.limits.sockets,
    ramMb: s.params.limits.ram_mb ?? null,
  };
}
