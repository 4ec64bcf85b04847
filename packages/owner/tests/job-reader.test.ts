import {expect} from 'chai';
import {FaultPlan, MemoryTableStore, type FaultKind} from '@amaranthsail/backing-services';
import type {OwnerEvent} from '@amaranthsail/owner';
import {JobReader} from '@amaranthsail/owner/job-reader.js';

describe('JobReader', () => {
	const cases: ReadonlyArray<{readonly name: string; readonly fault: FaultKind; readonly operation: string}> = [
		{name: 'a read is outdated', fault: 'stale_read', operation: 'get'},
		{name: 'a read fails', fault: 'unavailable', operation: 'get'},
		{name: 'the index cannot be read', fault: 'unavailable', operation: 'scan'},
		{name: 'the confirmation is lost', fault: 'lost_after_effect', operation: 'transact'},
	];
	for (const {name, fault, operation} of cases) {
		// Guards against a takeover from an outdated row, which could hide a decided attempt.
		it(`passes on the current row when ${name}`, async () => {
			const faults = new FaultPlan();
			const tables = new MemoryTableStore(faults);
			const write = async (state: string, version: number): Promise<void> => {
				await tables.transact({
					writeId: state, conditions: [{table: 'jobs', key: 'job', version}], writes: [
						{table: 'jobs', key: 'job', value: {jobId: 'job', state}}, {table: 'open_jobs', key: 'catania/job', value: {jobId: 'job'}},
					],
				});
			};

			await write('waiting', 0);
			await write('decided', 1);
			let faultsLeft = 1;
			faults.use(call => {
				const isFaulty = call.operation === operation && faultsLeft > 0;
				faultsLeft -= Number(isFaulty);
				return {kind: isFaulty ? fault : 'none'};
			});
			const events: OwnerEvent[] = [];
			const reader = new JobReader({
				tables, failureDomain: 'catania', runStoreCall: async call => call(), onRow(event) {
					events.push(event);
				},
			});
			await reader.readOpenJobs(() => true);
			expect(faultsLeft).to.equal(0);
			expect(events).to.deep.equal([{kind: 'jobRow', row: {jobId: 'job', state: 'decided'}, version: 2}]);
		});
	}
});
