import {expect} from 'chai';
import {Admission} from '@amaranthsail/entry/admission.js';

describe('Admission', () => {
	// Guards against one account taking all connections of an entry.
	it('limits the open requests of an account and frees them again', () => {
		const admission = new Admission(() => 0);
		const leave = Array.from({length: 512}, () => admission.enter('alpha', false));
		expect(leave.every(result => result.ok)).to.equal(true);
		const refused = admission.enter('alpha', false);
		expect(refused.ok ? 'ok' : refused.error.code).to.equal('account_limit');
		expect(admission.enter('beta', false).ok).to.equal(true);
		const [first] = leave;
		if (first?.ok) {
			first.value();
			first.value();
		}

		expect(admission.enter('alpha', false).ok).to.equal(true);
		expect(admission.enter('alpha', false).ok).to.equal(false);
	});

	// Guards against retries that keep an overload going after its cause has ended.
	it('limits retries to a share of new requests', () => {
		const admission = new Admission(() => 0);
		const retries = Array.from({length: 30}, () => admission.enter('alpha', true).ok);
		expect(retries.filter(Boolean)).to.have.length(20);
		for (let index = 0; index < 10; index++) {
			expect(admission.enter('alpha', false).ok).to.equal(true);
		}

		expect(admission.enter('alpha', true).ok).to.equal(true);
		expect(admission.enter('alpha', true).ok).to.equal(false);
	});
});
