import type {Socket} from 'node:dgram';
import {
	type Address, type Clock, err, type Logger, type MessageCodec, type Result,
} from '@amaranthsail/core';
import type {
	ObjectError, ObjectStore, RuntimeError, WorkerRuntime,
} from '@amaranthsail/backing-services';
import PQueue from 'p-queue';
import type {AgentCore} from './agent-core.js';
import type {AgentEffect, AgentExitCode} from './agent-effect.js';
import type {AgentEvent, OwnerAnswer} from './agent-event.js';
import {isUsableMessage} from './message-validation.js';
import {RUNTIME_CONCURRENCY} from './platform-clients.js';

/** Answers that are put at one time. */
const PUT_CONCURRENCY = 2;

/** Longest sleep, which bounds how late a change of the clock's rate is noticed. */
const MAX_SLEEP_MS = 1000;

/** What a driver connects the state machine to. */
export type AgentDriverOptions = {
	readonly core: AgentCore;
	readonly clock: Clock;
	readonly socket: Socket;
	readonly codec: MessageCodec;
	readonly runtime: WorkerRuntime;
	readonly objects: ObjectStore;
	readonly queryOwner: (entry: Address) => Promise<OwnerAnswer | undefined>;
	readonly logger: Logger;
	/** Called once, after the last datagrams were handed to the kernel. */
	readonly onExit: (code: AgentExitCode) => void;
};

/** Performs the effects of the state machine and feeds their results back. */
export class AgentDriver {
	readonly #options: AgentDriverOptions;
	readonly #runtimeCalls = new PQueue({concurrency: RUNTIME_CONCURRENCY});
	readonly #puts = new PQueue({concurrency: PUT_CONCURRENCY});
	#timer: NodeJS.Timeout | undefined;
	#unsent = 0;
	#exitCode: AgentExitCode | undefined;

	/**
	 * @param options - The state machine and its surroundings; the socket is bound.
	 */
	constructor(options: AgentDriverOptions) {
		this.#options = options;
	}

	/** Begins to receive and to keep time. */
	start(): void {
		this.#options.socket.on('message', (datagram, {address, port}) => {
			this.#receive(datagram, {host: address, port});
		});
		this.#tick();
	}

	/**
	 * Handles one input at once.
	 *
	 * @param event - The input.
	 */
	dispatch(event: AgentEvent): void {
		this.#run(this.#options.core.handle(event, this.#options.clock.monotonicMs()));
	}

	#receive(datagram: Uint8Array, from: Address): void {
		const decoded = this.#options.codec.decode(datagram);
		if (!decoded.ok) {
			this.#options.logger.debug('datagram dropped', {reason: decoded.error.kind, from: from.host});
			return;
		}

		if (isUsableMessage(decoded.value)) {
			this.dispatch({kind: 'message', message: decoded.value, from});
		}
	}

	#tick(): void {
		this.#run(this.#options.core.tick(this.#options.clock.monotonicMs()));
	}

	#run(effects: readonly AgentEffect[]): void {
		for (const effect of effects) {
			this.#perform(effect);
		}

		clearTimeout(this.#timer);
		if (this.#exitCode !== undefined) {
			return;
		}

		const nowMs = this.#options.clock.monotonicMs();
		const sleepMs = Math.min(Math.max(this.#options.core.nextTickAtMs(nowMs) - nowMs, 1), MAX_SLEEP_MS);
		this.#timer = setTimeout(() => {
			this.#tick();
		}, Math.ceil(sleepMs));
	}

	#perform(effect: AgentEffect): void {
		const {runtime, objects, logger} = this.#options;
		switch (effect.kind) {
			case 'send': {
				this.#send(effect);
				break;
			}

			case 'readFacts': {
				void this.#call(async () => runtime.facts(), result => ({kind: 'factsAnswered', result}));
				break;
			}

			case 'list': {
				void this.#call(async () => runtime.list(), result => ({kind: 'listAnswered', result}));
				break;
			}

			case 'start': {
				void this.#call(async () => this.#start(effect), result => ({kind: 'startAnswered', key: effect.key, result}));
				break;
			}

			case 'renew': {
				void this.#call(async () => runtime.renew(effect.leases), () => undefined);
				break;
			}

			case 'checkpoint': {
				void this.#call(async () => runtime.checkpoint(effect.key), result => ({kind: 'checkpointAnswered', key: effect.key, result}));
				break;
			}

			case 'throttle': {
				void this.#call(async () => runtime.throttle(effect.key), result => ({kind: 'throttleAnswered', key: effect.key, result}));
				break;
			}

			case 'stop': {
				void this.#call(async () => runtime.stop(effect.key), result => ({kind: 'stopAnswered', key: effect.key, result}));
				break;
			}

			case 'forget': {
				void this.#call(async () => runtime.forget(effect.key), () => undefined);
				break;
			}

			case 'putAnswer': {
				void this.#put(async () => objects.put(effect.objectKey, effect.content), result => ({kind: 'putAnswered', key: effect.key, result}));
				break;
			}

			case 'discover': {
				void this.#discover(effect.entry);
				break;
			}

			case 'log': {
				logger[effect.level](effect.message, effect.fields);
				break;
			}

			case 'exit': {
				this.#exitCode = effect.code;
				this.#exitWhenSent();
			}
		}
	}

	#send({to, message}: Extract<AgentEffect, {kind: 'send'}>): void {
		this.#unsent += 1;
		this.#options.socket.send(this.#options.codec.encode(message), to.port, to.host, error => {
			if (error) {
				this.#options.logger.debug('datagram not sent', {error: error.message});
			}

			this.#unsent -= 1;
			this.#exitWhenSent();
		});
	}

	#exitWhenSent(): void {
		if (this.#exitCode !== undefined && this.#unsent === 0) {
			this.#options.onExit(this.#exitCode);
		}
	}

	async #start({key, assignment, leaseUntilMs}: Extract<AgentEffect, {kind: 'start'}>): ReturnType<WorkerRuntime['start']> {
		// The call may have waited for others longer than its lease.
		return this.#options.clock.monotonicMs() >= leaseUntilMs
			? err({kind: 'unavailable', message: 'the lease lapsed before the call'})
			: this.#options.runtime.start(key, assignment, leaseUntilMs);
	}

	async #call<Value>(perform: () => Promise<Result<Value, RuntimeError>>, toEvent: (result: Result<Value, RuntimeError>) => AgentEvent | undefined): Promise<void> {
		const result = await this.#runtimeCalls.add(async () => settle<Value, RuntimeError>(perform));
		this.#answered(toEvent(result));
	}

	async #put(perform: () => Promise<Result<undefined, ObjectError>>, toEvent: (result: Result<undefined, ObjectError>) => AgentEvent): Promise<void> {
		const result = await this.#puts.add(async () => settle<undefined, ObjectError>(perform));
		this.#answered(toEvent(result));
	}

	async #discover(entry: Address): Promise<void> {
		const owner = await this.#options.queryOwner(entry);
		this.#answered({kind: 'ownerAnswered', owner});
	}

	#answered(event: AgentEvent | undefined): void {
		if (event !== undefined && this.#exitCode === undefined) {
			this.dispatch(event);
		}
	}
}

type UnknownOutcome = {readonly kind: 'outcome_unknown'; readonly message: string};

/** Turns a rejected promise into a result, because a call that throws must not end the agent while tasks run. */
async function settle<Value, Failure>(perform: () => Promise<Result<Value, Failure>>): Promise<Result<Value, Failure | UnknownOutcome>> {
	try {
		return await perform();
	} catch (error) {
		return err({kind: 'outcome_unknown', message: String(error)});
	}
}
