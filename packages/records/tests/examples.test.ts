import {readdirSync, readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {expect} from 'chai';
import {checkGuarantees} from '@amaranthsail/scheduler';
import {createConfigStore, submitAll} from './support/documents.js';
import {FaultyTableStore} from './support/faulty-table-store.js';
import {parseRecordDocuments, RECORD_KINDS, type RecordDocument} from '@amaranthsail/records';

// Tests run from build/tests/records/tests.
const examples = new URL('../../../../examples/', import.meta.url);

function documentsOf(division: string): readonly RecordDocument[] {
	const directory = new URL(`${division}/`, examples);
	return readdirSync(directory).flatMap(name => {
		const parsed = parseRecordDocuments(readFileSync(fileURLToPath(new URL(name, directory)), 'utf8'), name);
		expect(parsed, JSON.stringify(parsed)).to.have.property('ok', true);
		return parsed.ok ? parsed.value : [];
	});
}

function sortByKind(documents: readonly RecordDocument[]): readonly RecordDocument[] {
	return documents.toSorted((left, right) => RECORD_KINDS.indexOf(left.kind) - RECORD_KINDS.indexOf(right.kind));
}

const divisions = [
	['register', ['catania', 'palermo', 'siracusa'], ['revaluation', 'depreciation-posting', 'disposal-reconciliation']],
	['cooperative', ['suva', 'nausori', 'lami'], ['photo-assessment', 'quote-batching', 'dispatch-matching']],
] as const;

// Guards against example files that no longer match the schemas or the design page.
describe('examples', () => {
	for (const [division, failureDomains, operations] of divisions) {
		it(`of the ${division} division are accepted and have its names and counts`, async () => {
			const config = createConfigStore(new FaultyTableStore(), checkGuarantees);
			await submitAll(config, sortByKind(documentsOf(division)));
			const listed = await config.list();
			const records = listed.ok ? listed.value.records : [];
			const specsOf = (kind: string): ReadonlyArray<Record<string, unknown>> => records.filter(record => record.kind === kind).map(record => record.spec);
			expect(records.filter(({kind}) => kind === 'FailureDomain').map(({name}) => name)).to.have.members([...failureDomains]);
			const workers = specsOf('FailureDomain').flatMap(({racks}) => Object.values(racks as Record<string, {workers: unknown[]}>)).map(rack => rack.workers.length);
			expect(Math.max(...workers)).to.equal(3);
			expect(workers.reduce((sum, count) => sum + count, 0)).to.equal(10);
			expect(specsOf('ClientAccount')).to.have.lengthOf(4);
			expect(specsOf('Service').flatMap(({operations: found}) => Object.keys(found as Record<string, unknown>))).to.have.members([...operations]);
		});
	}

	it('have a job for every operation', () => {
		const jobs = readdirSync(new URL('jobs/', examples)).map(name => JSON.parse(readFileSync(new URL(`jobs/${name}`, examples), 'utf8')) as {operation: string});
		expect([...new Set(jobs.map(({operation}) => operation))]).to.have.members(divisions.flatMap(division => [...division[2]]));
	});
});
