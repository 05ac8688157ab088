/** Bundles savoryknotd into target/: a process that is restarted reads a few files in place of some hundreds. */
import { build } from 'esbuild'

/** Modules of the bundle may be CommonJS, which ask for the modules of Node.js by `require`. */
const REQUIRE = "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);"

await build({
  entryPoints: { savoryknotd: 'src/daemon/Main.ts' },
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  splitting: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  // Names stay, for stacks and the names of errors.
  minifyWhitespace: true,
  minifySyntax: true,
  banner: { js: REQUIRE },
  logLevel: 'warning'
})
