import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import type {JobRow} from '@amaranthsail/core';
import type {GuaranteeAlarm} from '@amaranthsail/scheduler';
import {initTRPC, TRPCError} from '@trpc/server';
import {z} from 'zod';

/** Calls that an entry serves for the other entries. */
export interface PeerService {
	/** Notifies the owner of accepted jobs; false when this entry is not the owner. */
	notify(failureDomain: string, jobIds: readonly string[]): Promise<boolean>;

	/** Waits until a job is in a final state; undefined on timeout or when this entry is not the owner. */
	waitForJob(failureDomain: string, jobId: string, timeoutMs: number): Promise<JobRow | undefined>;

	/** Asks the owner to cancel jobs; false when this entry is not the owner. */
	cancel(failureDomain: string, jobIds: readonly string[]): Promise<boolean>;

	/** Explains why a job is waiting; undefined when this entry is not the owner. */
	explain(failureDomain: string, jobId: string): Promise<unknown>;

	/** Ends the ownership of a failure domain in favour of the owner of a higher epoch; true when this entry no longer renews leases there. */
	stepDown(failureDomain: string, epoch: number): Promise<boolean>;

	/** Releases a failure domain, or without one starts the drain of the process. */
	drain(failureDomain: string | undefined): Promise<void>;

	status(): Promise<PeerStatus>;
}

/** Status of an entry. */
export type PeerStatus = {
	readonly processId: string;
	readonly revision: number;
	readonly owned: ReadonlyArray<{readonly failureDomain: string; readonly epoch: number}>;
	/** Guarantees that currently cannot be kept. */
	readonly alarms: readonly GuaranteeAlarm[];
	/** Revision in force on each worker, as its agent last reported it. */
	readonly workers: ReadonlyArray<{readonly workerId: string; readonly failureDomain: string; readonly revision: number}>;
};

/** Context of a call between entries. */
export type PeerContext = {readonly authorized: boolean};

/**
 * Compares two secrets in constant time.
 *
 * @param received - The secret that the other process sent.
 * @param expected - The secret from the settings.
 * @returns True when they are equal.
 */
export function secretsMatch(received: string, expected: string): boolean {
	const digest = (text: string): Uint8Array => createHash('sha256').update(Buffer.from(text, 'utf8')).digest();
	return timingSafeEqual(digest(received), digest(expected));
}

const trpc = initTRPC.context<PeerContext>().create();

const procedure = trpc.procedure.use(async ({ctx, next}) => {
	if (!ctx.authorized) {
		throw new TRPCError({code: 'UNAUTHORIZED', message: 'the shared secret does not match'});
	}

	return next();
});

const failureDomainSchema = z.string().min(1);
const jobIdsSchema = z.array(z.string().min(1)).max(1000);

/**
 * Creates the router of the calls between entries.
 *
 * @param service - Executes the calls.
 * @returns The tRPC router.
 */
export const createPeerRouter = (service: PeerService) => trpc.router({
	notify: procedure.input(z.object({failureDomain: failureDomainSchema, jobIds: jobIdsSchema}))
		.mutation(async ({input}) => service.notify(input.failureDomain, input.jobIds)),
	waitForJob: procedure.input(z.object({failureDomain: failureDomainSchema, jobId: z.string(), timeoutMs: z.number().min(0).max(60_000)}))
		.query(async ({input}) => service.waitForJob(input.failureDomain, input.jobId, input.timeoutMs)),
	cancel: procedure.input(z.object({failureDomain: failureDomainSchema, jobIds: jobIdsSchema}))
		.mutation(async ({input}) => service.cancel(input.failureDomain, input.jobIds)),
	explain: procedure.input(z.object({failureDomain: failureDomainSchema, jobId: z.string()}))
		.query(async ({input}) => service.explain(input.failureDomain, input.jobId)),
	stepDown: procedure.input(z.object({failureDomain: failureDomainSchema, epoch: z.int()}))
		.mutation(async ({input}) => service.stepDown(input.failureDomain, input.epoch)),
	drain: procedure.input(z.object({failureDomain: failureDomainSchema.optional()}))
		.mutation(async ({input}) => service.drain(input.failureDomain)),
	status: procedure.query(async () => service.status()),
});

/** Type of the router, from which clients derive their types. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
