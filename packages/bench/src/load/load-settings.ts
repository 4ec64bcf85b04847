import {integerSetting, type SettingDefinition} from '@amaranthsail/core';

/** Measurements of the load tool. */
export const LOAD_MODES = ['path', 'agents', 'config'] as const;

/** One of {@link LOAD_MODES}. */
export type LoadMode = (typeof LOAD_MODES)[number];

const MAX_AGENTS = 400;

const modeSetting: SettingDefinition<LoadMode> = {
	description: 'Measures jobs from submission to answer, the agents of one owner, or configuration changes.',
	expected: LOAD_MODES.join(', or '),
	parse: text => LOAD_MODES.find(mode => mode === text),
};

const sizesSetting: SettingDefinition<readonly number[]> = {
	description: 'Numbers of emulated agents; a separate system is started for each.',
	defaultText: '10,50,150',
	expected: `at least two different whole numbers from 1 to ${MAX_AGENTS}, separated by commas`,
	parse(text) {
		const sizes = text.split(',').map(Number);
		const isValid = sizes.every(size => Number.isInteger(size) && size >= 1 && size <= MAX_AGENTS);
		return isValid && new Set(sizes).size >= 2 ? sizes : undefined;
	},
};

/** Command-line flags of the load tool. */
export const LOAD_SETTINGS = {
	mode: modeSetting,
	seed: integerSetting('Seed of the heartbeat phases and of the idempotency keys of the jobs.', [0, 1_000_000], 1),
	jobs: integerSetting('Jobs at each level of concurrency.', [10, 10_000], 300),
	sizes: sizesSetting,
	tasksPerAgent: integerSetting('Running tasks of each emulated agent.', [0, 8], 8),
	changes: integerSetting('Configuration changes at each number of agents.', [1, 100], 5),
	seconds: integerSetting('Duration of each measurement in seconds.', [2, 120], 8),
	settleSeconds: integerSetting('Settling time in seconds between the start and each measurement.', [0, 60], 3),
};
