import {err, firstExceeded, ok, type JobSpec, type Resources, type Result} from '@amaranthsail/core';
import type {DeclaredRack} from '@amaranthsail/scheduler';
import {apiError, type ApiError} from './api-error.js';
import type {Catalog, OperationEntry} from './catalog.js';
import {isInlineInput, type CheckedJobRequest, type JobRequest} from './job-request.js';

/**
 * Completes a request by what its service declares, and refuses what can be seen to be impossible.
 *
 * @param account - The client account that asks.
 * @param checked - The checked request.
 * @param catalog - The configuration in force.
 * @param nowMs - Wall time.
 * @returns The job's specification, or the reason why it can never run.
 */
export function specOf(account: string, checked: CheckedJobRequest, catalog: Catalog, nowMs: number): Result<JobSpec, ApiError> {
	const {request, inputText} = checked;
	if (!catalog.hasAccount(account)) {
		return err(apiError('forbidden', `There is no ClientAccount record for ${account}.`));
	}

	const service = catalog.service(request.service);
	if (!service) {
		return err(apiError('unknown_service', `There is no Service record named ${request.service}.`));
	}

	if (!catalog.mayCall(account, request.service)) {
		return err(apiError('forbidden', `Account ${account} may not call service ${request.service}.`));
	}

	const operation = service.operations.get(request.operation);
	if (!operation) {
		const known = [...service.operations.keys()].join(', ');
		return err(apiError('unknown_operation', `Service ${request.service} has no operation ${request.operation}; it has ${known}.`));
	}

	const conflict = promiseConflict(request, operation);
	if (conflict) {
		return err(conflict);
	}

	const taskCount = request.taskCount ?? 1;
	if (taskCount > operation.maxTaskCount) {
		return err(apiError('limit_exceeded', `taskCount is ${taskCount}; operation ${request.operation} allows ${operation.maxTaskCount}.`));
	}

	const limit = limitProblem(request, operation, inputText);
	if (limit !== undefined) {
		return err(apiError('limit_exceeded', limit));
	}

	const spec: JobSpec = {
		account,
		service: request.service,
		operation: request.operation,
		workClass: request.workClass ?? operation.workClass,
		taskCount,
		shape: {...operation.shape, ...request.shape},
		adjacency: request.adjacency ?? operation.adjacency,
		repeatable: request.repeatable ?? operation.repeatable,
		checkpointable: request.checkpointable ?? operation.checkpointable,
		expectedRunMs: request.expectedRunMs,
		deadlineAtMs: request.deadlineMs === undefined ? undefined : nowMs + request.deadlineMs,
		failureDomains: request.failureDomains,
		inlineInput: inputText !== undefined && isInlineInput(inputText) ? inputText : undefined,
	};
	const unfit = fitProblem(spec, catalog);
	return unfit === undefined ? ok(spec) : err(apiError('never_fits', unfit));
}

/** A caller may be stricter than the service, never more lenient: it cannot make a non-repeatable operation repeatable. */
function promiseConflict(request: JobRequest, operation: OperationEntry): ApiError | undefined {
	if (request.repeatable === true && !operation.repeatable) {
		return apiError('invalid_request', `repeatable: operation ${request.operation} is declared non-repeatable.`);
	}

	if (request.checkpointable === true && !operation.checkpointable) {
		return apiError('invalid_request', `checkpointable: operation ${request.operation} cannot write checkpoints.`);
	}

	return undefined;
}

function limitProblem(request: JobRequest, operation: OperationEntry, inputText = ''): string | undefined {
	const {maxAccelerators = Number.MAX_SAFE_INTEGER, maxInputBytes} = operation.limits;
	const accelerators = request.shape?.accelerators ?? operation.shape.accelerators;
	if (accelerators > maxAccelerators) {
		return `shape.accelerators is ${accelerators}; operation ${request.operation} allows ${maxAccelerators}.`;
	}

	const inputBytes = new TextEncoder().encode(inputText).length;
	return inputBytes > maxInputBytes ? `input has ${inputBytes} bytes; operation ${request.operation} allows ${maxInputBytes}.` : undefined;
}

/**
 * Finds the failure domains whose declared racks can hold a job.
 *
 * @param spec - The job's specification.
 * @param catalog - The configuration in force.
 * @returns The names of the failure domains.
 */
export function fittingFailureDomains(spec: JobSpec, catalog: Catalog): readonly string[] {
	const allowed = new Set(spec.failureDomains ?? catalog.failureDomains());
	return catalog.failureDomains().filter(name => allowed.has(name) && fitsRacks(spec, catalog.racksOf(name)));
}

function fitProblem(spec: JobSpec, catalog: Catalog): string | undefined {
	const unknown = spec.failureDomains?.filter(name => !catalog.failureDomains().includes(name)) ?? [];
	if (unknown.length > 0) {
		return `failureDomains: there is no ${unknown.join(', ')}.`;
	}

	if (fittingFailureDomains(spec, catalog).length > 0) {
		return undefined;
	}

	const workers = (spec.failureDomains ?? catalog.failureDomains()).flatMap(name => catalog.racksOf(name)).flatMap(rack => rack.workers);
	const limits = new Set(workers.map(worker => firstExceeded(spec.shape, worker)));
	const because = workers.length > 0 && !limits.has(undefined)
		? `one task exceeds ${[...limits].join(' or ')} of every declared worker`
		: `${spec.taskCount} tasks do not fit together with adjacency ${spec.adjacency}`;
	return `The job can never run on the declared racks: ${because}.`;
}

/** Counts how many tasks of a shape an empty worker holds. */
function tasksPerWorker(shape: Resources, worker: Resources): number {
	if (firstExceeded(shape, worker)) {
		return 0;
	}

	const ratios = [
		[worker.slots, shape.slots],
		[worker.connections, shape.connections],
		[worker.processors, shape.processors],
		[worker.memoryMb, shape.memoryMb],
		[worker.accelerators, blockSize(shape.accelerators)],
	] as const;
	return Math.min(...ratios.map(([available, wanted]) => wanted === 0 ? Number.MAX_SAFE_INTEGER : Math.floor(available / wanted)));
}

/** Accelerators are given out in aligned blocks of a power of two. */
function blockSize(accelerators: number): number {
	return accelerators === 0 ? 0 : 2 ** Math.ceil(Math.log2(accelerators));
}

function fitsRacks(spec: JobSpec, racks: readonly DeclaredRack[]): boolean {
	const perRack = racks.map(rack => rack.workers.map(worker => tasksPerWorker(spec.shape, worker)));
	const sum = (counts: readonly number[]): number => {
		let total = 0;
		for (const count of counts) {
			total += count;
		}

		return total;
	};

	const groups = {
		worker: () => perRack.flat(),
		rack: () => perRack.map(counts => sum(counts)),
		failureDomain: () => [sum(perRack.flat())],
	}[spec.adjacency]();
	return groups.some(count => count >= spec.taskCount);
}
