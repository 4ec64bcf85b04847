import {ManualClock, silentLogger} from '@amaranthsail/core';
import {expect} from 'chai';
import {GuaranteeAlarmMonitor} from '@amaranthsail/entry/guarantee-alarm-monitor.js';

const alarm = {guarantee: 'blue', account: 'blue', message: 'rack-a is lost'};

describe('GuaranteeAlarmMonitor', () => {
	// Guards against a broken guarantee that is not reported, and against an alarm at each change of owner.
	it('raises an alarm once after 10 s and clears it when the guarantee can be kept again', () => {
		const clock = new ManualClock();
		const lines: string[] = [];
		const recordLine = (message: string): void => {
			lines.push(message);
		};

		const gauges: number[] = [];
		const monitor = new GuaranteeAlarmMonitor(clock, {...silentLogger, error: recordLine, info: recordLine}, {
			gauge(_name, value) {
				gauges.push(value);
			},
		});
		for (let second = 0; second <= 12; second++) {
			monitor.update([alarm]);
			clock.advance(1000);
		}

		expect(monitor.alarms).to.deep.equal([alarm]);
		monitor.update([]);
		expect(monitor.alarms).to.deep.equal([]);
		expect(lines).to.deep.equal(['a guarantee cannot be kept', 'a guarantee can be kept again']);
		expect(gauges).to.deep.equal([...Array.from({length: 10}, () => 0), 1, 1, 1, 0]);
	});
});
