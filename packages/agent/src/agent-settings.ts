import {
	addressListSetting, addressSetting, LOG_LEVELS, type LogLevel, secretSetting, type SettingDefinition, type SettingsOf, textSetting,
} from '@amaranthsail/core';

function isLogLevel(text: string): text is LogLevel {
	return Object.hasOwn(LOG_LEVELS, text);
}

const logLevelSetting: SettingDefinition<LogLevel> = {
	description: 'Least important level that is logged.',
	defaultText: 'info',
	expected: Object.keys(LOG_LEVELS).join(', '),
	parse: text => isLogLevel(text) ? text : undefined,
};

/** An empty text selects the rack that the worker runtime reports. */
const rackSetting: SettingDefinition<string> = {
	description: 'Rack of the worker, when it differs from the one that the worker runtime names.',
	defaultText: '',
	expected: 'a text',
	parse: text => text,
};

/** Settings of the agent. */
export const AGENT_SETTINGS = {
	workerId: textSetting('Id of the worker on this VM.'),
	failureDomain: textSetting('Failure domain of the worker.'),
	rack: rackSetting,
	entryAddresses: addressListSetting('HTTP addresses of the entries, queried in turn for the owner of the failure domain.'),
	workerAddress: addressSetting('HTTP address of the worker runtime.'),
	objectStoreAddress: addressSetting('HTTP address of the object store.'),
	listenAddress: addressSetting('HTTP address for announcements, health and status.', '127.0.0.1:7410'),
	datagramAddress: addressSetting('UDP address for the messages of the owner.', '0.0.0.0:7411'),
	sharedSecret: secretSetting('Authenticates datagrams and owner queries.'),
	logLevel: logLevelSetting,
};

/** Values of {@link AGENT_SETTINGS}. */
export type AgentSettings = SettingsOf<typeof AGENT_SETTINGS>;
