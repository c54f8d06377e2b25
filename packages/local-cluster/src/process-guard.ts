// Ends what the lab has started when the lab itself is gone, however it went: a small process of its own that reads the
// process groups to end from a pipe, and ends those that are left when the pipe is closed.
import { type ChildProcess, spawn } from 'node:child_process';

const WATCH = `
const left = new Set();
let text = '';
process.stdin.on('data', (d) => {
  text += d;
  const lines = text.split('\\n');
  text = lines.pop();
  for (const l of lines) l[0] === '+' ? left.add(+l.slice(1)) : left.delete(+l.slice(1));
});
process.stdin.on('end', () => {
  for (const pid of left) try { process.kill(-pid, 'SIGKILL'); } catch {}
});
for (const s of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.on(s, () => {});
`;

export class ProcessGuard {
  private readonly watch: ChildProcess;

  constructor() {
    this.watch = spawn(process.execPath, ['-e', WATCH], {
      detached: true,
      stdio: ['pipe', 'ignore', 'ignore'],
    });
    this.watch.stdin!.on('error', () => {});
    this.watch.unref();
    (this.watch.stdin as unknown as { unref(): void }).unref();
  }

  /** A child that leads a group of its own (`detached`); it is watched until it ends. */
  add(child: ChildProcess): void {
    const { pid } = child;
    if (pid === undefined) return;
    this.watch.stdin!.write(`+${pid}\n`);
    child.once('exit', () => {
      // What the child itself has started goes with it.
      endGroup(pid);
      this.watch.stdin!.write(`-${pid}\n`);
    });
  }

  close(): void {
    this.watch.stdin!.end();
  }
}

export function endGroup(pid: number, signal: NodeJS.Signals = 'SIGKILL'): void {
  try {
    process.kill(-pid, signal);
  } catch {
    // It has ended by itself.
  }
}
