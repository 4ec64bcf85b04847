import process from 'node:process';
import {expect} from 'chai';
import {ProcessMeter} from '@amaranthsail/bench/load/process-meter.js';

const BUSY_MS = 300;

describe('ProcessMeter', () => {
	// Guards against wrong units or fields of /proc, by comparison with what Node.js reports for the same process.
	it('agrees with the processor time and memory that Node.js reports', () => {
		const before = process.cpuUsage();
		const meter = new ProcessMeter(new Map([['self', process.pid]]));
		const untilMs = performance.now() + BUSY_MS;
		while (performance.now() < untilMs) {
			// Uses processor time.
		}

		const use = meter.end().self!;
		const {user, system} = process.cpuUsage(before);
		// Clock ticks of /proc are 10 ms long.
		expect(use.processorMs).to.be.closeTo((user + system) / 1000, 50);
		expect(use.processorPercent).to.be.within(1, 200);
		expect(use.residentMb).to.be.closeTo(process.memoryUsage.rss() / 1_048_576, 15);
		expect(use.privateMb).to.be.above(5).and.below(use.residentMb);
	});

	// Guards against zeros reported for a process that has ended.
	it('throws when a process does not exist', () => {
		expect(() => new ProcessMeter(new Map([['gone', 2 ** 30]]))).to.throw();
	});
});
