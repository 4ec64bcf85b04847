// Bundles each pool program into one file under target/, from the sources of the workspace packages.
import {readFileSync} from 'node:fs';
import {build} from 'esbuild';

const packageFolders = ['packages/core', 'packages/pool', 'packages/pool-runtime', 'packages/pool-agent', 'packages/pool-entry', 'platform'];
const alias = Object.fromEntries(packageFolders.map(folder => [
	JSON.parse(readFileSync(new URL(`../${folder}/package.json`, import.meta.url), 'utf8')).name,
	`./${folder}/src/index.ts`,
]));

await build({
	entryPoints: {
		'pool-entry': 'packages/pool-entry/src/bin.ts',
		'pool-agent': 'packages/pool-agent/src/bin.ts',
	},
	absWorkingDir: new URL('..', import.meta.url).pathname,
	alias,
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	outdir: 'target',
	outExtension: {'.js': '.mjs'},
	minify: true,
	// Bundled CommonJS libraries call require() for built-in modules, which ES modules lack.
	banner: {js: 'import {createRequire} from \'node:module\';const require = createRequire(import.meta.url);'},
});
