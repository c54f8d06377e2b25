// Brings the tasks of gangs together, which are on machines of several hosts.
import type { FromHost } from './messages.ts';

type GangMessage = Extract<FromHost, { kind: 'gang' }>;

interface Gang {
  members: Set<string>;
  hasStarted: boolean;
}

/** Tells hosts when a gang begins, and when it has lost a member after it began. */
export class GangCoordinator {
  /** By job and attempt. */
  private readonly gangs = new Map<string, Gang>();

  constructor(
    /** How long after a loss the other members notice it. */
    private readonly lossDetectionMs: number,
    private readonly notifyHosts: (key: string, what: 'start' | 'fail') => void,
  ) {}

  /** A member has joined its gang or left it. */
  onMembershipChange({ key, task, tasks, what }: GangMessage): void {
    const gang = this.gangs.get(key) ?? { members: new Set<string>(), hasStarted: false };
    this.gangs.set(key, gang);
    if (what === 'left') return this.onMemberLeft(key, gang, task);
    gang.members.add(task);
    if (gang.hasStarted || gang.members.size < tasks) return;
    gang.hasStarted = true;
    this.notifyHosts(key, 'start');
  }

  private onMemberLeft(key: string, gang: Gang, task: string): void {
    gang.members.delete(task);
    if (gang.members.size === 0) this.gangs.delete(key);
    if (!gang.hasStarted) return;
    gang.hasStarted = false;
    setTimeout(() => this.notifyHosts(key, 'fail'), this.lossDetectionMs);
  }
}
