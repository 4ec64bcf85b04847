import {expect} from 'chai';
import {MessageCodec, type HeartbeatAck} from '@amaranthsail/core';

const ack: HeartbeatAck = {
	type: 'ack', ownerId: 'entry-1', epoch: 3, sequence: 7, sentAtMs: 1200, degraded: false, revision: 5, wantFacts: false, renewed: [],
};

describe('MessageCodec', () => {
	const codec = new MessageCodec('a shared secret');

	it('returns the message that was encoded', () => {
		expect(codec.decode(codec.encode(ack))).to.deep.equal({ok: true, value: ack});
	});

	const valid = codec.encode(ack);
	const cases: ReadonlyArray<{readonly name: string; readonly datagram: Uint8Array; readonly kind: string}> = [
		{name: 'an empty datagram', datagram: new Uint8Array(), kind: 'too_short'},
		{name: 'a truncated datagram', datagram: valid.subarray(0, -1), kind: 'bad_mac'},
		{name: 'an unsupported version', datagram: Uint8Array.from([9, ...valid.subarray(1)]), kind: 'unsupported_version'},
		{name: 'an altered datagram', datagram: Uint8Array.from([...valid.subarray(0, -2), 1, 2]), kind: 'bad_mac'},
		{name: 'a datagram with another secret', datagram: new MessageCodec('another secret').encode(ack), kind: 'bad_mac'},
	];
	for (const {name, datagram, kind} of cases) {
		// Guards against acting on a message that was truncated, altered or not sent by this system.
		it(`rejects ${name}`, () => {
			const result = codec.decode(datagram);
			expect(result.ok).to.equal(false);
			expect(result.ok ? undefined : result.error.kind).to.equal(kind);
		});
	}
});
