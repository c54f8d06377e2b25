// Jobs that await one another by name, in an order in which each comes after what it awaits.
import { InvalidRequestError } from './types.ts';

/** Names in order; throws BadRequest for an unknown name or a cycle, which it spells out. */
export function inOrder(awaits: ReadonlyMap<string, readonly string[]>): string[] {
  const order: string[] = [];
  const state = new Map<string, 'open' | 'placed'>();
  for (const start of awaits.keys()) {
    // Depth first without recursion: chains may be long.
    const path: { name: string; next: number }[] = [];
    const enter = (name: string): void => {
      if (state.get(name) === 'placed') return;
      if (state.get(name) === 'open') {
        const cycle = [...path.map((p) => p.name), name];
        throw new InvalidRequestError(
          `jobs await one another: ${cycle.slice(cycle.indexOf(name)).join(' -> ')}`,
        );
      }
      state.set(name, 'open');
      path.push({ name, next: 0 });
    };
    enter(start);
    while (path.length > 0) {
      const top = path.at(-1)!;
      const needs = awaits.get(top.name)!;
      if (top.next < needs.length) {
        const need = needs[top.next++]!;
        if (!awaits.has(need))
          throw new InvalidRequestError(`${top.name} awaits ${need}, which is not in the pipeline`);
        enter(need);
      } else {
        state.set(top.name, 'placed');
        order.push(top.name);
        path.pop();
      }
    }
  }
  return order;
}
