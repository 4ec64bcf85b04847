import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {countJsonValues} from '@amaranthsail/pool-runtime';

describe('countJsonValues', () => {
	const cases: ReadonlyArray<readonly [string, number]> = [
		['{"a":1,"b":[2,3]}', 4],
		[String.raw`"[,{\",[\\"`, 0],
		['[{},{}]', 4],
	];
	for (const [text, count] of cases) {
		// A text that is split within a string or an escape must not be counted as structure.
		it(`counts ${text} in parts of any size`, () => {
			for (let size = 1; size <= text.length; size++) {
				const parts = Array.from({length: Math.ceil(text.length / size)}, (_, number) => Buffer.from(text.slice(number * size, (number + 1) * size)));
				expect(countJsonValues(parts)).to.equal(count);
			}
		});
	}
});
