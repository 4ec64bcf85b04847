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
import type {AgentEvent, OwnerAddress} from './agent-event.js';
import {isValidMessage} from './message-validation.js';
import {MAX_CONCURRENT_RUNTIME_CALLS} from './platform-clients.js';

/** Task answers that are written to the object store concurrently. */
const MAX_CONCURRENT_PUTS = 2;

/** Bounds how late a tick can be when the rate of the clock changes. */
const MAX_TIMER_DELAY_MS = 1000;

/** The state machine and the clients that its effects are performed with. */
export type AgentDriverOptions = {
	readonly core: AgentCore;
	readonly clock: Clock;
	readonly socket: Socket;
	readonly codec: MessageCodec;
	readonly runtime: WorkerRuntime;
	readonly objects: ObjectStore;
	readonly queryOwner: (entry: Address) => Promise<OwnerAddress | undefined>;
	readonly logger: Logger;
	/** Called once, after the last datagrams have been passed to the kernel. */
	readonly onExit: (code: AgentExitCode) => void;
};

/** Performs the effects of the state machine and dispatches their results to it. */
export class AgentDriver {
	readonly #options: AgentDriverOptions;
	readonly #runtimeCalls = new PQueue({concurrency: MAX_CONCURRENT_RUNTIME_CALLS});
	readonly #puts = new PQueue({concurrency: MAX_CONCURRENT_PUTS});
	#timer: NodeJS.Timeout | undefined;
	#pendingSendCount = 0;
	#exitCode: AgentExitCode | undefined;

	/**
	 * @param options - The state machine and its clients; the socket must be bound.
	 */
	constructor(options: AgentDriverOptions) {
		this.#options = options;
	}

	/** Starts to receive datagrams and schedules the first tick. */
	start(): void {
		this.#options.socket.on('message', (datagram, {address, port}) => {
			this.#handleDatagram(datagram, {host: address, port});
		});
		this.#tick();
	}

	/**
	 * Handles an event and performs its effects.
	 *
	 * @param event - The event.
	 */
	dispatch(event: AgentEvent): void {
		this.#performAll(this.#options.core.handle(event, this.#options.clock.monotonicMs()));
	}

	#handleDatagram(datagram: Uint8Array, from: Address): void {
		const decoded = this.#options.codec.decode(datagram);
		if (!decoded.ok) {
			this.#options.logger.debug('datagram dropped', {reason: decoded.error.kind, from: from.host});
			return;
		}

		if (isValidMessage(decoded.value)) {
			this.dispatch({kind: 'message', message: decoded.value, from});
		}
	}

	#tick(): void {
		this.#performAll(this.#options.core.tick(this.#options.clock.monotonicMs()));
	}

	#performAll(effects: readonly AgentEffect[]): void {
		for (const effect of effects) {
			this.#perform(effect);
		}

		clearTimeout(this.#timer);
		if (this.#exitCode !== undefined) {
			return;
		}

		const nowMs = this.#options.clock.monotonicMs();
		const delayMs = Math.min(Math.max(this.#options.core.nextTickAtMs(nowMs) - nowMs, 1), MAX_TIMER_DELAY_MS);
		this.#timer = setTimeout(() => {
			this.#tick();
		}, Math.ceil(delayMs));
	}

	#perform(effect: AgentEffect): void {
		const {runtime, objects, logger} = this.#options;
		switch (effect.kind) {
			case 'send': {
				this.#send(effect);
				break;
			}

			case 'readFacts': {
				void this.#callRuntime(async () => runtime.facts(), result => ({kind: 'factsAnswered', result}));
				break;
			}

			case 'list': {
				void this.#callRuntime(async () => runtime.list(), result => ({kind: 'listAnswered', result}));
				break;
			}

			case 'start': {
				void this.#callRuntime(async () => this.#start(effect), result => ({kind: 'startAnswered', key: effect.key, result}));
				break;
			}

			case 'renew': {
				void this.#callRuntime(async () => runtime.renew(effect.leases), () => undefined);
				break;
			}

			case 'checkpoint': {
				void this.#callRuntime(async () => runtime.checkpoint(effect.key), result => ({kind: 'checkpointAnswered', key: effect.key, result}));
				break;
			}

			case 'throttle': {
				void this.#callRuntime(async () => runtime.throttle(effect.key), result => ({kind: 'throttleAnswered', key: effect.key, result}));
				break;
			}

			case 'stop': {
				void this.#callRuntime(async () => runtime.stop(effect.key), result => ({kind: 'stopAnswered', key: effect.key, result}));
				break;
			}

			case 'forget': {
				void this.#callRuntime(async () => runtime.forget(effect.key), () => undefined);
				break;
			}

			case 'putAnswer': {
				void this.#callObjectStore(async () => objects.put(effect.objectKey, effect.content), result => ({kind: 'putAnswered', key: effect.key, result}));
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
		this.#pendingSendCount += 1;
		this.#options.socket.send(this.#options.codec.encode(message), to.port, to.host, error => {
			if (error) {
				this.#options.logger.debug('datagram not sent', {error: error.message});
			}

			this.#pendingSendCount -= 1;
			this.#exitWhenSent();
		});
	}

	#exitWhenSent(): void {
		if (this.#exitCode !== undefined && this.#pendingSendCount === 0) {
			this.#options.onExit(this.#exitCode);
		}
	}

	async #start({key, assignment, leaseUntilMs}: Extract<AgentEffect, {kind: 'start'}>): ReturnType<WorkerRuntime['start']> {
		// The call may have been queued until its lease expired.
		return this.#options.clock.monotonicMs() >= leaseUntilMs
			? err({kind: 'unavailable', message: 'the lease expired before the call was made'})
			: this.#options.runtime.start(key, assignment, leaseUntilMs);
	}

	async #callRuntime<Value>(perform: () => Promise<Result<Value, RuntimeError>>, toEvent: (result: Result<Value, RuntimeError>) => AgentEvent | undefined): Promise<void> {
		const result = await this.#runtimeCalls.add(async () => toResult<Value, RuntimeError>(perform));
		this.#dispatchResult(toEvent(result));
	}

	async #callObjectStore(perform: () => Promise<Result<undefined, ObjectError>>, toEvent: (result: Result<undefined, ObjectError>) => AgentEvent): Promise<void> {
		const result = await this.#puts.add(async () => toResult<undefined, ObjectError>(perform));
		this.#dispatchResult(toEvent(result));
	}

	async #discover(entry: Address): Promise<void> {
		const owner = await this.#options.queryOwner(entry);
		this.#dispatchResult({kind: 'ownerAnswered', owner});
	}

	#dispatchResult(event: AgentEvent | undefined): void {
		if (event !== undefined && this.#exitCode === undefined) {
			this.dispatch(event);
		}
	}
}

type UnknownOutcome = {readonly kind: 'outcome_unknown'; readonly message: string};

/** Converts a rejected promise to a result, because an exception must not end the agent while tasks run. */
async function toResult<Value, Failure>(perform: () => Promise<Result<Value, Failure>>): Promise<Result<Value, Failure | UnknownOutcome>> {
	try {
		return await perform();
	} catch (error) {
		return err({kind: 'outcome_unknown', message: String(error)});
	}
}
