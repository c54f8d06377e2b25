// Bundles the program: one file starts faster and holds less memory than a tree of modules.
import { build } from 'esbuild';

const common = { bundle: true, platform: 'node', target: 'node20', format: 'esm', legalComments: 'none' };
const banner = {
  js: "import{createRequire as swiftfordRequire}from'node:module';const require=swiftfordRequire(import.meta.url);",
};
await build({
  ...common,
  banner,
  minifySyntax: true,
  minifyWhitespace: true,
  entryPoints: ['src/cli/main.ts'],
  outfile: 'target/main.js',
  // Loaded only when an HCL file is given: the parser is several megabytes.
  external: ['./hcl-parser.js'],
});
// What operators and users run beside the controllers, which do not load it.
for (const name of ['client-commands', 'config-command', 'local-cluster-command'])
  await build({
    ...common,
    banner,
    minifySyntax: true,
    minifyWhitespace: true,
    entryPoints: [`src/cli/${name}.ts`],
    outfile: `target/${name}.js`,
    // A native module stays where it was installed.
    external: ['./hcl-parser.js', 'classic-level'],
  });
await build({ ...common, banner, entryPoints: ['src/cli/hcl-parser.js'], outfile: 'target/hcl-parser.js' });
