import {readFileSync} from 'node:fs';
import {expect} from 'chai';

/** Collects what a built module imports, itself and through its neighbours. */
function importsOf(url: URL, seen = new Set<string>()): readonly string[] {
	if (seen.has(url.href)) {
		return [];
	}

	seen.add(url.href);
	const names = [...readFileSync(url, 'utf8').matchAll(/(?:from|import) '(?<name>[^']+)'/gv)].map(({groups}) => groups!.name!);
	return names.flatMap(name => name.startsWith('.') ? importsOf(new URL(name, url), seen) : [name]);
}

describe('modules for the agent', () => {
	// Guards against a library in the agent, which has 32 MB: the index of core loads consola, the index of platform undici.
	for (const file of ['worker-runtime-client.js', 'node-http-object-store.js']) {
		it(`${file} imports only built-in modules and parts of core`, () => {
			const names = importsOf(new URL(import.meta.resolve(`@amaranthsail/backing-services/${file}`)));
			expect(names).to.include('node:http');
			expect(names.filter(name => !name.startsWith('node:') && !name.startsWith('@amaranthsail/core/'))).to.deep.equal([]);
		});
	}
});
