import {MemoryTableStore} from '@amaranthsail/backing-services';
import {expect} from 'chai';
import {OwnerGateway} from '@amaranthsail/entry/owner-gateway.js';
import {JobStore} from '@amaranthsail/entry/job-store.js';
import {PeerClients} from '@amaranthsail/entry/peer-client.js';
import type {PeerService} from '@amaranthsail/entry/peer-router.js';

describe('OwnerGateway', () => {
	// Guards against a job that waits for the next scan because its only notification was lost in a change of owner.
	it('repeats a notification until the owner accepts it', async () => {
		const answers = [false, false, true];
		let count = 0;
		const local: Pick<PeerService, 'notify'> = {
			async notify() {
				count += 1;
				return answers[count - 1] ?? true;
			},
		};
		const gateway = new OwnerGateway({
			processId: 'entry-1',
			ownerOf: () => ({ownerId: 'entry-1', control: {host: '127.0.0.1', port: 1}}),
			local: local as PeerService,
			peers: new PeerClients('shared-secret'),
			jobs: new JobStore(new MemoryTableStore()),
		});
		await gateway.notify('catania', ['job']);
		expect(count).to.equal(3);
	});
});
