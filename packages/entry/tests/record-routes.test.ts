import {expect} from 'chai';
import {FaultPlan, MemoryTableStore} from '@amaranthsail/backing-services';
import {ManualClock} from '@amaranthsail/core';
import {ConfigStore} from '@amaranthsail/records';
import {RecordRoutes} from '@amaranthsail/entry/record-routes.js';

const RECORD = {
	kind: 'ClientAccount', name: 'assets', schemaVersion: 1, spec: {weight: 2},
};

describe('RecordRoutes', () => {
	const cases: ReadonlyArray<{readonly title: string; readonly record: unknown; readonly fault: 'none' | 'unavailable'; readonly changes: number}> = [
		{title: 'announces an accepted change', record: RECORD, fault: 'none', changes: 1},
		{title: 'does not announce a refused change', record: {...RECORD, spec: {weight: -1}}, fault: 'none', changes: 0},
		{title: 'does not announce a change that the store did not take', record: RECORD, fault: 'unavailable', changes: 0},
	];
	for (const {title, record, fault, changes} of cases) {
		it(title, async () => {
			let announced = 0;
			const plan = new FaultPlan();
			const store = new ConfigStore({
				store: new MemoryTableStore(plan), clock: new ManualClock(), checkGuarantees: () => undefined, wait: async () => undefined, random: () => 0,
			});
			plan.use(() => ({kind: fault}));
			const route = new RecordRoutes(store, () => {
				announced++;
			}).routes.find(({method}) => method === 'PUT')!;
			const result = await route.handle({
				identity: {role: 'operator', name: 'ada'}, parameters: {kind: 'ClientAccount', name: 'assets'}, query: {}, headers: {}, body: {record},
			});
			expect(result.ok).to.equal(changes > 0);
			expect(announced).to.equal(changes);
		});
	}
});
