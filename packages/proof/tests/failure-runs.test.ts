import {expect} from 'chai';
import {
	agentDrained,
	agentKilled,
	endpointLeaving,
	operatorsRace,
	ownerKilled,
	ownerKilledMidGang,
	ownerPaused,
	TestSystem,
	rollingReplacement,
	SCENARIOS,
	urgentStartReclaim,
	checkStarts,
	TARGETS_MS,
	type Scenario,
} from '@amaranthsail/proof/runs/index.js';

/** The scenarios that fit into the time limit of the tests, in an order in which each leaves the system complete; `failure-runs` runs all. */
const CASES: ReadonlyArray<{readonly guardsAgainst: string; readonly scenario: Scenario}> = [
	{guardsAgainst: 'a change by one operator that another operator reverts without a conflict', scenario: operatorsRace},
	{guardsAgainst: 'a guarantee that cannot be reclaimed in time from stoppable jobs', scenario: urgentStartReclaim},
	{guardsAgainst: 'a takeover that stops or duplicates running tasks, or loses their answers', scenario: ownerKilled},
	{guardsAgainst: 'an old owner that does harm after a pause', scenario: ownerPaused},
	{guardsAgainst: 'a gang that runs only in part after a takeover', scenario: ownerKilledMidGang},
	{guardsAgainst: 'requests that are aborted, lost or duplicated by a graceful shutdown', scenario: rollingReplacement},
	{guardsAgainst: 'attempts that overlap, and non-repeatable jobs that run twice', scenario: agentKilled},
	{guardsAgainst: 'a task that is abandoned when its agent gets SIGTERM', scenario: agentDrained},
	{guardsAgainst: 'starts on an endpoint that is leaving', scenario: endpointLeaving},
];

describe('real processes under failures', function () {
	this.timeout(60_000);
	const system = new TestSystem();

	before(async () => {
		await system.start();
	});

	after(async () => {
		await system.stop();
	});

	// Guards against a scenario that the command never runs because it is missing from SCENARIOS.
	it('have distinct names and are all run by the command', () => {
		expect(new Set(SCENARIOS.map(({name}) => name)).size).to.equal(SCENARIOS.length);
		expect(SCENARIOS).to.include.members(CASES.map(({scenario}) => scenario));
	});

	for (const {guardsAgainst, scenario} of CASES) {
		it(`${scenario.name}: guards against ${guardsAgainst}`, async () => {
			const lateTimings: string[] = [];
			await scenario.run({
				system,
				repeats: 1,
				recordTime(name, durationMs) {
					if (durationMs > (TARGETS_MS[name] ?? Number.POSITIVE_INFINITY)) {
						lateTimings.push(`${name}: ${durationMs} ms`);
					}
				},
			});
			checkStarts(await system.listExecutions());
			expect(lateTimings, 'times above their targets').to.deep.equal([]);
		});
	}
});
