import {expect} from 'chai';
import {Admission} from '@amaranthsail/entry/admission.js';

describe('Admission', () => {
	// Guards against one account occupying all capacity of an entry.
	it('limits the open requests of an account and releases each only once', () => {
		const admission = new Admission(() => 0);
		const admitted = Array.from({length: 512}, () => admission.admit('alpha', false));
		expect(admitted.every(result => result.ok)).to.equal(true);
		const refused = admission.admit('alpha', false);
		expect(refused.ok ? 'ok' : refused.error.code).to.equal('account_limit');
		expect(admission.admit('beta', false).ok).to.equal(true);
		const [first] = admitted;
		if (first?.ok) {
			first.value();
			first.value();
		}

		expect(admission.admit('alpha', false).ok).to.equal(true);
		expect(admission.admit('alpha', false).ok).to.equal(false);
	});

	// Guards against retries that prolong an overload after its cause has ended.
	it('limits retries to a share of new requests', () => {
		const admission = new Admission(() => 0);
		const retries = Array.from({length: 30}, () => admission.admit('alpha', true).ok);
		expect(retries.filter(Boolean)).to.have.length(20);
		for (let index = 0; index < 10; index++) {
			expect(admission.admit('alpha', false).ok).to.equal(true);
		}

		expect(admission.admit('alpha', true).ok).to.equal(true);
		expect(admission.admit('alpha', true).ok).to.equal(false);
	});
});
