import {ManualClock} from '@amaranthsail/core';
import type {TableStore} from '@amaranthsail/backing-services';
import {ConfigStore, type GuaranteeCheck, type JsonObject, type RecordDocument} from '@amaranthsail/records';

/** Makes a document. */
export function documentOf(kind: RecordDocument['kind'], name: string, spec: JsonObject, schemaVersion = 1): RecordDocument {
	return {
		schemaVersion, kind, name, spec,
	};
}

/** A worker as the register division declares it. */
export const WORKER = {
	slots: 8, connections: 64, processors: 30, memoryMb: 65_536, accelerators: 8,
};

/** Three records that a guarantee needs, and the guarantee in both versions. */
export const DOMAIN = documentOf('FailureDomain', 'catania', {region: 'sicily', racks: {'rack-a': {workers: [WORKER, WORKER]}}});
export const ACCOUNT = documentOf('ClientAccount', 'assets', {weight: 2});
export const GUARANTEE = {
	account: 'assets', failureDomain: 'catania', accelerators: 4, count: 2,
};
export const GUARANTEE_V1 = documentOf('Guarantee', 'assets-catania', GUARANTEE);
export const GUARANTEE_V2 = documentOf('Guarantee', 'assets-catania', {...GUARANTEE, adjacency: 'rack', survivesRackLoss: true}, 2);
export const POLICY = documentOf('Policy', 'closing', {
	ordering: 'balanced',
	weights: {
		completion: 4, fragmentation: 4, peak: 1, shortWork: 1,
	},
});

/** Makes a configuration store on a table store. */
export function configStoreOn(store: TableStore, checkGuarantees: GuaranteeCheck = () => undefined): ConfigStore {
	return new ConfigStore({
		store, clock: new ManualClock(), checkGuarantees, wait: async () => undefined, random: () => 0,
	});
}

/** Submits documents that have to be accepted. */
export async function submitAll(config: ConfigStore, documents: readonly RecordDocument[], operator = 'ada'): Promise<void> {
	for (const record of documents) {
		const result = await config.submit({record}, operator);
		if (!result.ok) {
			throw new Error(`${record.kind}/${record.name}: ${JSON.stringify(result.error)}`);
		}
	}
}
