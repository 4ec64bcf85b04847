import {expect} from 'chai';
import {
	ACCOUNT, FAILURE_DOMAIN, GUARANTEE_SPEC, GUARANTEE_V1, GUARANTEE_V2, POLICY, WORKER, documentOf,
} from './support/documents.js';
import {parseRecordDocuments, validateRecord} from '@amaranthsail/records';

const revaluation = {workClass: 'long', repeatable: true, shape: {accelerators: 8}, maxRunMs: 1};

// Guards against problems that are reported one at a time, and against messages without path or expectation.
const invalid: ReadonlyArray<readonly [string, unknown, ReadonlyArray<readonly [string, RegExp]>]> = [
	['a scalar', 7, [['', /expected an object with schemaVersion, kind, name, spec/v]]],
	['an unknown kind', {...ACCOUNT, kind: 'Account'}, [['kind', /unknown kind "Account"; expected one of .*ClientAccount/v]]],
	['an unknown version', {...ACCOUNT, schemaVersion: 3}, [['schemaVersion', /unknown version 3 of ClientAccount; expected one of 1/v]]],
	['a name with dots', {...ACCOUNT, name: 'a.b'}, [['name', /lower-case letters, digits or dashes/v]]],
	['an unknown envelope field', {...ACCOUNT, labels: {}}, [['labels', /unknown field/v]]],
	['a list as spec', {...ACCOUNT, spec: []}, [['spec', /expected an object/v]]],
	['several problems', documentOf('ClientAccount', 'X', {weight: '1', maxAccelerators: 0, colour: 'red'}), [
		['name', /expected/v], ['spec.weight', /expected number/v], ['spec.maxAccelerators', />=1/v], ['spec.colour', /unknown field/v],
	]],
	['a version 2 field in version 1', {...GUARANTEE_V2, schemaVersion: 1}, [
		['spec.adjacency', /unknown field; known from schemaVersion 2/v], ['spec.survivesRackLoss', /known from schemaVersion 2/v],
	]],
	['a wrong adjacency', documentOf('Guarantee', 'g', {...GUARANTEE_SPEC, adjacency: 'row'}, 2), [['spec.adjacency', /expected one of "worker"\|"rack"/v]]],
	['a worker without memory', documentOf('FailureDomain', 'd', {region: 'r', racks: {'rack-a': {workers: [{...WORKER, memoryMb: undefined}]}}}), [
		['spec.racks.rack-a.workers.0.memoryMb', /expected number/v],
	]],
	['a rack name with capitals', documentOf('FailureDomain', 'd', {region: 'r', racks: {A: {workers: [WORKER]}}}), [['spec.racks.A', /lower-case/v]]],
	['a service without operations', documentOf('Service', 's', {operations: {}}), [['spec.operations', /at least one operation/v]]],
	['an unknown nested field', documentOf('Service', 's', {operations: {revaluation: {...revaluation, retries: 1}}}), [
		['spec.operations.revaluation.retries', /^unknown field$/v],
	]],
	['weights that are all 0', documentOf('Policy', 'p', {
		ordering: 'balanced', weights: {
			completion: 0, fragmentation: 0, peak: 0, shortWork: 0,
		},
	}), [['spec.weights', /at least one weight above 0/v]]],
	['a share above 1', documentOf('Policy', 'p', {...POLICY.spec, lanes: {shortShare: 1.5}}), [['spec.lanes.shortShare', /<=1/v]]],
];

describe('validateRecord', () => {
	for (const document of [FAILURE_DOMAIN, ACCOUNT, GUARANTEE_V1, GUARANTEE_V2, POLICY, documentOf('Service', 's', {operations: {revaluation}})]) {
		it(`accepts ${document.kind} version ${document.schemaVersion} unchanged`, () => {
			expect(validateRecord(document)).to.deep.equal({ok: true, value: document});
		});
	}

	for (const [title, document, expected] of invalid) {
		it(`reports every problem of ${title}`, () => {
			const result = validateRecord(document);
			const problems = result.ok ? [] : result.error;
			expect(problems.map(({path}) => path)).to.have.members(expected.map(([path]) => path));
			for (const [path, expectation] of expected) {
				expect(problems.find(problem => problem.path === path)?.expectation).to.match(expectation);
			}
		});
	}
});

describe('parseRecordDocuments', () => {
	const account = 'schemaVersion: 1\nkind: ClientAccount\nname: assets\nspec: {weight: 2}\n';
	const files: ReadonlyArray<readonly [string, string, number]> = [
		['one YAML document', account, 1],
		['many YAML documents, an empty one and a comment', `# accounts\n---\n${account}---\n${account}---\n`, 2],
		['one JSON document', JSON.stringify(ACCOUNT), 1],
		['a JSON list', JSON.stringify([ACCOUNT, FAILURE_DOMAIN]), 2],
		['a file with only a comment', '# nothing\n', 0],
	];
	for (const [title, text, documentCount] of files) {
		it(`reads ${title}`, () => {
			const parsed = parseRecordDocuments(text, 'file');
			expect(parsed.ok && parsed.value).to.have.lengthOf(documentCount);
		});
	}

	it('reports file and position of every invalid document', () => {
		const parsed = parseRecordDocuments(`${account}---\nkind: [\n---\nkind: Policy\n`, 'policies.yaml');
		const invalidDocuments = parsed.ok ? [] : parsed.error;
		expect(invalidDocuments.map(({source, document}) => `${source}#${document}`)).to.deep.equal(['policies.yaml#2', 'policies.yaml#3']);
	});

	// Guards against a file whose aliases expand without bound.
	it('refuses aliases that expand exponentially', () => {
		const bomb = `a: &a [x, x]\n${[...'bcdefghijkl'].map((letter, index) => `${letter}: &${letter} [${Array.from({length: 9}, () => `*${'abcdefghijkl'[index]}`).join(', ')}]`).join('\n')}\n`;
		const parsed = parseRecordDocuments(bomb, 'file');
		expect(!parsed.ok && parsed.error[0]?.problems[0]?.expectation).to.match(/Excessive alias count/v);
	});
});
