/** A measured point. */
export type Point = {readonly x: number; readonly y: number};

/** A line fitted to points. */
export type Line = {
	readonly slope: number;
	readonly intercept: number;
	/** Largest vertical distance of a point from the line, in units of `y`. */
	readonly maxResidual: number;
};

/**
 * Fits a line by least squares.
 *
 * @param points - At least two points with different `x`.
 * @returns The line.
 * @throws RangeError when the points do not determine a line.
 */
export function fitLine(points: readonly Point[]): Line {
	let sumX = 0;
	let sumY = 0;
	for (const {x, y} of points) {
		sumX += x;
		sumY += y;
	}

	const meanX = sumX / points.length;
	const meanY = sumY / points.length;
	let covariance = 0;
	let variance = 0;
	for (const {x, y} of points) {
		covariance += (x - meanX) * (y - meanY);
		variance += (x - meanX) ** 2;
	}

	if (points.length === 0 || variance === 0) {
		throw new RangeError('a line fit needs points with at least two different x values');
	}

	const slope = covariance / variance;
	const intercept = meanY - (slope * meanX);
	const maxResidual = Math.max(...points.map(({x, y}) => Math.abs(y - intercept - (slope * x))));
	return {slope, intercept, maxResidual};
}
