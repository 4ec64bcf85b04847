import {expect} from 'chai';
import {scanDelayMs} from '@amaranthsail/owner';

describe('scanDelayMs', () => {
	const cases: ReadonlyArray<readonly [rowCount: number, delayMs: number]> = [[0, 2000], [200, 2000], [1430, 14_300], [10_000, 100_000]];
	for (const [rowCount, delayMs] of cases) {
		// Guards against scans that use up the read capacity of the store when many jobs are open.
		it(`waits ${delayMs} ms after a scan of ${rowCount} rows`, () => {
			expect(scanDelayMs(rowCount)).to.equal(delayMs);
		});
	}
});
