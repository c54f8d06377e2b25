// Topological sort of the jobs of a pipeline: each job comes after its dependencies.
import { InvalidRequestError } from './types.ts';

/** `visiting`: on the current path, its dependencies are not all ordered yet. */
type VisitState = 'visiting' | 'ordered';

/** A job on the current path of the search, and the index of its next dependency to visit. */
interface PathStep {
  readonly name: string;
  nextDependency: number;
}

/**
 * Returns the names in topological order. Throws InvalidRequestError for a dependency that is not among the
 * names and for a cycle; the message lists the names on the cycle.
 */
export function topologicalOrder(dependenciesByName: ReadonlyMap<string, readonly string[]>): string[] {
  const sort = new TopologicalSort(dependenciesByName);
  for (const name of dependenciesByName.keys()) sort.visit(name);
  return sort.order;
}

/** Depth-first search, iterative so that long dependency chains do not overflow the call stack. */
class TopologicalSort {
  readonly order: string[] = [];
  private readonly visitStates = new Map<string, VisitState>();
  private readonly path: PathStep[] = [];

  constructor(private readonly dependenciesByName: ReadonlyMap<string, readonly string[]>) {}

  /** Appends a job, after its direct and indirect dependencies, to the order. */
  visit(name: string): void {
    this.enter(name);
    while (this.path.length > 0) this.followNextDependency(this.path.at(-1)!);
  }

  private followNextDependency(step: PathStep): void {
    const dependencies = this.dependenciesByName.get(step.name)!;
    if (step.nextDependency >= dependencies.length) {
      this.visitStates.set(step.name, 'ordered');
      this.order.push(step.name);
      this.path.pop();
      return;
    }
    const dependency = dependencies[step.nextDependency++]!;
    if (!this.dependenciesByName.has(dependency))
      throw new InvalidRequestError(`${step.name} awaits ${dependency}, which is not in the pipeline`);
    this.enter(dependency);
  }

  private enter(name: string): void {
    const state = this.visitStates.get(name);
    if (state === 'ordered') return;
    if (state === 'visiting') throw this.cycleError(name);
    this.visitStates.set(name, 'visiting');
    this.path.push({ name, nextDependency: 0 });
  }

  private cycleError(name: string): InvalidRequestError {
    const names = [...this.path.map((step) => step.name), name];
    const cycle = names.slice(names.indexOf(name));
    return new InvalidRequestError(`jobs await one another: ${cycle.join(' -> ')}`);
  }
}
