import type {Clock, Logger} from '@amaranthsail/core';
import type {GuaranteeAlarm} from '@amaranthsail/scheduler';
import type {Metrics} from './metrics.js';

/** Interval at which guarantees are checked. */
export const GUARANTEE_CHECK_INTERVAL_MS = 1000;

/** Time for which a guarantee must be broken before the alarm is raised. All workers have reported to a new owner within a few seconds. */
const ALARM_DELAY_MS = 10_000;

type BrokenGuarantee = {readonly alarm: GuaranteeAlarm; readonly brokenSinceMs: number; readonly isRaised: boolean};

/** Raises an alarm while a guarantee cannot be kept: logs it once and reports the number of alarms as a gauge. */
export class GuaranteeAlarmMonitor {
	readonly #clock: Clock;
	readonly #logger: Logger;
	readonly #metrics: Pick<Metrics, 'gauge'>;
	#brokenGuarantees = new Map<string, BrokenGuarantee>();

	/**
	 * @param clock - Time source.
	 * @param logger - Logs each alarm and its end.
	 * @param metrics - Receives the number of alarms.
	 */
	constructor(clock: Clock, logger: Logger, metrics: Pick<Metrics, 'gauge'>) {
		this.#clock = clock;
		this.#logger = logger;
		this.#metrics = metrics;
	}

	/** Alarms that are currently raised. */
	get alarms(): readonly GuaranteeAlarm[] {
		return [...this.#brokenGuarantees.values()].filter(({isRaised}) => isRaised).map(({alarm}) => alarm);
	}

	/**
	 * Updates the alarms from the guarantees that currently cannot be kept.
	 *
	 * @param broken - One alarm for each such guarantee.
	 */
	update(broken: readonly GuaranteeAlarm[]): void {
		const nowMs = this.#clock.monotonicMs();
		const previous = this.#brokenGuarantees;
		this.#brokenGuarantees = new Map(broken.map(alarm => {
			const previousState = previous.get(alarm.guarantee);
			const brokenSinceMs = previousState?.brokenSinceMs ?? nowMs;
			return [alarm.guarantee, {alarm, brokenSinceMs, isRaised: nowMs - brokenSinceMs >= ALARM_DELAY_MS}];
		}));
		for (const [name, {alarm, isRaised}] of this.#brokenGuarantees) {
			if (isRaised && !previous.get(name)?.isRaised) {
				this.#logger.error('a guarantee cannot be kept', {...alarm});
			}
		}

		for (const [name, {alarm, isRaised}] of previous) {
			if (isRaised && !this.#brokenGuarantees.has(name)) {
				this.#logger.info('a guarantee can be kept again', {guarantee: name, account: alarm.account});
			}
		}

		this.#metrics.gauge('broken_guarantees', this.alarms.length);
	}
}
