import {ManualClock, silentLogger} from '@amaranthsail/core';
import {expect} from 'chai';
import {AlarmWatch} from '@amaranthsail/entry/alarm-watch.js';

const alarm = {guarantee: 'blue', account: 'blue', message: 'rack-a is lost'};

describe('AlarmWatch', () => {
	// Guards against a broken promise that nobody hears of, and against an alarm at each change of owner.
	it('raises an alarm once after 10 s and ends it', () => {
		const clock = new ManualClock();
		const lines: string[] = [];
		const note = (message: string): void => {
			lines.push(message);
		};

		const gauges: number[] = [];
		const watch = new AlarmWatch(clock, {...silentLogger, error: note, info: note}, {
			gauge(_name, value) {
				gauges.push(value);
			},
		});
		for (let second = 0; second <= 12; second++) {
			watch.update([alarm]);
			clock.advance(1000);
		}

		expect(watch.alarms).to.deep.equal([alarm]);
		watch.update([]);
		expect(watch.alarms).to.deep.equal([]);
		expect(lines).to.deep.equal(['a guarantee cannot be kept', 'a guarantee can be kept again']);
		expect(gauges).to.deep.equal([...Array.from({length: 10}, () => 0), 1, 1, 1, 0]);
	});
});
