import {err, ok, type JobSpec, type Result} from '@amaranthsail/core';
import {apiError, type ApiError} from './api-error.js';
import type {Catalog, OperationDefinition} from './catalog.js';
import {isInlineInput, type CheckedJobRequest, type JobRequest} from './job-request.js';

/**
 * Builds the specification of a job from its request and the defaults that the service declares. Refuses requests that
 * are not permitted and jobs that can never run.
 *
 * @param account - The client account that sent the request.
 * @param checkedRequest - The validated request.
 * @param catalog - The configuration in force.
 * @param nowMs - The wall time, in milliseconds.
 * @returns The job's specification, or the reason for the refusal.
 */
export function buildJobSpec(account: string, checkedRequest: CheckedJobRequest, catalog: Catalog, nowMs: number): Result<JobSpec, ApiError> {
	const {request, inputText} = checkedRequest;
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
		const operationNames = [...service.operations.keys()].join(', ');
		return err(apiError('unknown_operation', `Service ${request.service} has no operation ${request.operation}; it has ${operationNames}.`));
	}

	const conflict = declarationConflict(request, operation);
	if (conflict) {
		return err(conflict);
	}

	const taskCount = request.taskCount ?? 1;
	if (taskCount > operation.maxTaskCount) {
		return err(apiError('limit_exceeded', `taskCount is ${taskCount}; operation ${request.operation} allows ${operation.maxTaskCount}.`));
	}

	const limit = findLimitProblem(request, operation, inputText);
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
		maxRunMs: operation.maxRunMs,
		deadlineAtMs: request.deadlineMs === undefined ? undefined : nowMs + request.deadlineMs,
		failureDomains: request.failureDomains,
		inlineInput: inputText !== undefined && isInlineInput(inputText) ? inputText : undefined,
	};
	const fitProblem = findFitProblem(spec, catalog);
	return fitProblem === undefined ? ok(spec) : err(apiError('never_fits', fitProblem));
}

/** A caller may restrict what the service declares but not extend it: it cannot make a non-repeatable operation repeatable. */
function declarationConflict(request: JobRequest, operation: OperationDefinition): ApiError | undefined {
	if (request.repeatable === true && !operation.repeatable) {
		return apiError('invalid_request', `repeatable: operation ${request.operation} is declared non-repeatable.`);
	}

	if (request.checkpointable === true && !operation.checkpointable) {
		return apiError('invalid_request', `checkpointable: operation ${request.operation} cannot write checkpoints.`);
	}

	return undefined;
}

function findLimitProblem(request: JobRequest, operation: OperationDefinition, inputText = ''): string | undefined {
	const {maxAccelerators = Number.MAX_SAFE_INTEGER, maxInputBytes} = operation.limits;
	const accelerators = request.shape?.accelerators ?? operation.shape.accelerators;
	if (accelerators > maxAccelerators) {
		return `shape.accelerators is ${accelerators}; operation ${request.operation} allows ${maxAccelerators}.`;
	}

	const inputLengthBytes = new TextEncoder().encode(inputText).length;
	return inputLengthBytes > maxInputBytes ? `input has ${inputLengthBytes} bytes; operation ${request.operation} allows ${maxInputBytes}.` : undefined;
}

/**
 * Finds the failure domains whose declared racks have the capacity for a job.
 *
 * @param spec - The job's specification.
 * @param catalog - The configuration in force.
 * @returns The names of the failure domains.
 */
export function fittingFailureDomains(spec: JobSpec, catalog: Catalog): readonly string[] {
	return allowedFailureDomains(spec, catalog).filter(name => catalog.capacityRefusal(name, spec) === undefined);
}

function allowedFailureDomains(spec: JobSpec, catalog: Catalog): readonly string[] {
	const names = catalog.failureDomains();
	return spec.failureDomains ? names.filter(name => spec.failureDomains!.includes(name)) : names;
}

function findFitProblem(spec: JobSpec, catalog: Catalog): string | undefined {
	const unknown = spec.failureDomains?.filter(name => !catalog.failureDomains().includes(name)) ?? [];
	if (unknown.length > 0) {
		return `failureDomains: there is no ${unknown.join(', ')}.`;
	}

	const limit = catalog.maxAccelerators(spec.account) ?? Number.MAX_SAFE_INTEGER;
	const accelerators = spec.taskCount * spec.shape.accelerators;
	if (accelerators > limit) {
		return `The job takes ${accelerators} accelerators; account ${spec.account} may use ${limit}.`;
	}

	const refusals = new Set(allowedFailureDomains(spec, catalog).map(name => catalog.capacityRefusal(name, spec)));
	if (refusals.has(undefined)) {
		return undefined;
	}

	return refusals.has('guarantees')
		? 'The job can never run: it cannot be stopped, and the guarantees of other accounts leave no room for it.'
		: `The job can never run on the declared racks: ${spec.taskCount} tasks of its shape with adjacency ${spec.adjacency} do not fit even when nothing else runs.`;
}
