import type {Adjacency, JobSpec, Resources, WorkClass} from '@amaranthsail/core';
import type {EmptyClusterRefusal, SchedulingPolicy} from '@amaranthsail/scheduler';

/** What a service declares about one of its operations. */
export type OperationEntry = {
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

/** A service and its operations. */
export type ServiceEntry = {readonly operations: ReadonlyMap<string, OperationEntry>};

/** The configuration in force, as admission and routing need it. */
export interface Catalog {
	readonly revision: number;

	service(name: string): ServiceEntry | undefined;

	hasAccount(name: string): boolean;

	/** Whether the account may call the service. */
	mayCall(account: string, service: string): boolean;

	failureDomains(): readonly string[];

	/** What keeps a job off the declared racks of a failure domain, or undefined when it fits. */
	refusalIn(failureDomain: string, spec: JobSpec): EmptyClusterRefusal | undefined;

	/** Accelerators that the account is guaranteed in a failure domain. */
	guaranteedAccelerators(account: string, failureDomain: string): number;

	/** Accelerators that the account may hold at once, or undefined for any number. */
	maxAccelerators(account: string): number | undefined;

	policyOf(failureDomain: string): SchedulingPolicy;
}
