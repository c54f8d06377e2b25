// Checks the imports of all source files against the tables of allowed imports in docs/architecture.md.
import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { dirname, join, normalize } from 'node:path';
import { test } from 'node:test';

/** Reads the table whose first column is headed `heading`: each name, with the names that it may import. */
function allowedImports(markdown: string, heading: string): Map<string, Set<string>> {
  const lines = markdown.split('\n');
  const headingIndex = lines.findIndex((line) => line.startsWith(`| ${heading} |`));
  const allowed = new Map<string, Set<string>>();
  for (const line of lines.slice(headingIndex + 2)) {
    if (!line.startsWith('|')) break;
    const [name, , imported] = line.split('|').slice(1, -1);
    const names = imported!
      .split(',')
      .map((n) => n.trim())
      .filter((n) => n !== '');
    allowed.set(name!.trim(), new Set(names));
  }
  return allowed;
}

const sources = (dir: string): string[] =>
  readdirSync(dir, { recursive: true, encoding: 'utf8' })
    .filter((f) => f.endsWith('.ts') && !f.endsWith('.d.ts') && !f.includes('node_modules'))
    .map((f) => join(dir, f));

const imports = (file: string): string[] =>
  [...readFileSync(file, 'utf8').matchAll(/(?:from|import)\s*\(?'(\.[^']+)'/g)].map((m) =>
    normalize(join(dirname(file), m[1]!)),
  );

/** A cycle of the graph, as a path that begins and ends at the same node; null if there is none. */
function findCycle(graph: Map<string, string[]>): string[] | null {
  const state = new Map<string, 'visiting' | 'visited'>();
  const path: string[] = [];
  const visit = (node: string): string[] | null => {
    if (state.get(node) === 'visited') return null;
    if (state.get(node) === 'visiting') return [...path.slice(path.indexOf(node)), node];
    state.set(node, 'visiting');
    path.push(node);
    for (const next of graph.get(node) ?? []) {
      const cycle = visit(next);
      if (cycle !== null) return cycle;
    }
    path.pop();
    state.set(node, 'visited');
    return null;
  };
  for (const node of graph.keys()) {
    const cycle = visit(node);
    if (cycle !== null) return cycle;
  }
  return null;
}

const architectureDoc = readFileSync('docs/architecture.md', 'utf8');
const files = [...sources('src'), ...sources('packages').filter((f) => f.includes('/src/'))];
const graph = new Map(files.map((f) => [f, imports(f)]));

const moduleOf = (f: string): string | null => /^src\/core\/([a-z]+)\//.exec(f)?.[1] ?? null;
const folderOf = (f: string): string =>
  f.startsWith('packages/') ? 'packages' : f.split('/').slice(0, 2).join('/');

test('no file imports itself, directly or through other files', () => {
  assert.equal(findCycle(graph)?.join(' -> ') ?? null, null);
});

test('modules and folders import only what docs/architecture.md allows, and it lists all of them', () => {
  const modules = allowedImports(architectureDoc, 'module');
  const folders = allowedImports(architectureDoc, 'folder');
  const forbidden: string[] = [];
  for (const [file, targets] of graph) {
    for (const target of targets) {
      const [fromFolder, toFolder] = [folderOf(file), folderOf(target)];
      if (fromFolder !== toFolder && folders.get(fromFolder)?.has(toFolder) !== true)
        forbidden.push(`${file} imports ${target}`);
      const [fromModule, toModule] = [moduleOf(file), moduleOf(target)];
      if (
        fromModule !== null &&
        fromModule !== toModule &&
        target.startsWith('src/core/') &&
        (toModule === null || modules.get(fromModule)?.has(toModule) !== true)
      )
        forbidden.push(`${file} imports ${target}`);
    }
  }
  assert.deepEqual(forbidden, []);
  const usedModules = new Set(files.map(moduleOf).filter((name) => name !== null));
  assert.deepEqual([...usedModules].sort(), [...modules.keys()].sort());
  assert.deepEqual([...new Set(files.map(folderOf))].sort(), [...folders.keys()].sort());
  const moduleGraph = new Map([...modules].map(([name, allowed]) => [name, [...allowed]]));
  assert.equal(findCycle(moduleGraph)?.join(' -> ') ?? null, null);
});
