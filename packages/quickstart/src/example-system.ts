import type {Resources} from '@amaranthsail/core';
import type {LocalSystemOptions, LocalWorkerSpec} from './local-system.js';

const REGISTER_WORKER_CAPACITY: Resources = {slots: 8, connections: 64, processors: 30, memoryMb: 65_536, accelerators: 8};
const COOPERATIVE_WORKER_CAPACITY: Resources = {slots: 8, connections: 64, processors: 60, memoryMb: 131_072, accelerators: 8};

/** Tokens of the example accounts and operators. */
export const EXAMPLE_TOKENS = {
	accounts: {
		'group-accounting': 'token-group-accounting',
		subsidiaries: 'token-subsidiaries',
		tax: 'token-tax',
		'internal-audit': 'token-internal-audit',
		'housing-repairs': 'token-housing-repairs',
		'water-repairs': 'token-water-repairs',
		'community-halls': 'token-community-halls',
		'storm-desk': 'token-storm-desk',
	},
	operators: {olga: 'token-operator-olga', mere: 'token-operator-mere'},
} as const;

function createWorkerSpecs(failureDomain: string, count: number, capacity: Resources, service: string): readonly LocalWorkerSpec[] {
	return Array.from({length: count}, (_unused, index) => ({
		workerId: `${failureDomain}-${index + 1}`,
		failureDomain,
		rack: 'rack-a',
		capacity,
		services: [service],
	}));
}

/**
 * Creates the options of a system with two entries and one complete failure domain of each division, which is a rack of three workers.
 *
 * @returns The options.
 */
export function createExampleSystemOptions(): LocalSystemOptions {
	return {
		entries: [
			{name: 'entry 1', region: 'sicily', failureDomain: 'catania'},
			{name: 'entry 2', region: 'viti-levu', failureDomain: 'suva'},
		],
		workers: [
			...createWorkerSpecs('palermo', 3, REGISTER_WORKER_CAPACITY, 'register'),
			...createWorkerSpecs('lami', 3, COOPERATIVE_WORKER_CAPACITY, 'shared-repairs'),
		],
		accountTokens: EXAMPLE_TOKENS.accounts,
		operatorTokens: EXAMPLE_TOKENS.operators,
	};
}
