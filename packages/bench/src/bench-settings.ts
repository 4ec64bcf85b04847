import {integerSetting, type SettingDefinition} from '@amaranthsail/core';

function choiceSetting<Choice extends string>(description: string, choices: readonly Choice[], defaultText: Choice): SettingDefinition<Choice> {
	return {
		description, defaultText, expected: choices.join(', or '), parse: text => choices.find(choice => choice === text),
	};
}

/** Measurements of the bench. */
export const BENCH_MODES = ['policies', 'capacity', 'rounds'] as const;

/** First seed of each range. Report seeds differ from tuning seeds, so that no policy is fitted to the arrivals it is reported on. */
export const FIRST_SEED = {tuning: 1, report: 1001} as const;

/** Command-line flags of the bench. */
export const BENCH_SETTINGS = {
	mode: choiceSetting('Compares policies, or measures the decision time and memory of the scheduler, or the scheduling rounds of the pool.', BENCH_MODES, 'policies'),
	seeds: choiceSetting('Which seeds to replay.', ['tuning', 'report'], 'report'),
	seedCount: integerSetting('Number of seeds.', [1, 100], 5),
	division: choiceSetting('Which division to replay.', ['all', 'register', 'cooperative'], 'all'),
	scenario: choiceSetting('Which scenario to replay.', ['all', 'steady', 'swing', 'storm', 'wrongEstimates', 'stragglers', 'failingWorkers', 'cancellations'], 'all'),
};
