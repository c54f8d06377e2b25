// Submissions at a node that cannot reach the owner: taken in durably by the node itself. The record is the same
// that the owner would write, under the same conditions, so only one of them is ever made; the owner finds it by
// watching the records (accepted-jobs-watch.ts), a later owner by reading them.
import type { Revision } from '../../types/index.ts';
import { retry } from '../base/answers.ts';
import { Budget } from '../base/budget.ts';
import type { Outbox } from '../base/io.ts';
import type { JobSpec, Put, Settings, StateReply, UserAnswer } from '../base/model.ts';
import { Rank } from '../base/statebudget.ts';
import type { Configuration } from '../configuration/configuration.ts';
import { checkDependencies } from '../jobs/dependency-check.ts';
import type { Catalogue } from '../machines/catalogue.ts';
import { CONFIG_NEWS, FINAL, OPEN } from '../record/keys.ts';
import type { Lookup } from '../record/lookup.ts';
import { recordPuts } from '../record/record.ts';
import { impossible } from './admission.ts';
import { spread } from './overload.ts';
import { TeamThrottle } from './team-throttle.ts';

/** Part of the region's write budget that one node may use for this. */
const SHARE = 0.15;
const WRITE_MS = 1500;
/** Of a node's budget so much is left to teams that ask for no more than their part. */
const KEPT = 0.3;

export class Intake {
  private readonly budget: Budget;
  private readonly nonceBase: string;
  private made = 0;
  private readonly throttle: TeamThrottle;
  private readonly kept: number;

  constructor(
    private readonly io: Outbox,
    private readonly settings: Settings,
    private readonly catalogue: Catalogue,
    private readonly lookup: Lookup,
    private readonly configuration: Configuration,
    /** A job was judged by a revision of the configuration that is no longer the newest. */
    private readonly onStale: () => void,
  ) {
    const rate = Math.max(1, settings.state.writeRps * SHARE);
    const burst = Math.max(2, rate);
    this.budget = new Budget(rate, burst);
    this.kept = burst * KEPT;
    this.throttle = new TeamThrottle(io);
    this.nonceBase = `${settings.node}.${io.random.below(2 ** 31)}`;
  }

  accept(spec: JobSpec, answer: (a: UserAnswer) => void): void {
    // What can never run is told by the owner, who knows whether the job was accepted before.
    const { catalogue } = this;
    if (
      !catalogue.known ||
      impossible(spec, catalogue.types, this.configuration.effective.teams) !== null ||
      this.record(spec) === null
    )
      return answer(retry('no controller can take this at the moment'));
    this.throttle.asked(spec.team);
    // The last part of the budget is for those who ask for no more than their part.
    const keep = this.throttle.mayNot(spec.team) ? this.kept : 0;
    if (!this.budget.take(this.io.now, 1, keep))
      return answer(
        retry('too many submissions at once', spread(this.io, this.throttle.afterS(spec.team, 2)), true),
      );
    if (spec.awaits === undefined) this.write(spec, answer);
    else
      checkDependencies(
        spec,
        () => null,
        this.lookup,
        answer,
        () => this.write(spec, answer),
      );
  }

  /** The record in one value; the owner alone makes larger ones, which others would have to gather. */
  private record(spec: JobSpec): Put[] | null {
    const writeId = `${this.nonceBase}.${++this.made}`;
    const record = { spec, acceptedAt: this.io.wall, cancelled: false, writeId, dependencyParts: 0 };
    const puts = recordPuts(record, this.settings.state);
    return puts?.length === 1 ? puts : null;
  }

  private write(spec: JobSpec, answer: (a: UserAnswer) => void): void {
    const conditions = [OPEN, FINAL].map((p) => ({ key: p + spec.id, revision: 0 as Revision }));
    // Judged by an older configuration than that on record, it is not taken in.
    conditions.push({ key: CONFIG_NEWS, revision: this.configuration.applied });
    this.io.state(
      { kind: 'commit', conditions, puts: this.record(spec)!, drops: [] },
      Rank.ask,
      (r) => this.onReply(spec, r, answer),
      WRITE_MS,
    );
  }

  private onReply(spec: JobSpec, r: StateReply, answer: (a: UserAnswer) => void): void {
    if (r.kind === 'committed') {
      this.io.log('info', 'job accepted without the owner', { job: spec.id });
      return answer({ kind: 'accepted', id: spec.id });
    }
    if (r.kind !== 'conflict') return answer(retry('the state service does not answer'));
    if (r.failed.includes(CONFIG_NEWS)) {
      this.onStale();
      return answer(retry('the configuration has changed and is being read'));
    }
    this.lookup.asKnown(spec.id, answer);
  }
}
