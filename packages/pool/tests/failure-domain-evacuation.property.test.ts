import {expect} from 'chai';
import fc from 'fast-check';
import {PoolOracle} from './support/pool-oracle.js';
import {makeStep} from './support/pool-harness.js';
import {type PlannedJob, type PlannedTrouble, PoolSimulation, STEP_MS} from './support/pool-simulation.js';
import {DEFAULT_LIMITS} from '@amaranthsail/pool';

const SEED = 5;
const EVACUATION_MS = 5000;
const WORKER_COUNT = 12;
const FAILURE_DOMAINS = ['east', 'west', 'north'];
const TROUBLE_ENDS_MS = 25_000;
const MAX_DURATION_MS = 120_000;

const time = (maxMs: number): fc.Arbitrary<number> => fc.integer({min: 1, max: maxMs / STEP_MS}).map(steps => steps * STEP_MS);

const jobArbitrary: fc.Arbitrary<PlannedJob> = fc.record({
	atMs: time(20_000),
	queue: fc.constantFrom('urgent', 'normal', 'batch'),
	taskCount: fc.constantFrom(1, 2, 4),
	isGang: fc.boolean(),
	preferredRack: fc.constantFrom(undefined, 'r0', 'r1'),
	workMs: time(3000),
}).map(({atMs, queue, workMs, preferredRack, ...step}) => {
	const spec = makeStep({...step, estimatedMs: workMs, ...(preferredRack !== undefined && {preferredRack})});
	return {
		atMs, queue, account: 'north', steps: [spec], workMs: [workMs], occurrences: 1, isHopeless: false, cancelAfterMs: undefined,
	};
});

const troubleArbitrary: fc.Arbitrary<PlannedTrouble> = fc.record({
	atMs: time(20_000), kind: fc.constantFrom('leader', 'leader', 'leader', 'silence', 'store'), worker: fc.nat({max: WORKER_COUNT}), forMs: time(4000), isVariant: fc.boolean(),
});

const evacuationArbitrary = fc.record({atMs: time(18_000), forMs: time(9000), failureDomain: fc.constantFrom(...FAILURE_DOMAINS)});

describe('evacuations of failure domains under changes of the leader, silent workers and an unavailable store', () => {
	it('let nothing start there after the bound, start nothing twice and end every job', function () {
		this.timeout(60_000);
		const plan = fc.record({
			jobs: fc.array(jobArbitrary, {minLength: 15, maxLength: 40}),
			troubles: fc.array(troubleArbitrary, {maxLength: 8}),
			evacuations: fc.array(evacuationArbitrary, {minLength: 1, maxLength: 4}),
		});
		fc.assert(fc.property(plan, ({jobs, troubles, evacuations}) => {
			const simulation = new PoolSimulation(WORKER_COUNT, {jobs, troubles}, {...DEFAULT_LIMITS, evacuationMs: EVACUATION_MS});
			for (const [index, worker] of simulation.workers.entries()) {
				worker.facts = {...worker.facts, failureDomain: FAILURE_DOMAINS[index % 3]!};
			}

			const oracle = new PoolOracle(simulation);
			simulation.troubleEndsMs = Math.max(...evacuations.map(({atMs, forMs}) => atMs + forMs));
			const {evacuated} = simulation.harness;
			const requestedAtMs = new Map<string, number>();
			while (simulation.nowMs < TROUBLE_ENDS_MS || (!oracle.isFinished && simulation.nowMs < MAX_DURATION_MS)) {
				for (const failureDomain of FAILURE_DOMAINS) {
					const isRequested = evacuations.some(({atMs, forMs, failureDomain: requested}) => requested === failureDomain && simulation.nowMs >= atMs && simulation.nowMs < atMs + forMs);
					if (isRequested && !evacuated.has(failureDomain)) {
						evacuated.add(failureDomain);
						requestedAtMs.set(failureDomain, simulation.nowMs);
					} else if (!isRequested) {
						evacuated.delete(failureDomain);
					}
				}

				const startedBefore = simulation.workers.map(worker => worker.started.length);
				simulation.step();
				oracle.check();
				for (const [index, {facts, started}] of simulation.workers.entries()) {
					const isBound = evacuated.has(facts.failureDomain) && simulation.nowMs > requestedAtMs.get(facts.failureDomain)! + EVACUATION_MS;
					expect(isBound ? started.slice(startedBefore[index]) : [], `starts in ${facts.failureDomain}`).to.deep.equal([]);
				}
			}

			oracle.checkStarts();
			expect(oracle.isFinished).to.equal(true);
		}), {seed: SEED, numRuns: 25});
	});
});
