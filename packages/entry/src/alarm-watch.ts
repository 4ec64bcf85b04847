import type {Clock, Logger} from '@amaranthsail/core';
import type {GuaranteeAlarm} from '@amaranthsail/scheduler';
import type {Metrics} from './metrics.js';

/** How often guarantees are looked at. */
export const ALARM_INTERVAL_MS = 1000;

/** Time that a guarantee must be broken before the alarm. A new owner needs a few seconds until it knows all workers. */
const ALARM_AFTER_MS = 10_000;

type Seen = {readonly alarm: GuaranteeAlarm; readonly sinceMs: number; readonly isRaised: boolean};

/** Raises an alarm, once in the log and as a gauge, while a guarantee cannot be kept. */
export class AlarmWatch {
	readonly #clock: Clock;
	readonly #logger: Logger;
	readonly #metrics: Pick<Metrics, 'gauge'>;
	#seen = new Map<string, Seen>();

	/**
	 * @param clock - Source of time.
	 * @param logger - Takes the alarms and their ends.
	 * @param metrics - Takes the number of broken guarantees.
	 */
	constructor(clock: Clock, logger: Logger, metrics: Pick<Metrics, 'gauge'>) {
		this.#clock = clock;
		this.#logger = logger;
		this.#metrics = metrics;
	}

	/** The alarms that are raised. */
	get alarms(): readonly GuaranteeAlarm[] {
		return [...this.#seen.values()].filter(({isRaised}) => isRaised).map(({alarm}) => alarm);
	}

	/**
	 * Takes the guarantees that cannot be kept now.
	 *
	 * @param broken - One alarm for each.
	 */
	update(broken: readonly GuaranteeAlarm[]): void {
		const nowMs = this.#clock.monotonicMs();
		const previous = this.#seen;
		this.#seen = new Map(broken.map(alarm => {
			const known = previous.get(alarm.guarantee);
			const sinceMs = known?.sinceMs ?? nowMs;
			return [alarm.guarantee, {alarm, sinceMs, isRaised: nowMs - sinceMs >= ALARM_AFTER_MS}];
		}));
		for (const [name, {alarm, isRaised}] of this.#seen) {
			if (isRaised && !previous.get(name)?.isRaised) {
				this.#logger.error('a guarantee cannot be kept', {...alarm});
			}
		}

		for (const [name, {alarm, isRaised}] of previous) {
			if (isRaised && !this.#seen.has(name)) {
				this.#logger.info('a guarantee can be kept again', {guarantee: name, account: alarm.account});
			}
		}

		this.#metrics.gauge('broken_guarantees', this.alarms.length);
	}
}
