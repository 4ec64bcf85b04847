import type {RecordDocument} from '@amaranthsail/records';

const worker = {slots: 8, connections: 64, processors: 30, memoryMb: 65_536, accelerators: 8};

/** A failure domain with one rack, a service with one operation, and two accounts. */
export const register: readonly RecordDocument[] = [
	{schemaVersion: 1, kind: 'FailureDomain', name: 'palermo', spec: {region: 'sicily', racks: {'rack-a': {workers: [worker, worker, worker]}}}},
	{
		schemaVersion: 1,
		kind: 'Service',
		name: 'register',
		spec: {operations: {posting: {workClass: 'short', repeatable: true, shape: {accelerators: 1}, maxTaskCount: 64, maxRunMs: 60_000}}},
	},
	{schemaVersion: 1, kind: 'ClientAccount', name: 'alpha', spec: {weight: 1}},
	{schemaVersion: 1, kind: 'ClientAccount', name: 'beta', spec: {weight: 1}},
];
