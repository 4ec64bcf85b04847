import {expect} from 'chai';
import {ManualClock} from '@amaranthsail/core';
import {chooseDeputies, type KnownEntry} from '@amaranthsail/pool-entry/deputies.js';
import {EntryDirectory} from '@amaranthsail/pool-entry/entry-directory.js';
import {TakeoverDelay} from '@amaranthsail/pool-entry/takeover-delay.js';

const LARGE_CORES = 1.35;
const SMALL_CORES = 0.324;

/** @returns Entries of five failure domains; every second one is on a large VM. */
function makeEntries(count: number): readonly KnownEntry[] {
	return Array.from({length: count}, (_, index) => ({
		address: `10.0.0.${index}:7000`, failureDomain: `d${index % 5}`, cores: index % 2 === 0 ? LARGE_CORES : SMALL_CORES,
	}));
}

describe('chooseDeputies', () => {
	const cases = [
		{title: 'chooses every entry of a small region', count: 2, expectedCount: 2},
		{title: 'chooses a fixed number of many entries', count: 34, expectedCount: 8},
	];
	for (const {title, count, expectedCount} of cases) {
		it(title, () => {
			expect(chooseDeputies(makeEntries(count)).size).to.equal(expectedCount);
		});
	}

	it('takes the largest entries, and covers every failure domain', () => {
		const entries = makeEntries(34);
		const deputies = chooseDeputies(entries);
		const chosen = entries.filter(entry => deputies.has(entry.address));
		expect(new Set(chosen.map(entry => entry.failureDomain)).size).to.equal(5);
		expect(chosen.every(entry => entry.cores === LARGE_CORES)).to.equal(true);
	});
});

describe('EntryDirectory', () => {
	it('does not choose an entry that has stopped calling', () => {
		const clock = new ManualClock(0);
		const [self, silent, calling] = makeEntries(3);
		const directory = new EntryDirectory(self!, clock);
		directory.recordCall(silent!);
		directory.recordCall(calling!);
		expect(directory.isDeputy(silent!.address)).to.equal(true);
		clock.advance(3000);
		directory.recordCall(calling!);
		expect(directory.isDeputy(calling!.address)).to.equal(true);
		expect(directory.isDeputy(silent!.address)).to.equal(false);
	});

	it('forgets an entry that nothing mentions any longer', () => {
		const clock = new ManualClock(0);
		const [self, left, present] = makeEntries(3);
		const directory = new EntryDirectory(self!, clock);
		directory.recordMentioned([left!.address, present!.address]);
		clock.advance(61_000);
		directory.recordMentioned([present!.address]);
		expect(directory.addresses).to.deep.equal([present!.address]);
	});
});

describe('TakeoverDelay', () => {
	const cases = [
		{title: 'a large VM beside small ones', cores: LARGE_CORES, largest: LARGE_CORES, isDelayed: false},
		{title: 'a small VM beside large ones', cores: SMALL_CORES, largest: LARGE_CORES, isDelayed: true},
		{title: 'a small VM in a region of small ones', cores: SMALL_CORES, largest: SMALL_CORES, isDelayed: false},
		{title: 'a VM of one core that knows no other', cores: 1, largest: undefined, isDelayed: false},
		{title: 'a small VM that knows no other', cores: SMALL_CORES, largest: undefined, isDelayed: true},
	];
	for (const {title, cores, largest, isDelayed} of cases) {
		it(`${isDelayed ? 'delays' : 'does not delay'} ${title}`, () => {
			const delay = new TakeoverDelay(cores);
			if (largest !== undefined) {
				delay.recordLargest(largest);
			}

			expect(delay.nextMs(0) > 0).to.equal(isDelayed);
			expect(delay.nextMs(1)).to.be.below(501);
		});
	}
});
