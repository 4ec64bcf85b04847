import type {ChooseFault, Fault, FaultOperation} from './fault-plan.js';

/** Faults by name, as the emulator of the platform accepts them over HTTP. The first fault in this order that is on and applies to the operation takes effect. */
export type FaultSwitches = {
	/** The service refuses every request; nothing takes effect. */
	readonly unavailable?: boolean;
	/** Requests are lost: nothing takes effect and there is no response. */
	readonly loseRequestsBeforeEffect?: boolean;
	/** Requests take effect and their responses are lost. */
	readonly loseAnswersAfterEffect?: boolean;
	/** Changes are applied twice, and the response is that to the second. */
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
	/** Number of matching operations without a fault before the faults start; 0 when absent. */
	readonly skip?: number;
	/** Number of matching operations, after the skipped ones, that may fail; unlimited when absent. */
	readonly count?: number;
	/** Only every n-th of these operations fails; 1 when absent. */
	readonly every?: number;
};

/**
 * Creates a function that chooses faults by switches.
 *
 * @param switches - The faults that are on.
 * @returns A function for {@link FaultPlan}; it counts the matching operations.
 */
export function chooseBySwitches(switches: FaultSwitches): ChooseFault {
	const skip = switches.skip ?? 0;
	const lastMatch = skip + (switches.count ?? Number.POSITIVE_INFINITY);
	const every = switches.every ?? 1;
	let matchCount = 0;
	return operation => {
		const {services, operations} = switches;
		if (services?.includes(operation.service) === false || operations?.includes(operation.operation) === false) {
			return {kind: 'none'};
		}

		matchCount += 1;
		return matchCount > skip && matchCount <= lastMatch && (matchCount - skip) % every === 0
			? {kind: selectKind(switches, operation), delayMs: switches.latencyMs}
			: {kind: 'none'};
	};
}

function selectKind(switches: FaultSwitches, operation: FaultOperation): Fault['kind'] {
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
