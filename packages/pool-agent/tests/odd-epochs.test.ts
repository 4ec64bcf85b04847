import {expect} from 'chai';
import {MAX_EPOCH} from '@amaranthsail/pool';
import {
	decodeOrderAnswer, decodeOrderRequest, decodeWatchAnswer, decodeWatchRequest,
} from '@amaranthsail/pool-agent';

describe('messages with an epoch', () => {
	const messages = [
		{title: 'watch request', decode: decodeWatchRequest, fields: {sinceVersion: -1, waitMs: 0}},
		{title: 'order request', decode: decodeOrderRequest, fields: {life: 'w@1', order: {kind: 'stop', task: 't', run: 1}}},
		{title: 'watch answer', decode: decodeWatchAnswer, fields: {}},
		{title: 'order answer', decode: decodeOrderAnswer, fields: {}},
	];
	for (const {title, decode, fields} of messages) {
		it(`accept the highest epoch in a ${title}, and no number above it`, () => {
			expect(decode({...fields, epoch: MAX_EPOCH})).to.deep.include({epoch: MAX_EPOCH});
			for (const epoch of [MAX_EPOCH + 1, Number.MAX_SAFE_INTEGER, 2 ** 53, Number.POSITIVE_INFINITY, -1, 1.5, '3']) {
				expect(decode({...fields, epoch}), String(epoch)).to.equal(undefined);
			}
		});
	}
});
