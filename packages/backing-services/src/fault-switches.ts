import type {ChooseFault, Fault, FaultOperation} from './fault-plan.js';

/** Faults by name, as the stand-in takes them over HTTP. The first kind of fault that is on and applies to the operation wins. */
export type FaultSwitches = {
	/** The service refuses every request; nothing takes effect. */
	readonly unavailable?: boolean;
	/** Requests are lost: nothing takes effect and no answer comes. */
	readonly loseRequestsBeforeEffect?: boolean;
	/** Requests take effect and their answers are lost. */
	readonly loseAnswersAfterEffect?: boolean;
	/** Changes are applied twice, and the answer is that of the second. */
	readonly duplicateRequests?: boolean;
	/** Reads return each row or object as it was before its last change. */
	readonly staleReads?: boolean;
	/** Reads of objects return the first half of the bytes. */
	readonly truncateObjects?: boolean;
	/** Delay before each effect in milliseconds. */
	readonly latencyMs?: number;
	/** Services that the faults apply to; all when absent. */
	readonly services?: ReadonlyArray<FaultOperation['service']>;
	/** Operations that the faults apply to, by method name; all when absent. */
	readonly operations?: readonly string[];
	/** Number of operations that pass before the faults start; 0 when absent. */
	readonly skip?: number;
	/** Number of operations that the faults apply to; without an end when absent. */
	readonly count?: number;
	/** Of the operations concerned, the faults apply to each whose number is a multiple of this; 1 when absent. */
	readonly every?: number;
};

/**
 * Turns switches into a choice of faults.
 *
 * @param switches - The faults that are on.
 * @returns The choice for a {@link FaultPlan}; it counts the operations that it applies to.
 */
export function chooseBySwitches(switches: FaultSwitches): ChooseFault {
	const first = switches.skip ?? 0;
	const end = first + (switches.count ?? Number.POSITIVE_INFINITY);
	const every = switches.every ?? 1;
	let matched = 0;
	return operation => {
		const {services, operations} = switches;
		if (services?.includes(operation.service) === false || operations?.includes(operation.operation) === false) {
			return {kind: 'none'};
		}

		matched += 1;
		return matched > first && matched <= end && (matched - first) % every === 0
			? {kind: kindOf(switches, operation), delayMs: switches.latencyMs}
			: {kind: 'none'};
	};
}

function kindOf(switches: FaultSwitches, operation: FaultOperation): Fault['kind'] {
	if (switches.unavailable) {
		return 'unavailable';
	}

	if (switches.loseRequestsBeforeEffect) {
		return 'lost_before_effect';
	}

	if (switches.loseAnswersAfterEffect) {
		return 'lost_after_effect';
	}

	if (switches.duplicateRequests && operation.hasEffect) {
		return 'duplicated';
	}

	if (switches.staleReads && !operation.hasEffect) {
		return 'stale_read';
	}

	return switches.truncateObjects && operation.service === 'objects' && operation.operation === 'get' ? 'truncated' : 'none';
}
