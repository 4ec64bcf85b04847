import {
	type Address,
	CHECKPOINT_GRACE_MS,
	type Command,
	HEARTBEAT_INTERVAL_MS,
	type HeartbeatAck,
	MAX_TASK_STOP_MS,
	type WorkerFacts,
} from '@amaranthsail/core';
import {AGENT_EXIT_CODES, type AgentEffect} from './agent-effect.js';
import type {AgentEvent, OwnerAddress} from './agent-event.js';
import type {AgentCoreOptions, AgentStatus} from './agent-options.js';
import {EndpointRegistry} from './endpoint-registry.js';
import {splitHeartbeat} from './heartbeat-parts.js';
import {isOnWorker} from './agent-task.js';
import {OwnerTracker} from './owner-tracker.js';
import {applyCommand, beginCheckpoint} from './task-commands.js';
import {TaskProgress} from './task-progress.js';
import {TaskTable} from './task-table.js';
import {WorkerPoller} from './worker-poller.js';

/** Minimum time between two heartbeats. Changes within this time are reported in one heartbeat. */
export const MIN_HEARTBEAT_INTERVAL_MS = 20;

/** The facts of the worker are sent once in this number of heartbeat intervals. */
export const FACTS_INTERVAL_HEARTBEATS = 10;

/** Maximum time from the second signal to the exit: a checkpoint, a stop, and 500 ms for the last reports. */
export const FORCED_EXIT_TIMEOUT_MS = CHECKPOINT_GRACE_MS + MAX_TASK_STOP_MS + 500;

/** State machine of the agent. It does no I/O and reads no clock; a driver performs the returned effects in order. */
export class AgentCore {
	readonly #options: AgentCoreOptions;
	readonly #endpoints = new EndpointRegistry();
	readonly #table = new TaskTable();
	readonly #progress: TaskProgress;
	readonly #ownerTracker: OwnerTracker;
	readonly #workerPoller = new WorkerPoller();
	#lastRegularHeartbeatAtMs = Number.NEGATIVE_INFINITY;
	#lastHeartbeatAtMs = Number.NEGATIVE_INFINITY;
	#regularHeartbeatCount = 0;
	#hasUnreportedChange = false;
	#shouldSendFacts = true;
	#revisionInForce = 0;
	#signalCount = 0;
	#forcedExitAtMs = Number.POSITIVE_INFINITY;
	#hasExited = false;

	/**
	 * @param options - Identity and addresses of the agent.
	 */
	constructor(options: AgentCoreOptions) {
		this.#options = options;
		this.#ownerTracker = new OwnerTracker(options.entryAddresses);
		this.#progress = new TaskProgress(this.#table, options.random);
	}

	/**
	 * Handles one event.
	 *
	 * @param event - The event.
	 * @param nowMs - Monotonic time at which the event is handled.
	 * @returns The effects to perform, in order.
	 */
	handle(event: AgentEvent, nowMs: number): readonly AgentEffect[] {
		if (this.#hasExited) {
			return [];
		}

		const expiryEffects = this.#table.expire(nowMs);
		const effects = this.#handleEvent(event, nowMs);
		return [...expiryEffects, ...effects, ...this.#runDueActions(nowMs)];
	}

	/**
	 * Runs the actions that have become due by time.
	 *
	 * @param nowMs - Monotonic time.
	 * @returns The effects to perform, in order.
	 */
	tick(nowMs: number): readonly AgentEffect[] {
		return this.#hasExited ? [] : [...this.#table.expire(nowMs), ...this.#runDueActions(nowMs)];
	}

	/**
	 * Returns the time at which {@link tick} must be called next. A later call is safe, because expired holds and leases are
	 * handled before anything else.
	 *
	 * @param nowMs - Monotonic time.
	 * @returns Monotonic time.
	 */
	nextTickAtMs(nowMs: number): number {
		return Math.min(
			this.#workerPoller.nextCallAtMs(this.#mayTaskRun),
			this.#lastRegularHeartbeatAtMs + HEARTBEAT_INTERVAL_MS,
			this.#hasUnreportedChange ? this.#lastHeartbeatAtMs + MIN_HEARTBEAT_INTERVAL_MS : Number.POSITIVE_INFINITY,
			this.#workerPoller.isReady ? this.#ownerTracker.nextQueryAtMs() : Number.POSITIVE_INFINITY,
			this.#progress.nextDueAtMs(),
			this.#table.nextExpiryAtMs(),
			this.#endpoints.nextChangeAtMs(nowMs),
			this.#forcedExitAtMs,
		);
	}

	/**
	 * Returns the state that `GET /v1/status` shows.
	 *
	 * @param nowMs - Monotonic time.
	 * @returns The state of the agent.
	 */
	status(nowMs: number): AgentStatus {
		const {workerId, failureDomain, incarnation} = this.#options;
		return {
			workerId,
			failureDomain,
			incarnation,
			ready: this.#workerPoller.isReady && this.#ownerTracker.address !== undefined && this.#signalCount === 0,
			leaving: this.#signalCount > 0,
			epoch: this.#ownerTracker.epoch,
			ownerId: this.#ownerTracker.ownerId,
			degraded: this.#ownerTracker.isDegraded,
			revisionInForce: this.#revisionInForce,
			endpoints: this.#endpoints.reports(nowMs),
			tasks: this.#table.reports(),
		};
	}

	get #mayTaskRun(): boolean {
		return [...this.#table.tasks].some(task => isOnWorker(task));
	}

	#handleEvent(event: AgentEvent, nowMs: number): readonly AgentEffect[] {
		switch (event.kind) {
			case 'message': {
				return this.#handleMessage(event.message, event.from, nowMs);
			}

			case 'announcement': {
				this.#endpoints.announce(event.announcement, nowMs);
				return [];
			}

			case 'factsAnswered': {
				this.#workerPoller.recordFacts(event.result, nowMs);
				return [];
			}

			case 'listAnswered': {
				const list = this.#workerPoller.recordList(event.result);
				return list === undefined ? [] : this.#progress.handleList(list.tasks, list.requestedAtMs, nowMs);
			}

			case 'startAnswered': {
				return this.#progress.handleStartResult(event.key, event.result, nowMs);
			}

			case 'checkpointAnswered': {
				return this.#progress.handleCheckpointResult(event.key, event.result, nowMs);
			}

			case 'throttleAnswered': {
				this.#progress.handleThrottleResult(event.key, event.result);
				return [];
			}

			case 'stopAnswered': {
				return this.#progress.handleStopResult(event.key, event.result, nowMs);
			}

			case 'putAnswered': {
				this.#progress.handlePutResult(event.key, event.result, nowMs);
				return [];
			}

			case 'ownerAnswered': {
				this.#ownerTracker.recordQueryEnd();
				return event.owner === undefined || !this.#workerPoller.isReady ? [] : this.#fence(event.owner).effects;
			}

			case 'shutdownRequested': {
				return this.#handleShutdownRequest(nowMs);
			}
		}
	}

	#handleMessage(message: HeartbeatAck | Command, from: Address, nowMs: number): readonly AgentEffect[] {
		const {workerId, incarnation} = this.#options;
		const isForOtherAgent = message.type === 'command' && (message.workerId !== workerId || message.incarnation !== incarnation);
		if (!this.#workerPoller.isReady || isForOtherAgent) {
			return [];
		}

		const fencing = this.#fence({ownerId: message.ownerId, epoch: message.epoch, address: from});
		if (fencing.isStale) {
			return [];
		}

		return [...fencing.effects, ...(message.type === 'ack' ? this.#handleAck(message, nowMs) : this.#handleCommand(message, nowMs))];
	}

	#fence(owner: OwnerAddress): {readonly isStale: boolean; readonly effects: readonly AgentEffect[]} {
		const outcome = this.#ownerTracker.fence(owner);
		if (outcome !== 'adopted') {
			return {isStale: outcome === 'stale', effects: []};
		}

		this.#shouldSendFacts = true;
		this.#hasUnreportedChange = true;
		return {
			isStale: false,
			effects: [{
				kind: 'log', level: 'info', message: 'owner adopted', fields: {ownerId: owner.ownerId, epoch: owner.epoch},
			}],
		};
	}

	#handleAck(ack: HeartbeatAck, nowMs: number): readonly AgentEffect[] {
		this.#revisionInForce = Math.max(this.#revisionInForce, ack.revision);
		if (ack.wantFacts) {
			this.#shouldSendFacts = true;
			this.#hasUnreportedChange = true;
		}

		const leaseUntilMs = this.#ownerTracker.acknowledge(ack);
		if (leaseUntilMs === undefined || leaseUntilMs <= nowMs) {
			return [];
		}

		const leases = this.#table.renew(ack.renewed, leaseUntilMs);
		return leases.length === 0 ? [] : [{kind: 'renew', leases}];
	}

	#handleCommand(command: Command, nowMs: number): readonly AgentEffect[] {
		const {facts} = this.#workerPoller;
		return facts === undefined
			? []
			: applyCommand(this.#table, command, {
				nowMs,
				capacity: facts.capacity,
				isShuttingDown: this.#signalCount > 0,
				leaseUntilMs: this.#ownerTracker.leaseUntilMs,
				endpointRefusalReason: (endpointId, service) => this.#endpoints.refusalReason(endpointId, service, nowMs),
			});
	}

	#handleShutdownRequest(nowMs: number): readonly AgentEffect[] {
		this.#signalCount += 1;
		this.#hasUnreportedChange = true;
		const effects: AgentEffect[] = [];
		if (this.#signalCount === 2) {
			this.#forcedExitAtMs = nowMs + FORCED_EXIT_TIMEOUT_MS;
		}

		for (const task of this.#table.tasks) {
			if (task.phase === 'prepared') {
				effects.push(...this.#table.beginStop(task, 'agent_leaving'));
			} else if (this.#signalCount === 2) {
				effects.push(...beginCheckpoint(this.#table, task, nowMs));
			}
		}

		return effects;
	}

	#runDueActions(nowMs: number): readonly AgentEffect[] {
		const effects: AgentEffect[] = [...this.#progress.tick(nowMs), ...this.#workerPoller.tick(nowMs, this.#mayTaskRun)];
		const entry = this.#workerPoller.isReady ? this.#ownerTracker.beginDueQuery(nowMs) : undefined;
		if (entry !== undefined) {
			effects.push({kind: 'discover', entry});
		}

		effects.push(...this.#sendDueHeartbeat(nowMs), ...this.#exitIfDone(nowMs));
		return effects;
	}

	#sendDueHeartbeat(nowMs: number): readonly AgentEffect[] {
		if (this.#endpoints.consumeChange(nowMs)) {
			this.#shouldSendFacts = true;
			this.#hasUnreportedChange = true;
		}

		this.#hasUnreportedChange = this.#table.consumeChange() || this.#hasUnreportedChange;
		const {address} = this.#ownerTracker;
		const isRegular = nowMs - this.#lastRegularHeartbeatAtMs >= HEARTBEAT_INTERVAL_MS;
		if (!this.#workerPoller.isReady || address === undefined) {
			this.#hasUnreportedChange = false;
			this.#lastRegularHeartbeatAtMs = isRegular ? nowMs : this.#lastRegularHeartbeatAtMs;
			return [];
		}

		if (!isRegular && (!this.#hasUnreportedChange || nowMs - this.#lastHeartbeatAtMs < MIN_HEARTBEAT_INTERVAL_MS)) {
			return [];
		}

		if (isRegular) {
			this.#ownerTracker.beginInterval();
			this.#regularHeartbeatCount += 1;
			this.#shouldSendFacts ||= this.#regularHeartbeatCount % FACTS_INTERVAL_HEARTBEATS === 0;
			this.#lastRegularHeartbeatAtMs = nowMs;
		}

		this.#hasUnreportedChange = false;
		this.#lastHeartbeatAtMs = nowMs;
		return this.#createHeartbeats(address, nowMs, isRegular);
	}

	#createHeartbeats(address: Address, nowMs: number, isRegular: boolean): readonly AgentEffect[] {
		const {workerId, failureDomain, incarnation, replyPort} = this.#options;
		const parts = splitHeartbeat({
			header: {
				type: 'heartbeat',
				workerId,
				failureDomain,
				incarnation,
				sentAtMs: nowMs,
				epoch: this.#ownerTracker.epoch,
				replyPort,
				revisionInForce: this.#revisionInForce,
				leaving: this.#signalCount > 0,
			},
			facts: this.#shouldSendFacts ? this.#createWorkerFacts(nowMs) : undefined,
			reports: this.#table.reports(),
			// Measured usage lags behind anyway, so heartbeats between two intervals omit it.
			usage: isRegular ? this.#table.usage() : [],
		});
		this.#shouldSendFacts = false;
		return parts.map(part => ({kind: 'send', to: address, message: {...part, sequence: this.#ownerTracker.recordHeartbeatSent(nowMs)}}));
	}

	#createWorkerFacts(nowMs: number): WorkerFacts | undefined {
		const {workerId, failureDomain, rack} = this.#options;
		const {facts} = this.#workerPoller;
		return facts === undefined
			? undefined
			: {
				workerId, failureDomain, rack: rack ?? facts.rack, capacity: facts.capacity, endpoints: this.#endpoints.reports(nowMs),
			};
	}

	#exitIfDone(nowMs: number): readonly AgentEffect[] {
		const isForced = this.#signalCount >= 2;
		const isDone = isForced
			? [...this.#table.tasks].every(task => !isOnWorker(task) && task.phase !== 'storing')
			: this.#signalCount === 1 && this.#table.size === 0;
		// The agent exits only after all changes are reported, unless the forced exit is due.
		if ((!isDone || this.#hasUnreportedChange) && nowMs < this.#forcedExitAtMs) {
			return [];
		}

		this.#hasExited = true;
		return [{kind: 'exit', code: isForced ? AGENT_EXIT_CODES.secondSignal : AGENT_EXIT_CODES.drained}];
	}
}
