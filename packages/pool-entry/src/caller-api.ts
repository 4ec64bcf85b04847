import type {IncomingMessage, ServerResponse} from 'node:http';
import {type Clock, type Logger, parseJson} from '@amaranthsail/core';
import {
	type CallerHeaders, decodeCallerHeaders, decodeJobSpec, encodeJobState, encodePending, isJobId,
} from '@amaranthsail/platform-adapter';
import type {ClientAccount, JobRow, Queue} from '@amaranthsail/pool';
import {
	type ProcessMetrics, readBody, type RouteAnswer, sendJson,
} from '@amaranthsail/pool-runtime';
import type {ConfigFollower, KnownConfig} from './config-follower.js';
import type {IntakeOutcome, JobIntake} from './job-intake.js';

/** Callers that send no deadline wait this long. */
const DEFAULT_DEADLINE_MS = 3000;

/** Time kept for the way of an answer back to the caller. */
const ANSWER_MARGIN_MS = 200;

/** Time for which a job is tried to be stored before it is refused, so that the caller can come back elsewhere. */
const SUBMIT_BUDGET_MS = 1200;

/** Share of the caller's deadline that such trying may use. */
const SUBMIT_BUDGET_SHARE = 0.45;

/** A configuration that was confirmed this recently needs no reading before a request is refused by it. */
const FRESH_CONFIG_MS = 150;

/** Largest body of a caller. */
const MAX_BODY_BYTES = 262_144;

/** When to come back after a refusal: the store or a leader is usually back by then. */
const RETRY_AFTER_S = '1';

/** Changes of the configuration during one request that are followed. */
const MAX_CONFIG_CHANGES = 3;

/** What the callers' API works with. */
export type CallerApiDependencies = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: ProcessMetrics;
	readonly config: ConfigFollower;
	readonly intake: JobIntake;
	/** Whether the known configuration may still be relied on. */
	readonly isConfigUsable: () => boolean;
	/** Jobs of a queue that have not started; undefined when no leader has told lately. */
	readonly pendingOf: (queue: string) => number | undefined;
	/** Whether the process is going to stop. */
	readonly isStopping: () => boolean;
};

type CallerRequest = CallerHeaders & {readonly method: string; readonly path: string; readonly body: string | undefined};

type Selected = {readonly known: KnownConfig; readonly queue: Queue; readonly account: ClientAccount | undefined; readonly jobId: string};

/** Serves callers. */
export class CallerApi {
	readonly #deps: CallerApiDependencies;

	/** @param deps - What the API works with. */
	constructor(deps: CallerApiDependencies) {
		this.#deps = deps;
	}

	/**
	 * Answers one request.
	 *
	 * @param message - The request.
	 * @param response - Where the answer goes.
	 */
	async serve(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const startedAtMs = this.#deps.clock.monotonicMs();
		const body = await readBody(message, MAX_BODY_BYTES);
		const request: CallerRequest = {...decodeCallerHeaders(message.headers), method: message.method ?? '', path: (message.url ?? '').split('?')[0]!, body};
		const answer = await this.#answer(request);
		const tookMs = this.#deps.clock.monotonicMs() - startedAtMs;
		sendJson(response, answer, {
			...((answer.status === 503 || answer.status === 429) && {'retry-after': RETRY_AFTER_S}),
			...(this.#deps.isStopping() && {connection: 'close'}),
		});
		const {known} = this.#deps.config;
		this.#deps.logger.info('request answered', {
			method: request.method, path: request.path, host: request.host, status: answer.status, tookMs: Math.round(tookMs), configVersion: known?.config.version ?? 'none', configAgeMs: Math.round(Math.min(this.#deps.config.ageMs, 1e6)), deadlineMs: request.deadlineMs ?? 'none', ...(answer.body !== undefined && {answer: answer.body}),
		});
		this.#deps.metrics.observe('request', tookMs, {method: request.method, status: String(answer.status)});
	}

	async #answer(request: CallerRequest): Promise<RouteAnswer> {
		const endMs = this.#deps.clock.monotonicMs() + Math.max(ANSWER_MARGIN_MS, (request.deadlineMs ?? DEFAULT_DEADLINE_MS) - ANSWER_MARGIN_MS);
		for (let change = 0; change < MAX_CONFIG_CHANGES; change++) {
			const selected = await this.#select(request);
			if ('status' in selected) {
				return selected;
			}

			const outcome = await this.#handle(request, selected, endMs - this.#deps.clock.monotonicMs());
			if ('status' in outcome) {
				return outcome;
			}

			if (outcome.kind !== 'configuration_changed') {
				return answerOf(outcome);
			}

			await this.#deps.config.refresh();
		}

		return {status: 503, body: {problem: 'the configuration keeps changing'}};
	}

	async #handle(request: CallerRequest, selected: Selected, remainingMs: number): Promise<IntakeOutcome | RouteAnswer> {
		const {jobId, queue, account, known} = selected;
		const accountName = account?.name ?? '';
		if (jobId === '') {
			return this.#pending(request, queue);
		}

		if (!isJobId(jobId)) {
			return {status: 400, body: {problem: 'job id: expected 16 hexadecimal digits'}};
		}

		switch (request.method) {
			case 'POST': {
				const spec = decodeJobSpec(request.body === undefined ? undefined : parseJson(request.body));
				if ('problem' in spec) {
					return {status: 400, body: spec};
				}

				const row: JobRow = {queue: queue.name, account: accountName, acceptedAtMs: this.#deps.clock.wallMs(), spec};
				return this.#deps.intake.submit({jobId, row, configRow: known.row, budgetMs: Math.min(SUBMIT_BUDGET_MS, remainingMs, (request.deadlineMs ?? DEFAULT_DEADLINE_MS) * SUBMIT_BUDGET_SHARE), deadlineMs: remainingMs});
			}

			case 'GET': {
				return this.#deps.intake.state(jobId, accountName, remainingMs);
			}

			case 'DELETE': {
				return this.#deps.intake.cancel(jobId, accountName, remainingMs);
			}

			default: {
				return {status: 405, body: {problem: 'expected POST, GET or DELETE'}};
			}
		}
	}

	#pending(request: CallerRequest, queue: Queue): RouteAnswer {
		if (request.method !== 'GET') {
			return {status: 405, body: {problem: 'expected GET, or an id after the prefix'}};
		}

		const pending = this.#deps.pendingOf(queue.name);
		return pending === undefined
			? {status: 503, body: {problem: 'no leader has reported yet'}}
			: {status: 200, body: encodePending(pending)};
	}

	/** Finds queue and account; before a refusal the newest configuration is read. */
	async #select(request: CallerRequest): Promise<Selected | RouteAnswer> {
		const {config} = this.#deps;
		if (!config.known || !this.#deps.isConfigUsable()) {
			await config.refresh();
			if (!config.known || !this.#deps.isConfigUsable()) {
				return {status: 503, body: {problem: 'no current configuration'}};
			}
		}

		const selected = selectFrom(config.known, request);
		if (!('status' in selected) || config.ageMs < FRESH_CONFIG_MS) {
			return selected;
		}

		await config.refresh();
		return selectFrom(config.known, request);
	}
}

function selectFrom(known: KnownConfig, request: CallerRequest): Selected | RouteAnswer {
	let queue: Queue | undefined;
	for (const candidate of known.config.queues) {
		if (candidate.host.toLowerCase() === request.host && request.path.startsWith(candidate.pathPrefix)
			&& candidate.pathPrefix.length > (queue?.pathPrefix.length ?? -1)) {
			queue = candidate;
		}
	}

	if (!queue) {
		return {status: 404, body: {problem: 'no such queue'}};
	}

	const account = request.key === undefined ? undefined : known.config.accounts.find(candidate => candidate.keys.includes(request.key!));
	if (!account && !queue.isPublic) {
		return {status: 401, body: {problem: 'unknown key'}};
	}

	return {known, queue, account, jobId: request.path.slice(queue.pathPrefix.length)};
}

function answerOf(outcome: Exclude<IntakeOutcome, {kind: 'configuration_changed'}>): RouteAnswer {
	switch (outcome.kind) {
		case 'accepted': {
			return {status: 200, body: {}};
		}

		case 'state': {
			return {status: 200, body: encodeJobState(outcome.state)};
		}

		case 'no_such_job': {
			return {status: 410, body: {problem: 'no such job'}};
		}

		case 'conflict': {
			return {status: 409, body: {problem: 'the id belongs to another job'}};
		}

		case 'not_stored': {
			return {status: 503, body: {problem: 'not accepted: the store cannot be reached'}};
		}

		case 'unknown': {
			return {status: 504, body: {problem: 'outcome unknown: send the same request again'}};
		}
	}
}
