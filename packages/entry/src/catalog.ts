import type {Adjacency, JobSpec, Resources, WorkClass} from '@amaranthsail/core';
import type {EmptyClusterRefusal, SchedulingPolicy} from '@amaranthsail/scheduler';

/** Declaration of an operation of a service. */
export type OperationDefinition = {
	readonly workClass: WorkClass;
	readonly repeatable: boolean;
	readonly checkpointable: boolean;
	readonly shape: Resources;
	readonly adjacency: Adjacency;
	readonly maxTaskCount: number;
	/** Longest run time of an attempt. */
	readonly maxRunMs: number;
	readonly limits: {readonly maxAccelerators?: number; readonly maxInputBytes: number};
};

/** A service with its operations by name. */
export type ServiceDefinition = {readonly operations: ReadonlyMap<string, OperationDefinition>};

/** View of the configuration in force for checking and routing job requests. */
export interface Catalog {
	readonly revision: number;

	service(name: string): ServiceDefinition | undefined;

	hasAccount(name: string): boolean;

	/** Whether the account may call the service. */
	mayCall(account: string, service: string): boolean;

	failureDomains(): readonly string[];

	/** Why a job could not run on the declared racks of a failure domain even when nothing else runs there; undefined when it fits. */
	capacityRefusal(failureDomain: string, spec: JobSpec): EmptyClusterRefusal | undefined;

	/** Number of accelerators guaranteed to the account in a failure domain. */
	guaranteedAccelerators(account: string, failureDomain: string): number;

	/** Number of accelerators that the account may use at once; undefined for no limit. */
	maxAccelerators(account: string): number | undefined;

	policyOf(failureDomain: string): SchedulingPolicy;
}
