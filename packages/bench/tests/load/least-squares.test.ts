import {expect} from 'chai';
import {fitLine} from '@amaranthsail/bench/load/least-squares.js';

describe('fitLine', () => {
	// Guards against wrong slopes, from which the resources needed at full size are extrapolated.
	const cases = [
		{
			name: 'an exact line', points: [[10, 25], [50, 105], [150, 305]], slope: 2, intercept: 5, maxResidual: 0,
		},
		{
			name: 'a constant', points: [[1, 7], [2, 7], [3, 7]], slope: 0, intercept: 7, maxResidual: 0,
		},
		{
			name: 'points off the line', points: [[0, 1], [1, 0], [2, 1]], slope: 0, intercept: 2 / 3, maxResidual: 2 / 3,
		},
	];
	for (const {name, points, slope, intercept, maxResidual} of cases) {
		it(`fits ${name}`, () => {
			const line = fitLine(points.map(([x, y]) => ({x: x!, y: y!})));
			expect(line.slope).to.be.closeTo(slope, 1e-9);
			expect(line.intercept).to.be.closeTo(intercept, 1e-9);
			expect(line.maxResidual).to.be.closeTo(maxResidual, 1e-9);
		});
	}

	for (const points of [[], [{x: 3, y: 1}], [{x: 3, y: 1}, {x: 3, y: 2}]]) {
		it(`rejects ${points.length} points that do not determine a line`, () => {
			expect(() => fitLine(points)).to.throw(RangeError);
		});
	}
});
