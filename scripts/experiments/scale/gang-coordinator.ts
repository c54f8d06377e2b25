// Coordinates the members of gangs whose tasks are on machines of several host processes.
import type { FromHost } from './messages.ts';

type GangMessage = Extract<FromHost, { kind: 'gang' }>;

interface Gang {
  members: Set<string>;
  hasStarted: boolean;
}

/** Notifies the hosts when a gang starts, and when it loses a member after its start. */
export class GangCoordinator {
  /** Keys are made of the job and the attempt. */
  private readonly gangs = new Map<string, Gang>();

  constructor(
    /** How long after a loss the other members are notified. */
    private readonly lossDetectionMs: number,
    private readonly notifyHosts: (key: string, event: 'start' | 'fail') => void,
  ) {}

  /** Handles the message that a member has joined its gang or left it. */
  onMembershipChange({ key, task, tasks, event }: GangMessage): void {
    const gang = this.gangs.get(key) ?? { members: new Set<string>(), hasStarted: false };
    this.gangs.set(key, gang);
    if (event === 'left') return this.onMemberLeft(key, gang, task);
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
