// Plays the users' bench against the levels in scripts/levels.json; see CONTRIBUTING.md for when to run what.
import { spawn } from 'node:child_process';
import { existsSync, readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { Command } from 'commander';
import {
  type Finding,
  fixedFall,
  judge,
  type Level,
  type Levels,
  NOISE,
  type PlayedDay,
  type PlayedSite,
} from './regression-levels.ts';
import { entries, judgeRow, playAll } from './scenarios.ts';

const LEVELS = 'scripts/levels.json';
const BENCH = 'more/hunt/bin/fleetbench';
const JOURNAL = 'journal';

interface Entry {
  cmd: string;
  site: string | null;
  score: number | null;
  error: string | null;
  why?: string;
  days?: PlayedDay[];
}

interface Options {
  kit: string;
  full?: boolean;
  hunt?: string;
  site?: string[];
  why: string;
  set?: boolean;
  dir: string;
  base?: string;
  served: boolean;
}

/** Runs the bench and returns the journal entries that it left; they are its only output that is read. */
async function play(kit: string, args: string[], why: string): Promise<(PlayedSite & { cmd: string })[]> {
  const before = new Set(readdirSync(JOURNAL));
  await new Promise<void>((done, failed) => {
    const child = spawn(join(kit, BENCH), [...args, '--why', why], {
      stdio: ['ignore', 'ignore', 'inherit'],
    });
    child.on('error', failed);
    child.on('close', () => done());
  });
  const fresh = readdirSync(JOURNAL).filter((f) => f.endsWith('.json') && !before.has(f));
  return fresh
    .map((f) => JSON.parse(readFileSync(join(JOURNAL, f), 'utf8')) as Entry)
    .filter((e) => e.why === why)
    .map((e) => ({ cmd: e.cmd, site: e.site ?? '?', score: e.score, error: e.error, days: e.days ?? [] }));
}

/** The fixed plays of a site, one after the other: each uses most of the machine by itself. */
async function playFixed(kit: string, l: Level, why: string): Promise<PlayedDay[]> {
  const out: PlayedDay[] = [];
  for (const f of l.fixed) {
    const args = ['run', join(kit, l.file), f.day, '--seed', String(f.seed), '--no-cpu'];
    const played = await play(kit, args, `${why}: ${f.day} seed ${f.seed}, no processor time`);
    const d = played[0]?.days[0];
    if (d !== undefined) out.push({ ...d, name: f.day, seed: f.seed });
  }
  return out;
}

function tell(p: PlayedSite, level: number | null): void {
  const days = p.days.map((d) => `${d.name} ${d.score?.toFixed(3) ?? 'none'}`).join(', ');
  const against = level === null ? '' : ` (level ${level.toFixed(3)})`;
  process.stdout.write(`${p.site}: ${p.score?.toFixed(3) ?? 'no score'}${against}: ${days}\n`);
}

/** The fleet's days over several seeds: who is served least, and with `--base` whether a mean has fallen. */
async function served(o: Options, files: string[]): Promise<string[]> {
  const chosen = entries().filter((e) => e.regress === true && files.includes(e.site));
  const setting = {
    kit: o.kit,
    dir: resolve(o.dir),
    seeds: [31, 32, 33],
    jobs: 4,
    base: o.base ?? null,
    why: `${o.why}: served`,
  };
  const rows = await playAll(chosen, setting, (l) => process.stdout.write(`${l}\n`));
  return rows.flatMap(judgeRow);
}

async function main(o: Options): Promise<void> {
  if (!existsSync(join(o.kit, BENCH))) {
    process.stderr.write(
      `regress: the users' kit is not at ${o.kit} (looked for ${BENCH} in it). It is not part of this repository; ` +
        'name its folder with --kit. Nothing was played.\n',
    );
    process.exitCode = 2;
    return;
  }
  const levels = JSON.parse(readFileSync(LEVELS, 'utf8')) as Levels;
  const chosen = Object.keys(levels).filter((s) => o.site === undefined || o.site.includes(s));
  const mode = o.full ? 'full' : 'quick';
  const files = chosen.map((s) => join(o.kit, levels[s]!.file));
  const findings: Finding[] = [];
  for (const p of await play(o.kit, ['score', ...files, ...(o.full ? [] : ['--quick'])], o.why)) {
    const level = levels[p.site]?.[mode] ?? null;
    tell(p, level);
    findings.push(...judge(p, level));
    if (o.set && levels[p.site] !== undefined) levels[p.site]![mode] = p.score;
  }
  if (o.hunt !== undefined)
    for (const f of files)
      for (const p of await play(o.kit, ['hunt', f, '--days', o.hunt], `${o.why}: hunt`)) {
        tell(p, null);
        findings.push(...judge(p, null));
      }
  if (o.set) {
    for (const s of chosen) {
      const played = await playFixed(o.kit, levels[s]!, o.why);
      for (const f of levels[s]!.fixed)
        f.score = played.find((d) => d.name === f.day && d.seed === f.seed)?.score ?? null;
    }
    writeFileSync(LEVELS, `${JSON.stringify(levels, null, 2)}\n`);
  }
  const bad: string[] = [];
  for (const f of findings) {
    if (f.kind === 'broken') bad.push(`${f.site}: ${f.text}`);
    else if (!o.set) {
      const fall = fixedFall(levels[f.site]!, await playFixed(o.kit, levels[f.site]!, o.why));
      const on = fall === null ? 'no fixed plays on file' : `fixed plays lower by ${fall.toFixed(3)}`;
      const line = `${f.site}: ${f.score.toFixed(3)} against ${f.level.toFixed(3)}, ${on}`;
      if (fall === null || fall > NOISE) bad.push(line);
      else process.stdout.write(`${line}: noise\n`);
    }
  }
  if (o.served)
    bad.push(
      ...(await served(
        o,
        chosen.map((s) => levels[s]!.file),
      )),
    );
  for (const b of bad) process.stdout.write(`FAILED ${b}\n`);
  process.stdout.write(`regress: mode=${mode} sites=${chosen.length} failures=${bad.length}\n`);
  if (bad.length > 0) process.exitCode = 1;
}

const program = new Command('regress')
  .description("play the users' bench and compare with the levels in scripts/levels.json")
  .option('--kit <dir>', "folder of the users' kit", '../given/kit')
  .option('--full', 'all standard days instead of the two roughest')
  .option('--hunt <days>', 'also hunt for broken rules on so many days a site')
  .option('--site <names...>', 'only these sites')
  .option('--why <text>', 'what was tried and is expected, for the journal', 'regression')
  .option('--no-served', "leave out the fleet's days that tell who is served least")
  .option('--base <revision>', 'revision to pair those days with')
  .option('--dir <dir>', 'where their reports go: outside the repository, not below /tmp', '../plays')
  .option('--set', 'keep what is played as the new levels; a commit of its own says why')
  .action(main);
await program.parseAsync();
