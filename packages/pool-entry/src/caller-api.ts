import type {IncomingMessage, ServerResponse} from 'node:http';
import {type Clock, type Logger, parseJson} from '@amaranthsail/core';
import {
	type CallerHeaders, decodeCallerHeaders, decodeJobSpec, encodeJobState, encodePending, isJobId,
} from '@amaranthsail/platform-adapter';
import {
	type ClientAccount, type JobRow, type Queue, termsOf,
} from '@amaranthsail/pool';
import {
	connectionOf, discardBody, type ListenerLimits, type ProcessMetrics, type ReceivedBody, receiveBody, refusalAnswer, refusalHeaders, type RouteAnswer, sendJson,
} from '@amaranthsail/pool-runtime';
import type {ConfigFollower, KnownConfig} from './config-follower.js';
import {loggedAgeMs} from './config-freshness.js';
import type {JobRequestOutcome} from './job-request-outcome.js';
import type {JobService} from './job-service.js';

/** Deadline of callers that send none. */
const DEFAULT_DEADLINE_MS = 3000;

/** Part of the deadline that is reserved for sending the answer back to the caller. */
const ANSWER_MARGIN_MS = 200;

/** Longest time spent on storing a job before it is refused, so that the caller can retry at another entry. */
const MAX_SUBMIT_BUDGET_MS = 1200;

/** Largest share of the caller's deadline that storing a job may use. */
const MAX_SUBMIT_DEADLINE_SHARE = 0.45;

/** A request may be refused without reading the configuration again if it was confirmed within this time. */
const MAX_FRESH_CONFIG_AGE_MS = 150;

/** Largest request body that is accepted from a caller. */
export const MAX_BODY_BYTES = 262_144;

/** Value of `Retry-After`: the store or a leader is usually available again by then. */
const RETRY_AFTER_S = '1';

/** How often one request is checked against a configuration before it fails because the configuration keeps changing. */
const MAX_CONFIG_CHECKS = 3;

/** A path or a host of legal length is far shorter; the rest of a head would fill the log. */
const MAX_LOGGED_LENGTH = 300;

/** Number of digits of a job id, which ends the path of a request. */
const JOB_ID_LENGTH = 16;

/** Dependencies of {@link CallerApi}. */
export type CallerApiDependencies = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: ProcessMetrics;
	readonly config: ConfigFollower;
	readonly jobs: Pick<JobService, 'submit' | 'cancel' | 'state' | 'stop' | 'maySubmitTakeEffect' | 'mayCancelTakeEffect'>;
	/** Whether the known configuration is recent enough to serve requests. */
	readonly isConfigUsable: () => boolean;
	/** Number of jobs of a queue that have not started; undefined when no leader has reported recently. */
	readonly pendingCount: (queue: string) => number | undefined;
	/** Limits of the listener. */
	readonly limits: ListenerLimits;
};

type CallerRequest = CallerHeaders & {readonly method: string; readonly path: string; /** Absent if the request needs none. */ readonly body?: string};

type SelectedQueue = {readonly known: KnownConfig; readonly queue: Queue; readonly account: ClientAccount | undefined; readonly jobId: string};

/** HTTP API for callers: submits, cancels and reads jobs. */
export class CallerApi {
	readonly #deps: CallerApiDependencies;
	readonly #unansweredRequests = new Set<() => void>();
	#isEnded = false;

	/** @param deps - Dependencies. */
	constructor(deps: CallerApiDependencies) {
		this.#deps = deps;
	}

	/** Limits of the listener. */
	get limits(): ListenerLimits {
		return this.#deps.limits;
	}

	/**
	 * Answers one request.
	 *
	 * @param message - The request.
	 * @param response - The response to write.
	 */
	async serve(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const startedAtMs = this.#deps.clock.monotonicMs();
		const head: CallerRequest = {...decodeCallerHeaders(message.headers), method: message.method ?? '', path: (message.url ?? '').split('?')[0]!};
		const refused = head.method === 'POST' && !connectionOf(message)?.isRefused(message) ? await this.#answerBeforeEnd(head, async () => this.#refuseWithoutBody(head)) : undefined;
		const received = await this.#receive(message, head.method === 'POST' && refused === undefined);
		if (!received) {
			// Nobody waits for an answer, and nothing of the request has been carried out.
			response.destroy();
			return;
		}

		const request: CallerRequest = 'text' in received ? {...head, body: received.text} : head;
		const refusal = 'refusal' in received ? received.refusal : undefined;
		const answer = refusal ? this.#unlessUnknown(head, refusalAnswer(refusal)) : refused ?? await this.#answerBeforeEnd(request, async () => this.#answer(request));
		const tookMs = this.#deps.clock.monotonicMs() - startedAtMs;
		sendJson(response, answer, {
			...(refusal && refusalHeaders(refusal)),
			...((answer.status === 503 || answer.status === 429) && {'retry-after': RETRY_AFTER_S}),
		});
		const {known} = this.#deps.config;
		this.#deps.logger.info('request answered', {
			method: request.method, path: request.path.slice(0, MAX_LOGGED_LENGTH), host: request.host.slice(0, MAX_LOGGED_LENGTH), status: answer.status, tookMs: Math.round(tookMs), configVersion: known?.config.version ?? 'none', configAgeMs: loggedAgeMs(this.#deps.config.ageMs), deadlineMs: request.deadlineMs ?? 'none', ...(answer.body !== undefined && {answer: answer.body}),
		});
		this.#deps.metrics.observe('request', tookMs, {method: request.method, status: String(answer.status)});
	}

	/** Answers all requests in progress, and those that arrive later, at once. Nothing is written after these answers. */
	end(): void {
		this.#isEnded = true;
		this.#deps.jobs.stop();
		for (const answer of this.#unansweredRequests) {
			answer();
		}
	}

	/** Reads a body that is needed; any other one is not kept. */
	async #receive(message: IncomingMessage, isNeeded: boolean): Promise<ReceivedBody> {
		if (isNeeded) {
			return receiveBody(message, this.#deps.limits);
		}

		const refusal = await discardBody(message, this.#deps.limits.maxBodyBytes);
		if (refusal === 'left') {
			return undefined;
		}

		return refusal ? {refusal} : {text: ''};
	}

	/** The answer to a request that is refused whatever its body says, before any memory is used for the body. */
	async #refuseWithoutBody(request: CallerRequest): Promise<RouteAnswer | undefined> {
		const selected = await this.#selectQueue(request);
		if ('status' in selected) {
			return selected.status === 503 ? this.#unlessUnknown(request, selected) : selected;
		}

		return this.#refuseJobId(selected.jobId);
	}

	#refuseJobId(jobId: string): RouteAnswer | undefined {
		return jobId === '' || isJobId(jobId) ? undefined : {status: 400, body: {problem: 'job id: expected 16 hexadecimal digits'}};
	}

	async #answerBeforeEnd<Answer extends RouteAnswer | undefined>(request: CallerRequest, makeAnswer: () => Promise<Answer>): Promise<Answer | RouteAnswer> {
		const unfinished = (): RouteAnswer => this.#unlessUnknown(request, {status: 503, body: {problem: 'this entry is stopping'}});
		if (this.#isEnded) {
			return unfinished();
		}

		let end = (): void => undefined;
		const ended = new Promise<RouteAnswer>(resolve => {
			end = () => {
				resolve(unfinished());
			};
		});
		this.#unansweredRequests.add(end);
		try {
			return await Promise.race([makeAnswer(), ended]);
		} finally {
			this.#unansweredRequests.delete(end);
		}
	}

	async #answer(request: CallerRequest): Promise<RouteAnswer> {
		const endMs = this.#deps.clock.monotonicMs() + Math.max(ANSWER_MARGIN_MS, (request.deadlineMs ?? DEFAULT_DEADLINE_MS) - ANSWER_MARGIN_MS);
		for (let check = 0; check < MAX_CONFIG_CHECKS; check++) {
			if (request.method === 'POST' && !await this.#receivesConfig(request)) {
				return this.#unlessUnknown(request, {status: 503, body: {problem: 'not accepted: a changed configuration is on its way'}});
			}

			const selected = await this.#selectQueue(request);
			if ('status' in selected) {
				// A key or a queue that was never valid for this request says nothing about an earlier one with the same id.
				return check > 0 || selected.status === 503 ? this.#unlessUnknown(request, selected) : selected;
			}

			const outcome = await this.#handle(request, selected, endMs - this.#deps.clock.monotonicMs());
			if ('status' in outcome) {
				return outcome;
			}

			if (outcome.kind !== 'configuration_changed') {
				return toAnswer(outcome);
			}

			await this.#deps.config.refresh();
		}

		return this.#unlessUnknown(request, {status: 503, body: {problem: 'the configuration keeps changing'}});
	}

	/** Waits while the store sends a change: a job is stored only if it was checked against the newest configuration. */
	async #receivesConfig(request: CallerRequest): Promise<boolean> {
		const {config} = this.#deps;
		if (config.isReceiving) {
			await config.refresh(submitBudgetMs(request));
		}

		return !config.isReceiving;
	}

	/** Replaces a refusal while a write for the same job, by this request or an earlier one, may still take effect. */
	#unlessUnknown({method, path}: CallerRequest, refusal: RouteAnswer): RouteAnswer {
		const {jobs} = this.#deps;
		const jobId = path.slice(-JOB_ID_LENGTH);
		const mayTakeEffect = (method === 'POST' && jobs.maySubmitTakeEffect(jobId)) || (method === 'DELETE' && jobs.mayCancelTakeEffect(jobId));
		return mayTakeEffect ? toAnswer({kind: 'unknown'}) : refusal;
	}

	async #handle(request: CallerRequest, selected: SelectedQueue, remainingMs: number): Promise<JobRequestOutcome | RouteAnswer> {
		const {jobId, queue, account, known} = selected;
		const accountName = account?.name ?? '';
		if (jobId === '') {
			return this.#answerPending(request, queue);
		}

		const refused = this.#refuseJobId(jobId);
		if (refused) {
			return refused;
		}

		switch (request.method) {
			case 'POST': {
				const spec = decodeJobSpec(parseJson(request.body ?? ''));
				if ('problem' in spec) {
					return {status: 400, body: spec};
				}

				const row: JobRow = {queue: queue.name, account: accountName, acceptedAtMs: this.#deps.clock.wallMs(), terms: termsOf(queue), spec};
				return this.#deps.jobs.submit({jobId, row, configRow: known.row, budgetMs: Math.min(submitBudgetMs(request), remainingMs), deadlineMs: remainingMs});
			}

			case 'GET': {
				return this.#deps.jobs.state(jobId, accountName, remainingMs);
			}

			case 'DELETE': {
				return this.#deps.jobs.cancel(jobId, accountName, remainingMs);
			}

			default: {
				return {status: 405, body: {problem: 'expected POST, GET or DELETE'}};
			}
		}
	}

	#answerPending(request: CallerRequest, queue: Queue): RouteAnswer {
		if (request.method !== 'GET') {
			return {status: 405, body: {problem: 'expected GET, or an id after the prefix'}};
		}

		const pending = this.#deps.pendingCount(queue.name);
		return pending === undefined
			? {status: 503, body: {problem: 'no leader has reported yet'}}
			: {status: 200, body: encodePending(pending)};
	}

	/** Finds queue and account. Reads the newest configuration before a request is refused by an older one. */
	async #selectQueue(request: CallerRequest): Promise<SelectedQueue | RouteAnswer> {
		const {config} = this.#deps;
		if (!config.known || !this.#deps.isConfigUsable()) {
			await config.refresh();
			if (!config.known || !this.#deps.isConfigUsable()) {
				return {status: 503, body: {problem: 'no current configuration'}};
			}
		}

		const selected = selectFromConfig(config.known, request);
		if (!('status' in selected) || config.ageMs < MAX_FRESH_CONFIG_AGE_MS) {
			return selected;
		}

		await config.refresh();
		return this.#deps.isConfigUsable() ? selectFromConfig(config.known, request) : {status: 503, body: {problem: 'no current configuration'}};
	}
}

function submitBudgetMs({deadlineMs = DEFAULT_DEADLINE_MS}: CallerRequest): number {
	return Math.min(MAX_SUBMIT_BUDGET_MS, deadlineMs * MAX_SUBMIT_DEADLINE_SHARE);
}

function selectFromConfig(known: KnownConfig, request: CallerRequest): SelectedQueue | RouteAnswer {
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

function toAnswer(outcome: Exclude<JobRequestOutcome, {kind: 'configuration_changed'}>): RouteAnswer {
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

		case 'cancelled': {
			return {status: 409, body: {problem: 'the job was cancelled before it was accepted: use another id'}};
		}

		case 'too_many_cancellations': {
			return {status: 429, body: {problem: 'not cancelled: too many cancellations of unknown jobs'}};
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
