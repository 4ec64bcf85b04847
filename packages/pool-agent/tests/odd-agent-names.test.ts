import {expect} from 'chai';
import {decodeAnnounceRequest} from '@amaranthsail/pool-agent';

const ADDRESS = '127.0.0.1:80';

describe('the name in an announcement', () => {
	for (const agent of ['x'.repeat(201), 'Ł'.repeat(101), 'x'.repeat(10_000)]) {
		it(`is not accepted with ${agent.length} characters from ${agent[0]}, which no key of the store holds`, () => {
			expect(decodeAnnounceRequest({agent, address: ADDRESS})).to.equal(undefined);
		});
	}

	for (const agent of ['n1', 'x'.repeat(200), 'Ł'.repeat(100)]) {
		it(`is accepted with ${agent.length} characters from ${agent[0]}`, () => {
			expect(decodeAnnounceRequest({agent, address: ADDRESS})).to.deep.equal({agent, address: ADDRESS});
		});
	}
});
