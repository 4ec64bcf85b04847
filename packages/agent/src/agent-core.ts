import {
	type Address,
	CHECKPOINT_GRACE_MS,
	type Command,
	HEARTBEAT_INTERVAL_MS,
	type HeartbeatAck,
	TASK_STOP_MS,
	type WorkerFacts,
} from '@amaranthsail/core';
import {AGENT_EXIT_CODES, type AgentEffect} from './agent-effect.js';
import type {AgentEvent, OwnerAnswer} from './agent-event.js';
import type {AgentCoreOptions, AgentStatus} from './agent-options.js';
import {EndpointRegistry} from './endpoint-registry.js';
import {splitHeartbeat} from './heartbeat-parts.js';
import {isOnWorker} from './agent-task.js';
import {OwnerLink} from './owner-tracker.js';
import {applyCommand, beginCheckpoint} from './task-commands.js';
import {TaskProgress} from './task-progress.js';
import {TaskTable} from './task-table.js';
import {WorkerWatch} from './worker-poller.js';

/** Shortest time between two heartbeats; changes within it share one. */
export const HEARTBEAT_SPACING_MS = 20;

/** Every n-th heartbeat interval brings the facts of the worker. */
export const FACTS_EVERY_BEATS = 10;

/** Longest time from the second signal to the exit: a checkpoint, a stop and half a second for the last reports. */
export const FORCED_EXIT_MS = CHECKPOINT_GRACE_MS + TASK_STOP_MS + 500;

/** The agent's state machine. It does no I/O and reads no clock; a driver performs its effects in order. */
export class AgentCore {
	readonly #options: AgentCoreOptions;
	readonly #endpoints = new EndpointRegistry();
	readonly #table = new TaskTable();
	readonly #progress: TaskProgress;
	readonly #owner: OwnerLink;
	readonly #worker = new WorkerWatch();
	#beatAtMs = Number.NEGATIVE_INFINITY;
	#sentAtMs = Number.NEGATIVE_INFINITY;
	#beats = 0;
	#isDirty = false;
	#factsDue = true;
	#revision = 0;
	#signals = 0;
	#forcedExitAtMs = Number.POSITIVE_INFINITY;
	#hasExited = false;

	/**
	 * @param options - Identity and addresses of the agent.
	 */
	constructor(options: AgentCoreOptions) {
		this.#options = options;
		this.#owner = new OwnerLink(options.entryAddresses);
		this.#progress = new TaskProgress(this.#table, options.random);
	}

	/**
	 * Handles one input.
	 *
	 * @param event - The input.
	 * @param nowMs - Monotonic time at which it is handled.
	 * @returns What to do, in order.
	 */
	handle(event: AgentEvent, nowMs: number): readonly AgentEffect[] {
		if (this.#hasExited) {
			return [];
		}

		const lapsed = this.#table.lapse(nowMs);
		const effects = this.#apply(event, nowMs);
		return [...lapsed, ...effects, ...this.#settle(nowMs)];
	}

	/**
	 * Does what is due by time alone.
	 *
	 * @param nowMs - Monotonic time.
	 * @returns What to do, in order.
	 */
	tick(nowMs: number): readonly AgentEffect[] {
		return this.#hasExited ? [] : [...this.#table.lapse(nowMs), ...this.#settle(nowMs)];
	}

	/**
	 * Names the time by which {@link tick} has to be called next. A later call is safe: lapses are noticed first.
	 *
	 * @param nowMs - Monotonic time.
	 * @returns Monotonic time.
	 */
	nextTickAtMs(nowMs: number): number {
		return Math.min(
			this.#worker.nextDueAtMs(this.#isBusy),
			this.#beatAtMs + HEARTBEAT_INTERVAL_MS,
			this.#isDirty ? this.#sentAtMs + HEARTBEAT_SPACING_MS : Number.POSITIVE_INFINITY,
			this.#worker.isReady ? this.#owner.discoverAtMs() : Number.POSITIVE_INFINITY,
			this.#progress.nextDueAtMs(),
			this.#table.nextLapseAtMs(),
			this.#endpoints.nextChangeAtMs(nowMs),
			this.#forcedExitAtMs,
		);
	}

	/**
	 * Shows the state for operators.
	 *
	 * @param nowMs - Monotonic time.
	 * @returns The state.
	 */
	status(nowMs: number): AgentStatus {
		const {workerId, failureDomain, incarnation} = this.#options;
		return {
			workerId,
			failureDomain,
			incarnation,
			ready: this.#worker.isReady && this.#owner.address !== undefined && this.#signals === 0,
			leaving: this.#signals > 0,
			epoch: this.#owner.epoch,
			ownerId: this.#owner.ownerId,
			degraded: this.#owner.degraded,
			revisionInForce: this.#revision,
			endpoints: this.#endpoints.reports(nowMs),
			tasks: this.#table.reports(),
		};
	}

	get #isBusy(): boolean {
		return [...this.#table.tasks].some(task => isOnWorker(task));
	}

	#apply(event: AgentEvent, nowMs: number): readonly AgentEffect[] {
		switch (event.kind) {
			case 'message': {
				return this.#receive(event.message, event.from, nowMs);
			}

			case 'announcement': {
				this.#endpoints.announce(event.announcement, nowMs);
				return [];
			}

			case 'factsAnswered': {
				this.#worker.takeFacts(event.result, nowMs);
				return [];
			}

			case 'listAnswered': {
				const listed = this.#worker.takeList(event.result);
				return listed === undefined ? [] : this.#progress.listed(listed.tasks, listed.askedAtMs, nowMs);
			}

			case 'startAnswered': {
				return this.#progress.started(event.key, event.result, nowMs);
			}

			case 'checkpointAnswered': {
				return this.#progress.checkpointAnswered(event.key, event.result, nowMs);
			}

			case 'throttleAnswered': {
				this.#progress.throttleAnswered(event.key, event.result);
				return [];
			}

			case 'stopAnswered': {
				return this.#progress.stopAnswered(event.key, event.result, nowMs);
			}

			case 'putAnswered': {
				this.#progress.putAnswered(event.key, event.result, nowMs);
				return [];
			}

			case 'ownerAnswered': {
				this.#owner.recordAnswered();
				return event.owner === undefined || !this.#worker.isReady ? [] : this.#fence(event.owner).effects;
			}

			case 'shutdownRequested': {
				return this.#shutDown(nowMs);
			}
		}
	}

	#receive(message: HeartbeatAck | Command, from: Address, nowMs: number): readonly AgentEffect[] {
		const {workerId, incarnation} = this.#options;
		const isOther = message.type === 'command' && (message.workerId !== workerId || message.incarnation !== incarnation);
		if (!this.#worker.isReady || isOther) {
			return [];
		}

		const fenced = this.#fence({ownerId: message.ownerId, epoch: message.epoch, address: from});
		if (fenced.isStale) {
			return [];
		}

		return [...fenced.effects, ...(message.type === 'ack' ? this.#acknowledge(message, nowMs) : this.#command(message, nowMs))];
	}

	#fence(owner: OwnerAnswer): {readonly isStale: boolean; readonly effects: readonly AgentEffect[]} {
		const outcome = this.#owner.fence(owner);
		if (outcome !== 'adopted') {
			return {isStale: outcome === 'stale', effects: []};
		}

		this.#factsDue = true;
		this.#isDirty = true;
		return {
			isStale: false,
			effects: [{
				kind: 'log', level: 'info', message: 'owner adopted', fields: {ownerId: owner.ownerId, epoch: owner.epoch},
			}],
		};
	}

	#acknowledge(ack: HeartbeatAck, nowMs: number): readonly AgentEffect[] {
		this.#revision = Math.max(this.#revision, ack.revision);
		if (ack.wantFacts) {
			this.#factsDue = true;
			this.#isDirty = true;
		}

		const leaseUntilMs = this.#owner.acknowledge(ack);
		if (leaseUntilMs === undefined || leaseUntilMs <= nowMs) {
			return [];
		}

		const leases = this.#table.renew(ack.renewed, leaseUntilMs);
		return leases.length === 0 ? [] : [{kind: 'renew', leases}];
	}

	#command(command: Command, nowMs: number): readonly AgentEffect[] {
		const {facts} = this.#worker;
		return facts === undefined
			? []
			: applyCommand(this.#table, command, {
				nowMs,
				capacity: facts.capacity,
				isLeaving: this.#signals > 0,
				leaseUntilMs: this.#owner.leaseUntilMs,
				endpointRefusal: (endpointId, service) => this.#endpoints.refusal(endpointId, service, nowMs),
			});
	}

	#shutDown(nowMs: number): readonly AgentEffect[] {
		this.#signals += 1;
		this.#isDirty = true;
		const effects: AgentEffect[] = [];
		if (this.#signals === 2) {
			this.#forcedExitAtMs = nowMs + FORCED_EXIT_MS;
		}

		for (const task of this.#table.tasks) {
			if (task.phase === 'prepared') {
				effects.push(...this.#table.beginStop(task, 'agent_leaving'));
			} else if (this.#signals === 2) {
				effects.push(...beginCheckpoint(this.#table, task, nowMs));
			}
		}

		return effects;
	}

	#settle(nowMs: number): readonly AgentEffect[] {
		const effects: AgentEffect[] = [...this.#progress.tick(nowMs), ...this.#worker.tick(nowMs, this.#isBusy)];
		const entry = this.#worker.isReady ? this.#owner.takeDiscovery(nowMs) : undefined;
		if (entry !== undefined) {
			effects.push({kind: 'discover', entry});
		}

		effects.push(...this.#beat(nowMs), ...this.#exit(nowMs));
		return effects;
	}

	#beat(nowMs: number): readonly AgentEffect[] {
		if (this.#endpoints.takeChange(nowMs)) {
			this.#factsDue = true;
			this.#isDirty = true;
		}

		this.#isDirty = this.#table.takeChange() || this.#isDirty;
		const {address} = this.#owner;
		const isRegular = nowMs - this.#beatAtMs >= HEARTBEAT_INTERVAL_MS;
		if (!this.#worker.isReady || address === undefined) {
			this.#isDirty = false;
			this.#beatAtMs = isRegular ? nowMs : this.#beatAtMs;
			return [];
		}

		if (!isRegular && (!this.#isDirty || nowMs - this.#sentAtMs < HEARTBEAT_SPACING_MS)) {
			return [];
		}

		if (isRegular) {
			this.#owner.recordBeat();
			this.#beats += 1;
			this.#factsDue ||= this.#beats % FACTS_EVERY_BEATS === 0;
			this.#beatAtMs = nowMs;
		}

		this.#isDirty = false;
		this.#sentAtMs = nowMs;
		return this.#heartbeats(address, nowMs, isRegular);
	}

	#heartbeats(address: Address, nowMs: number, isRegular: boolean): readonly AgentEffect[] {
		const {workerId, failureDomain, incarnation, replyPort} = this.#options;
		const parts = splitHeartbeat({
			header: {
				type: 'heartbeat',
				workerId,
				failureDomain,
				incarnation,
				sentAtMs: nowMs,
				epoch: this.#owner.epoch,
				replyPort,
				revisionInForce: this.#revision,
				leaving: this.#signals > 0,
			},
			facts: this.#factsDue ? this.#workerFacts(nowMs) : undefined,
			reports: this.#table.reports(),
			// Use lags behind anyway, so changes between two intervals are reported without it.
			usage: isRegular ? this.#table.usage() : [],
		});
		this.#factsDue = false;
		return parts.map(part => ({kind: 'send', to: address, message: {...part, sequence: this.#owner.recordSent(nowMs)}}));
	}

	#workerFacts(nowMs: number): WorkerFacts | undefined {
		const {workerId, failureDomain, rack} = this.#options;
		const {facts} = this.#worker;
		return facts === undefined
			? undefined
			: {
				workerId, failureDomain, rack: rack ?? facts.rack, capacity: facts.capacity, endpoints: this.#endpoints.reports(nowMs),
			};
	}

	#exit(nowMs: number): readonly AgentEffect[] {
		const isForced = this.#signals >= 2;
		const isOver = isForced
			? [...this.#table.tasks].every(task => !isOnWorker(task) && task.phase !== 'storing')
			: this.#signals === 1 && this.#table.size === 0;
		// The last report is sent before the exit.
		if ((!isOver || this.#isDirty) && nowMs < this.#forcedExitAtMs) {
			return [];
		}

		this.#hasExited = true;
		return [{kind: 'exit', code: isForced ? AGENT_EXIT_CODES.secondSignal : AGENT_EXIT_CODES.drained}];
	}
}
