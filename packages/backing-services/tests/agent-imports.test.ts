import {readFileSync} from 'node:fs';
import {expect} from 'chai';

/** Collects the packages and built-in modules that a built module imports, directly and through relative imports. */
function importsOf(url: URL, visitedUrls = new Set<string>()): readonly string[] {
	if (visitedUrls.has(url.href)) {
		return [];
	}

	visitedUrls.add(url.href);
	const names = [...readFileSync(url, 'utf8').matchAll(/(?:from|import) '(?<name>[^']+)'/gv)].map(({groups}) => groups!.name!);
	return names.flatMap(name => name.startsWith('.') ? importsOf(new URL(name, url), visitedUrls) : [name]);
}

describe('modules imported by the agent', () => {
	// Guards against a library in the agent, which has 32 MB: the index of core loads consola, and that of backing-services undici.
	for (const file of ['worker-runtime-client.js', 'node-http-object-store.js']) {
		it(`${file} imports only built-in modules and single modules of core`, () => {
			const names = importsOf(new URL(import.meta.resolve(`@amaranthsail/backing-services/${file}`)));
			expect(names).to.include('node:http');
			expect(names.filter(name => !name.startsWith('node:') && !name.startsWith('@amaranthsail/core/'))).to.deep.equal([]);
		});
	}
});
