// Kills child processes when this process exits, also after a crash or SIGKILL: a small watcher process reads
// the ids of the process groups from a pipe, and kills the remaining groups when the pipe is closed.
import { type ChildProcess, spawn } from 'node:child_process';

/** Source of the watcher process: `+PID` adds a process group, `-PID` removes one. */
const WATCHER_SOURCE = `
const groups = new Set();
let text = '';
process.stdin.on('data', (data) => {
  text += data;
  const lines = text.split('\\n');
  text = lines.pop();
  for (const line of lines) {
    const pid = +line.slice(1);
    if (line[0] === '+') groups.add(pid);
    else groups.delete(pid);
  }
});
process.stdin.on('end', () => {
  for (const pid of groups) try { process.kill(-pid, 'SIGKILL'); } catch {}
});
for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.on(signal, () => {});
`;

/** Kills the process groups that were added, when this process exits or `close` is called. */
export class ProcessGuard {
  private readonly watcher: ChildProcess;

  constructor() {
    this.watcher = spawn(process.execPath, ['-e', WATCHER_SOURCE], {
      detached: true,
      stdio: ['pipe', 'ignore', 'ignore'],
    });
    this.watcher.stdin!.on('error', () => {});
    this.watcher.unref();
    (this.watcher.stdin as unknown as { unref(): void }).unref();
  }

  /** Guards a child until it exits; it must lead its own process group (`detached`). */
  add(child: ChildProcess): void {
    const { pid } = child;
    if (pid === undefined) return;
    this.watcher.stdin!.write(`+${pid}\n`);
    child.once('exit', () => {
      // Kills the remaining processes of the group, which the child has started.
      endGroup(pid);
      this.watcher.stdin!.write(`-${pid}\n`);
    });
  }

  /** Kills the remaining process groups, and ends the watcher process. */
  close(): void {
    this.watcher.stdin!.end();
  }
}

/** Sends a signal to the process group led by `pid`; does nothing if the group no longer exists. */
export function endGroup(pid: number, signal: NodeJS.Signals = 'SIGKILL'): void {
  try {
    process.kill(-pid, signal);
  } catch {
    // The group no longer exists.
  }
}
