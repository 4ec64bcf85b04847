import {ManualClock} from '@amaranthsail/core';
import type {TableStore} from '@amaranthsail/backing-services';
import {ConfigStore, type GuaranteeCheck, type JsonObject, type RecordDocument} from '@amaranthsail/records';

/** Creates a document. */
export function documentOf(kind: RecordDocument['kind'], name: string, spec: JsonObject, schemaVersion = 1): RecordDocument {
	return {
		schemaVersion, kind, name, spec,
	};
}

/** A worker as the example records of the register division declare it. */
export const WORKER = {
	slots: 8, connections: 64, processors: 30, memoryMb: 65_536, accelerators: 8,
};

/** The records that a guarantee refers to, the guarantee in both schema versions, and a policy. */
export const FAILURE_DOMAIN = documentOf('FailureDomain', 'catania', {region: 'sicily', racks: {'rack-a': {workers: [WORKER, WORKER]}}});
export const ACCOUNT = documentOf('ClientAccount', 'assets', {weight: 2});
export const GUARANTEE_SPEC = {
	account: 'assets', failureDomain: 'catania', accelerators: 4, count: 2,
};
export const GUARANTEE_V1 = documentOf('Guarantee', 'assets-catania', GUARANTEE_SPEC);
export const GUARANTEE_V2 = documentOf('Guarantee', 'assets-catania', {...GUARANTEE_SPEC, adjacency: 'rack', survivesRackLoss: true}, 2);
export const POLICY = documentOf('Policy', 'closing', {
	ordering: 'balanced',
	weights: {
		completion: 4, fragmentation: 4, peak: 1, shortWork: 1,
	},
});

/** Creates a configuration store on a table store. */
export function createConfigStore(store: TableStore, checkGuarantees: GuaranteeCheck = () => undefined): ConfigStore {
	return new ConfigStore({
		store, clock: new ManualClock(), checkGuarantees, wait: async () => undefined, random: () => 0,
	});
}

/** Submits documents and throws unless each is accepted. */
export async function submitAll(config: ConfigStore, documents: readonly RecordDocument[], operator = 'ada'): Promise<void> {
	for (const record of documents) {
		const result = await config.submit({record}, operator);
		if (!result.ok) {
			throw new Error(`${record.kind}/${record.name}: ${JSON.stringify(result.error)}`);
		}
	}
}
