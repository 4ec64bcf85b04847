import {Buffer} from 'node:buffer';
import {
	type Command, type CommandKind, err, formatTaskKey, type Heartbeat, type HeartbeatAck, ok, type TaskAssignment, type TaskKey, type TaskReport,
} from '@amaranthsail/core';
import type {RuntimeError, RuntimeTask} from '@amaranthsail/backing-services';
import {
	AgentCore, type AgentEffect, type AgentEvent, type AgentExitCode,
} from '@amaranthsail/agent';

export const OWNER_ADDRESS = {host: '127.0.0.1', port: 7500};
export const NEXT_OWNER_ADDRESS = {host: '127.0.0.1', port: 7501};
export const ENTRY_ADDRESSES = [{host: '127.0.0.1', port: 7001}, {host: '127.0.0.1', port: 7002}];

export const TASK: TaskKey = {jobId: 'job-a', attempt: 1, taskIndex: 0};

export const ASSIGNMENT: TaskAssignment = {
	account: 'account-a',
	service: 'register',
	operation: 'revaluation',
	endpointId: 'endpoint-a',
	shape: {
		slots: 1, connections: 8, processors: 2, memoryMb: 1000, accelerators: 2,
	},
	accelerators: [0, 1],
	taskCount: 1,
	repeatable: false,
	checkpointable: true,
};

/** Runs an AgentCore on virtual time with a simulated worker, object store, owner and endpoint that can each fail. */
export class AgentHarness {
	nowMs = 0;
	readonly effects: AgentEffect[] = [];
	readonly heartbeats: Heartbeat[] = [];
	readonly worker = new Map<string, RuntimeTask>();
	readonly core = new AgentCore({
		workerId: 'worker-a', failureDomain: 'catania', incarnation: 'incarnation-2', entryAddresses: ENTRY_ADDRESSES, replyPort: 7411, random: () => 0.5,
	});

	epoch = 3;
	ownerId = 'owner-3';
	revision = 7;
	isDegraded = false;
	isAnnouncing = true;
	isLeaving = false;
	isAcknowledging = true;
	isRenewing = true;
	isStoreUp = true;
	isWorkerAnswering = true;
	/** Error of start calls; with `outcome_unknown` the task starts nevertheless. */
	startError: RuntimeError | undefined;
	stopError: RuntimeError | undefined;
	/** Called with each effect before it is performed. */
	onEffect: ((effect: AgentEffect) => void) | undefined;
	announcedAtMs = Number.NEGATIVE_INFINITY;

	/** Runs the agent until it reports to an owner. */
	boot(): this {
		this.advance(500);
		return this;
	}

	dispatch(event: AgentEvent): readonly AgentEffect[] {
		const effects = this.core.handle(event, this.nowMs);
		this.#perform(effects);
		return effects;
	}

	/** Advances the time, with a tick at each time at which something is due. */
	advance(byMs: number): void {
		const untilMs = this.nowMs + byMs;
		while (this.nowMs <= untilMs) {
			if (this.isAnnouncing && this.nowMs - this.announcedAtMs >= 1000) {
				this.announce();
			}

			this.#perform(this.core.tick(this.nowMs));
			const dueMs = this.isAnnouncing ? this.announcedAtMs + 1000 : Number.POSITIVE_INFINITY;
			this.nowMs = Math.max(this.nowMs + 1, Math.min(this.core.nextTickAtMs(this.nowMs), dueMs, untilMs + 1));
		}

		this.nowMs = untilMs;
	}

	/** Advances the time without running the agent, as when its process is paused. */
	pause(byMs: number): void {
		this.nowMs += byMs;
	}

	announce(): void {
		this.announcedAtMs = this.nowMs;
		this.dispatch({kind: 'announcement', announcement: {endpointId: 'endpoint-a', service: 'register', leaving: this.isLeaving}});
	}

	createCommand(kind: CommandKind, changes: Partial<Command> = {}): Command {
		return {
			type: 'command',
			kind,
			ownerId: this.ownerId,
			epoch: this.epoch,
			workerId: 'worker-a',
			incarnation: 'incarnation-2',
			task: TASK,
			...(kind === 'prepare' && {assignment: ASSIGNMENT, holdMs: 5000}),
			...changes,
		};
	}

	command(kind: CommandKind, changes: Partial<Command> = {}, from = OWNER_ADDRESS): readonly AgentEffect[] {
		return this.dispatch({kind: 'message', from, message: this.createCommand(kind, changes)});
	}

	ack(heartbeat: Heartbeat, changes: Partial<HeartbeatAck> = {}, from = OWNER_ADDRESS): readonly AgentEffect[] {
		return this.dispatch({
			kind: 'message',
			from,
			message: {
				type: 'ack',
				ownerId: this.ownerId,
				epoch: this.epoch,
				sequence: heartbeat.sequence,
				sentAtMs: heartbeat.sentAtMs,
				degraded: this.isDegraded,
				revision: this.revision,
				wantFacts: false,
				renewed: this.isRenewing ? heartbeat.reports.map(({jobId, attempt, taskIndex}) => ({jobId, attempt, taskIndex})) : [],
				...changes,
			},
		});
	}

	/** Prepares and releases the task, and advances the time until the worker has confirmed the start. */
	runTask(changes: Partial<Command> = {}): this {
		this.command('prepare', changes);
		this.command('release', changes);
		this.advance(50);
		return this;
	}

	/** Replaces the task in the worker's list. */
	setWorkerTask(changes: Partial<RuntimeTask>, key = TASK): void {
		this.worker.set(formatTaskKey(key), {key, state: 'running', ...changes});
	}

	finishTask(text = 'answer'): void {
		this.setWorkerTask({state: 'finished', answerBase64: Buffer.from(text).toString('base64')});
	}

	report(key = TASK): TaskReport | undefined {
		return this.core.status(this.nowMs).tasks.find(task => formatTaskKey(task) === formatTaskKey(key));
	}

	effectsOf<Kind extends AgentEffect['kind']>(kind: Kind): ReadonlyArray<Extract<AgentEffect, {kind: Kind}>> {
		return this.effects.filter((effect): effect is Extract<AgentEffect, {kind: Kind}> => effect.kind === kind);
	}

	get exitCode(): AgentExitCode | undefined {
		return this.effectsOf('exit')[0]?.code;
	}

	#perform(effects: readonly AgentEffect[]): void {
		this.effects.push(...effects);
		for (const effect of effects) {
			this.onEffect?.(effect);
			const event = this.#respond(effect);
			if (event !== undefined) {
				this.dispatch(event);
			}
		}
	}

	#respond(effect: AgentEffect): AgentEvent | undefined {
		switch (effect.kind) {
			case 'readFacts': {
				return {
					kind: 'factsAnswered', result: ok({
						rack: 'rack-1', capacity: {
							slots: 8, connections: 64, processors: 30, memoryMb: 64_000, accelerators: 8,
						},
					}),
				};
			}

			case 'list': {
				return {kind: 'listAnswered', result: this.isWorkerAnswering ? ok([...this.worker.values()]) : err({kind: 'unavailable', message: 'down'})};
			}

			case 'start': {
				return this.#start(effect.key);
			}

			case 'stop': {
				return this.#stop(effect.key);
			}

			case 'forget': {
				this.worker.delete(formatTaskKey(effect.key));
				return undefined;
			}

			case 'putAnswer': {
				return {kind: 'putAnswered', key: effect.key, result: this.isStoreUp ? ok(undefined) : err({kind: 'unavailable', message: 'down'})};
			}

			case 'discover': {
				return {kind: 'ownerAnswered', owner: {ownerId: this.ownerId, epoch: this.epoch, address: OWNER_ADDRESS}};
			}

			case 'send': {
				this.heartbeats.push(effect.message);
				if (this.isAcknowledging) {
					this.ack(effect.message);
				}

				return undefined;
			}

			case 'renew':
			case 'checkpoint':
			case 'throttle':
			case 'log':
			case 'exit': {
				return undefined;
			}
		}
	}

	#start(key: TaskKey): AgentEvent {
		if (this.startError === undefined || this.startError.kind === 'outcome_unknown') {
			this.setWorkerTask({state: 'running'}, key);
		}

		return {kind: 'startAnswered', key, result: this.startError === undefined ? ok({key, state: 'running'}) : err(this.startError)};
	}

	#stop(key: TaskKey): AgentEvent {
		if (this.stopError !== undefined) {
			return {kind: 'stopAnswered', key, result: err(this.stopError)};
		}

		const knownTask = this.worker.get(formatTaskKey(key));
		const stopped: RuntimeTask = {...knownTask, key, state: knownTask?.state === 'finished' ? 'finished' : 'stopped'};
		this.worker.set(formatTaskKey(key), stopped);
		return {kind: 'stopAnswered', key, result: ok(stopped)};
	}
}
