import {
	addressSetting, parseAddress, textSetting, type Address, type Resources, type SettingDefinition,
} from '@amaranthsail/core';
import {DEFAULT_CAPACITY} from './start-worker.js';
import {resourcesSchema} from './worker-routes.js';

/** The parts that one process of the emulator can run. */
export const STANDIN_ROLES = ['platform', 'worker', 'all'] as const;

/** One of {@link STANDIN_ROLES}. */
export type StandinRole = (typeof STANDIN_ROLES)[number];

const roleSetting: SettingDefinition<StandinRole> = {
	description: 'Tables, objects and StatsD sink; the worker and endpoints of one VM; or both.',
	defaultText: 'all',
	expected: STANDIN_ROLES.join(', '),
	parse: text => STANDIN_ROLES.find(role => role === text),
};

function optionalAddressSetting(description: string): SettingDefinition<Address | 'none'> {
	return {
		description,
		defaultText: 'none',
		expected: 'host:port or none',
		parse: text => text === 'none' ? text : parseAddress(text),
	};
}

const servicesSetting: SettingDefinition<readonly string[]> = {
	description: 'The services that have an endpoint on the worker.',
	defaultText: '',
	expected: 'names separated by commas',
	parse: text => text.split(',').map(name => name.trim()).filter(name => name !== ''),
};

const capacitySetting: SettingDefinition<Resources> = {
	description: 'The capacity of the worker.',
	defaultText: JSON.stringify(DEFAULT_CAPACITY),
	expected: 'a JSON object with slots, connections, processors, memoryMb and accelerators',
	parse: parseCapacity,
};

const failEverythingSetting: SettingDefinition<boolean> = {
	description: 'Fails every task as soon as it starts.',
	defaultText: 'false',
	expected: 'true or false',
	parse: text => text === 'true' || text === 'false' ? text === 'true' : undefined,
};

/** The settings of `amaranthsail-standin`. */
export const STANDIN_SETTINGS = {
	role: roleSetting,
	address: addressSetting('Listen address of the platform, or of the worker in the role worker; port 0 uses a free one.', '127.0.0.1:0'),
	workerAddress: addressSetting('Listen address of the worker in the role all.', '127.0.0.1:0'),
	statsdAddress: addressSetting('Address at which the platform receives StatsD datagrams.', '127.0.0.1:0'),
	agentAddress: optionalAddressSetting('The agent to which the endpoints announce themselves.'),
	objectStoreAddress: optionalAddressSetting('The object store for checkpoints and long inputs; in the role all, none uses the one of this process.'),
	endpointId: textSetting('Id of the endpoint; with several services each has the id {endpoint-id}-{service}.', 'endpoint-1'),
	services: servicesSetting,
	rack: textSetting('The rack of the worker.', 'rack-1'),
	capacity: capacitySetting,
	failEverything: failEverythingSetting,
};

function parseCapacity(text: string): Resources | undefined {
	try {
		return resourcesSchema.safeParse(JSON.parse(text)).data;
	} catch {
		return undefined;
	}
}
