import {type Run, RUN_PHASES} from './job-model.js';
import {type OutgoingOrder, POOL_EVENTS, type PoolContext} from './pool-context.js';
import {reasonToWithdrawStarts, type TrackedWorker} from './tracked-worker.js';

/**
 * Queues the start or stop order that a run's phase requires, if it is due.
 *
 * @param run - The run.
 * @param context - State of the pool.
 * @returns Why the run's start, which the worker may no longer get, has to be withdrawn; undefined if it need not be.
 */
export function queueDueOrder(run: Run, context: PoolContext): string | undefined {
	const worker = context.workers.get(run.incarnation);
	const nowMs = context.nowMs();
	if (!worker || run.isOrderInFlight || run.nextOrderAtMs > nowMs) {
		return undefined;
	}

	if (run.phase === RUN_PHASES.starting && worker.hasReportedLists && !worker.suspicion && worker.ordersInFlight.mayAdd('start', nowMs)) {
		const reason = run.knownSinceMs === undefined ? reasonToWithdrawStarts(worker, context.evacuations) : undefined;
		if (reason !== undefined) {
			context.log(POOL_EVENTS.startWithdrawn, {job: run.task.step.job.id, task: run.task.name, run: run.number, worker: run.incarnation, reason});
			return reason;
		}

		if (!context.evacuations.mayStart(nowMs)) {
			return undefined;
		}

		run.isOrderInFlight = true;
		run.unansweredStarts++;
		run.startSentAtMs = nowMs;
		queueCountedOrder({
			agent: worker.agent,
			incarnation: run.incarnation,
			order: {
				kind: 'start',
				task: run.task.name,
				run: run.number,
				payload: run.task.step.job.spec!.payload,
				leaseUntilMs: context.evacuations.startDeadlineOf(worker, context.limits.leaseMs),
				checkpoint: run.startCheckpoint,
			},
		}, worker, context);
	} else if (run.phase === RUN_PHASES.stopping && run.stopAcknowledgedOrderCount === undefined && worker.ordersInFlight.mayAdd('stop', nowMs)) {
		run.isOrderInFlight = true;
		queueCountedOrder({agent: worker.agent, incarnation: run.incarnation, order: {kind: 'stop', task: run.task.name, run: run.number}}, worker, context);
	}

	return undefined;
}

function queueCountedOrder(outgoing: OutgoingOrder, worker: TrackedWorker, context: PoolContext): void {
	worker.ordersInFlight.add(outgoing.order, context.nowMs());
	context.queueOrder(outgoing);
}

/**
 * Checks a queued order again immediately before it is sent. Orders stay queued while the leader may not order, and what
 * held when a start was queued may have changed since.
 *
 * @param outgoing - The order.
 * @param context - State of the pool.
 * @returns Whether to send it. Otherwise the next call of {@link queueDueOrder} withdraws the start or repeats it later.
 */
export function isStillDue({incarnation, order}: OutgoingOrder, context: PoolContext): boolean {
	const worker = context.workers.get(incarnation);
	if (order.kind !== 'start' || !worker || (context.evacuations.mayStart(context.nowMs()) && reasonToWithdrawStarts(worker, context.evacuations) === undefined)) {
		return true;
	}

	const run = worker.runs.get(order.task);
	if (run?.number === order.run) {
		if (run.knownSinceMs !== undefined && context.evacuations.mayStart(context.nowMs())) {
			return true;
		}

		run.isOrderInFlight = false;
		run.unansweredStarts--;
	}

	worker.ordersInFlight.remove(order);
	return false;
}
