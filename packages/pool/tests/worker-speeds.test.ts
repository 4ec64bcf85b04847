import {expect} from 'chai';
import {PaceStream, speedsInTurn} from './support/pace-stream.js';
import {makeStep} from './support/pool-harness.js';

const SEEDS = [1, 2, 3, 4, 5, 6];

const UNEVEN = [0.7, 0.7, 1.7];

describe('worker speeds', () => {
	for (const seed of SEEDS) {
		it(`tells fast from slow workers within 500 runs on 77 workers, although estimates are wrong (seed ${seed})`, () => {
			const stream = new PaceStream(speedsInTurn(77, UNEVEN), seed);
			while (stream.startedRuns < 500) {
				stream.advance(100, 6);
			}

			const {isActive, fast} = stream.speeds.classesOf('registry');
			expect(isActive).to.equal(true);
			expect([...fast].toSorted()).to.deep.equal(stream.workers.filter(({speed}) => speed > 1).map(({agent}) => agent).toSorted());
			expect(stream.shareWithin(1.4)).to.be.at.least(0.97);
			stream.advance(30_000, 6);
			expect(stream.switches).to.deep.equal([true]);
			expect(stream.shareWithin(1.2)).to.be.at.least(0.97);
		});

		it(`never counts the speeds of earlier deployments (seed ${seed})`, () => {
			for (const classes of [[0.8, 1, 1.25], [1, 1, 1.3], [1]]) {
				const stream = new PaceStream(speedsInTurn(60, classes), seed);
				stream.advance(60_000, 6);
				expect(stream.switches).to.deep.equal([]);
			}
		});

		it(`does not take workers that are slow for 6 s for slow ones (seed ${seed})`, () => {
			const stream = new PaceStream(speedsInTurn(60, [1]), seed);
			stream.advance(30_000, 6);
			const disturbed = stream.workers.filter((_, index) => index % 4 === 0);
			for (const worker of disturbed) {
				worker.slowedUntilMs = stream.nowMs + 6000;
			}

			stream.advance(4000, 6);
			const noticed = disturbed.filter(({agent}) => stream.speeds.transientFactorOf(agent, stream.nowMs) < 0.6);
			expect(noticed.length / disturbed.length).to.be.at.least(0.8);
			stream.advance(20_000, 6);
			expect(stream.switches).to.deep.equal([]);
			const recovered = disturbed.filter(({agent}) => stream.speeds.speedOf(agent) > 0.75 && stream.speeds.transientFactorOf(agent, stream.nowMs) > 0.95);
			expect(recovered.length / disturbed.length).to.be.at.least(0.8);
		});
	}

	const gangs = [
		{title: 'two fast and six slow members', speeds: [1.7, 1.7, 0.7, 0.7, 0.7, 0.7, 0.7, 0.7]},
		{title: 'four and four', speeds: [1.7, 1.7, 1.7, 1.7, 0.7, 0.7, 0.7, 0.7]},
		{title: 'six fast and two slow members', speeds: [1.7, 1.7, 1.7, 1.7, 1.7, 1.7, 0.7, 0.7]},
	];
	for (const {title, speeds} of gangs) {
		it(`shows the classes by a single gang of ${title}`, () => {
			const stream = new PaceStream(speeds, 1);
			stream.start(stream.workers, makeStep({taskCount: 8, isGang: true, estimatedMs: 6000}), () => 3000);
			stream.advance(2000, 0);
			expect([...stream.speeds.classesOf('registry').fast].toSorted()).to.deep.equal(stream.workers.filter(({speed}) => speed > 1).map(({agent}) => agent));
		});
	}

	it('forgets half of the evidence when a worker starts again, and follows its new speed', () => {
		const stream = new PaceStream(speedsInTurn(60, UNEVEN), 1);
		stream.advance(40_000, 6);
		const [slow] = stream.workers;
		const before = stream.speeds.speedOf(slow!.agent);
		slow!.incarnation = `${slow!.agent}@2`;
		slow!.runs = [];
		stream.advance(3000, 6);
		expect(stream.speeds.speedOf(slow!.agent)).to.be.within(before * 0.8, before * 1.25);
		slow!.speed = 1.7;
		stream.advance(60_000, 6);
		expect(stream.speeds.classesOf('registry').fast.has(slow!.agent)).to.equal(true);
	});

	it('knows after a restore what was known before, also after runs of the same workers', () => {
		const stream = new PaceStream(speedsInTurn(60, UNEVEN), 1);
		stream.advance(30_000, 6);
		const fast = [...stream.speeds.classesOf('registry').fast].toSorted();
		const next = new PaceStream(speedsInTurn(60, UNEVEN), 2);
		next.speeds.restore(stream.speeds.estimates(), next.nowMs);
		next.advance(100, 0);
		expect([...next.speeds.classesOf('registry').fast].toSorted()).to.deep.equal(fast);
		next.advance(10_000, 6);
		expect([...next.speeds.classesOf('registry').fast].toSorted()).to.deep.equal(fast);
	});
});
