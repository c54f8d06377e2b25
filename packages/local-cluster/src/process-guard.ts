// Ends the processes that were started when their parent is gone, however it ended: a small process of its
// own reads the process groups to end from a pipe, and kills those that are left when the pipe is closed.
import { type ChildProcess, spawn } from 'node:child_process';

const WATCHER_PROGRAM = `
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

/** Kills the process groups that were added when this process ends or `close` is called. */
export class ProcessGuard {
  private readonly watcher: ChildProcess;

  constructor() {
    this.watcher = spawn(process.execPath, ['-e', WATCHER_PROGRAM], {
      detached: true,
      stdio: ['pipe', 'ignore', 'ignore'],
    });
    this.watcher.stdin!.on('error', () => {});
    this.watcher.unref();
    (this.watcher.stdin as unknown as { unref(): void }).unref();
  }

  /** `child` leads a process group of its own (`detached`); it is guarded until it ends. */
  add(child: ChildProcess): void {
    const { pid } = child;
    if (pid === undefined) return;
    this.watcher.stdin!.write(`+${pid}\n`);
    child.once('exit', () => {
      // What the child itself has started goes with it.
      endGroup(pid);
      this.watcher.stdin!.write(`-${pid}\n`);
    });
  }

  /** Ends what is left, and the guard itself. */
  close(): void {
    this.watcher.stdin!.end();
  }
}

/** Sends a signal to a process group, by the id of its leader; nothing happens if it has ended. */
export function endGroup(pid: number, signal: NodeJS.Signals = 'SIGKILL'): void {
  try {
    process.kill(-pid, signal);
  } catch {
    // It has ended by itself.
  }
}
