// Jobs that await one another by name, in an order in which each comes after what it awaits (a topological
// sort).
import { InvalidRequestError } from './types.ts';

type Visit = 'open' | 'ordered';

/** A job on the path that is being followed, and the next of its dependencies to follow. */
interface PathStep {
  readonly name: string;
  nextDependency: number;
}

/**
 * The names of `awaits` in order. Throws InvalidRequestError for an unknown name or a cycle, which it spells
 * out.
 */
export function inOrder(awaits: ReadonlyMap<string, readonly string[]>): string[] {
  const sort = new TopologicalSort(awaits);
  for (const name of awaits.keys()) sort.visit(name);
  return sort.order;
}

/** Depth-first search without recursion: chains may be long. */
class TopologicalSort {
  readonly order: string[] = [];
  private readonly visits = new Map<string, Visit>();
  private readonly path: PathStep[] = [];

  constructor(private readonly awaits: ReadonlyMap<string, readonly string[]>) {}

  /** Adds a job and all that it awaits to the order. */
  visit(name: string): void {
    this.enter(name);
    while (this.path.length > 0) this.advance(this.path.at(-1)!);
  }

  private advance(step: PathStep): void {
    const dependencies = this.awaits.get(step.name)!;
    if (step.nextDependency >= dependencies.length) {
      this.visits.set(step.name, 'ordered');
      this.order.push(step.name);
      this.path.pop();
      return;
    }
    const dependency = dependencies[step.nextDependency++]!;
    if (!this.awaits.has(dependency))
      throw new InvalidRequestError(`${step.name} awaits ${dependency}, which is not in the pipeline`);
    this.enter(dependency);
  }

  private enter(name: string): void {
    const visit = this.visits.get(name);
    if (visit === 'ordered') return;
    if (visit === 'open') throw this.cycleError(name);
    this.visits.set(name, 'open');
    this.path.push({ name, nextDependency: 0 });
  }

  private cycleError(name: string): InvalidRequestError {
    const names = [...this.path.map((step) => step.name), name];
    const cycle = names.slice(names.indexOf(name));
    return new InvalidRequestError(`jobs await one another: ${cycle.join(' -> ')}`);
  }
}
