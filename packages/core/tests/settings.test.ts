import {expect} from 'chai';
import {
	addressListSetting, addressSetting, integerSetting, readSettings, secretSetting,
} from '@amaranthsail/core';

const schema = {
	listenAddress: addressSetting('Where to listen.', '127.0.0.1:0'),
	entryAddresses: addressListSetting('The entries.'),
	sharedSecret: secretSetting('Authenticates datagrams.'),
	workerCount: integerSetting('Number of workers.', [1, 9], 2),
};

describe('readSettings', () => {
	// Guards against silently ignoring a flag whose value is missing.
	for (const argumentTexts of [['--worker-count'], ['--worker-count', '--shared-secret=long enough']]) {
		it(`rejects a flag without a value: ${argumentTexts.join(' ')}`, () => {
			const outcome = readSettings('test', schema, argumentTexts, {
				AMARANTHSAIL_ENTRY_ADDRESSES: '127.0.0.1:1',
				AMARANTHSAIL_SHARED_SECRET: 'long enough',
			});
			expect(outcome).to.deep.equal({
				ok: false,
				error: {
					kind: 'invalid_settings',
					problems: [{
						setting: '--worker-count (AMARANTHSAIL_WORKER_COUNT)',
						message: 'the flag has no value; expected a whole number from 1 to 9',
					}],
				},
			});
		});
	}

	it('prefers the flag over the environment variable', () => {
		const outcome = readSettings('test', schema, ['--worker-count', '3', '--shared-secret=long enough'], {
			AMARANTHSAIL_WORKER_COUNT: '4',
			AMARANTHSAIL_ENTRY_ADDRESSES: '127.0.0.1:1,127.0.0.1:2',
		});
		expect(outcome).to.deep.equal({
			ok: true,
			value: {
				kind: 'run',
				settings: {
					listenAddress: {host: '127.0.0.1', port: 0},
					entryAddresses: [{host: '127.0.0.1', port: 1}, {host: '127.0.0.1', port: 2}],
					sharedSecret: 'long enough',
					workerCount: 3,
				},
			},
		});
	});

	// Guards against reporting invalid settings one at a time, and against a secret in an error message.
	it('reports all invalid settings together, without the secret', () => {
		const outcome = readSettings('test', schema, ['--worker-count=12', '--shared-secret=short', '--wroker-count=1', 'stray'], {});
		expect(outcome.ok).to.equal(false);
		const problems = outcome.ok ? [] : outcome.error.problems;
		expect(problems.map(problem => problem.setting)).to.deep.equal([
			'--wroker-count',
			'stray',
			'--entry-addresses (AMARANTHSAIL_ENTRY_ADDRESSES)',
			'--shared-secret (AMARANTHSAIL_SHARED_SECRET)',
			'--worker-count (AMARANTHSAIL_WORKER_COUNT)',
		]);
		expect(JSON.stringify(problems)).not.to.include('"short"');
	});
});
