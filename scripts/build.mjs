// Bundles the program: a single file starts faster and uses less memory than a tree of modules.
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
  // Loaded only if an HCL file is given, because the parser is several megabytes large.
  external: ['./hcl-parser.js'],
});
// Commands for operators and users; the controller process does not load them.
for (const name of ['client-commands', 'config-command', 'local-cluster-command'])
  await build({
    ...common,
    banner,
    minifySyntax: true,
    minifyWhitespace: true,
    entryPoints: [`src/cli/${name}.ts`],
    outfile: `target/${name}.js`,
    // classic-level is a native module, which is loaded from node_modules and cannot be bundled.
    external: ['./hcl-parser.js', 'classic-level'],
  });
await build({ ...common, banner, entryPoints: ['src/cli/hcl-parser.js'], outfile: 'target/hcl-parser.js' });
