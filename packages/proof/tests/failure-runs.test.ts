import {expect} from 'chai';
import {
	agentDrained,
	agentKilled,
	endpointLeaving,
	operatorsRace,
	ownerKilled,
	ownerKilledMidGang,
	ownerPaused,
	ProofSystem,
	rollingReplacement,
	SCENARIOS,
	urgentStartReclaim,
	checkStarts,
	TARGETS_MS,
	type Scenario,
} from '@amaranthsail/proof/runs/index.js';

/** The scenarios that fit into the time of the tests, in an order in which each leaves the system complete; the command runs all. */
const CASES: ReadonlyArray<{readonly guardsAgainst: string; readonly scenario: Scenario}> = [
	{guardsAgainst: 'a change of one operator that another one reverts without a conflict', scenario: operatorsRace},
	{guardsAgainst: 'a guarantee that cannot be reclaimed from stoppable work in time', scenario: urgentStartReclaim},
	{guardsAgainst: 'a takeover that stops or doubles running tasks, or loses their answers', scenario: ownerKilled},
	{guardsAgainst: 'an old owner that does harm after a pause', scenario: ownerPaused},
	{guardsAgainst: 'a gang of which only a part runs after a takeover', scenario: ownerKilledMidGang},
	{guardsAgainst: 'requests that are cut, lost or doubled by a graceful shutdown', scenario: rollingReplacement},
	{guardsAgainst: 'attempts that overlap, and non-repeatable jobs that run twice', scenario: agentKilled},
	{guardsAgainst: 'a task that its agent leaves behind on SIGTERM', scenario: agentDrained},
	{guardsAgainst: 'starts on an endpoint that leaves', scenario: endpointLeaving},
];

describe('real processes under failures', function () {
	this.timeout(60_000);
	const system = new ProofSystem();

	before(async () => {
		await system.start();
	});

	after(async () => {
		await system.stop();
	});

	// Guards against scenarios that are written but never run by the command.
	it('have distinct names and are known to the command', () => {
		expect(new Set(SCENARIOS.map(({name}) => name)).size).to.equal(SCENARIOS.length);
		expect(SCENARIOS).to.include.members(CASES.map(({scenario}) => scenario));
	});

	for (const {guardsAgainst, scenario} of CASES) {
		it(`${scenario.name}: guards against ${guardsAgainst}`, async () => {
			const late: string[] = [];
			await scenario.run({
				system,
				repeats: 1,
				record(name, valueMs) {
					if (valueMs > (TARGETS_MS[name] ?? Number.POSITIVE_INFINITY)) {
						late.push(`${name}: ${valueMs} ms`);
					}
				},
			});
			checkStarts(await system.executions());
			expect(late, 'times above their stated targets').to.deep.equal([]);
		});
	}
});
