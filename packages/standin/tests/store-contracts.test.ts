import {
	HttpObjectStore, HttpTableStore, MemoryObjectStore, MemoryTableStore,
} from '@amaranthsail/backing-services';
import {NodeHttpObjectStore} from '@amaranthsail/backing-services/node-http-object-store.js';
import {OBJECT_CASES} from './contracts/object-store-cases.js';
import {TABLE_CASES} from './contracts/table-store-cases.js';
import {startPlatform, type RunningPlatform} from '@amaranthsail/standin';

type Closable = {close(): Promise<void>};

async function withPlatformEmulator<Client extends Closable>(open: (platform: RunningPlatform) => Client, run: (client: Client, platform: RunningPlatform) => Promise<void>): Promise<void> {
	const platform = await startPlatform();
	const client = open(platform);
	try {
		await run(client, platform);
	} finally {
		await client.close();
		await platform.close();
	}
}

describe('contract of TableStore', () => {
	for (const {title, run} of TABLE_CASES) {
		it(`MemoryTableStore ${title}`, async () => {
			const store = new MemoryTableStore();
			await run({store, faults: store.faults});
		});

		it(`HttpTableStore with the emulator ${title}`, async () => {
			await withPlatformEmulator(({address}) => new HttpTableStore({address}), async (store, {faults}) => run({store, faults}));
		});
	}
});

describe('contract of ObjectStore', () => {
	for (const {title, run} of OBJECT_CASES) {
		it(`MemoryObjectStore ${title}`, async () => {
			const store = new MemoryObjectStore();
			await run({store, faults: store.faults});
		});

		for (const Client of [HttpObjectStore, NodeHttpObjectStore]) {
			it(`${Client.name} with the emulator ${title}`, async () => {
				await withPlatformEmulator(({address}) => new Client({address}), async (store, {faults}) => run({store, faults}));
			});
		}
	}
});
