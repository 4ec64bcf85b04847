import {readSettings} from '@amaranthsail/core';
import {expect} from 'chai';
import {ENTRY_SETTINGS} from '@amaranthsail/entry';

const valid = {
	'--store-address': '10.0.0.9:7300',
	'--region': 'sicily',
	'--failure-domain': 'catania',
	'--shared-secret': 'shared-secret',
	'--account-tokens': 'alpha=token-alpha',
	'--operator-tokens': 'olga=token-olga',
};

function problemsOf(change: Readonly<Record<string, string>>): readonly string[] {
	const argumentTexts = Object.entries({...valid, ...change}).map(([flag, value]) => `${flag}=${value}`);
	const outcome = readSettings('amaranthsail-entry', ENTRY_SETTINGS, argumentTexts, {});
	return outcome.ok ? [] : outcome.error.problems.map(problem => problem.setting.split(' ')[0]!);
}

describe('settings of the entry', () => {
	const cases: ReadonlyArray<{readonly name: string; readonly change: Readonly<Record<string, string>>; readonly expected: readonly string[]}> = [
		{name: 'valid settings', change: {}, expected: []},
		{
			name: 'wildcard addresses, which other processes cannot connect to',
			change: {'--listen-address': '0.0.0.0:7400', '--datagram-address': '0.0.0.0:7400'},
			expected: ['--listen-address', '--datagram-address'],
		},
		{name: 'a port that does not exist', change: {'--store-address': '10.0.0.9:70000'}, expected: ['--store-address']},
		{name: 'two accounts with one token', change: {'--account-tokens': 'alpha=token-alpha,beta=token-alpha'}, expected: ['--account-tokens']},
		{name: 'an unknown log level', change: {'--log-level': 'loud'}, expected: ['--log-level']},
	];
	for (const {name, change, expected} of cases) {
		// Guards against starting with invalid settings.
		it(`answer ${JSON.stringify(expected)} to ${name}`, () => {
			expect(problemsOf(change)).to.deep.equal(expected);
		});
	}
});
