import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import type {JobRow} from '@amaranthsail/core';
import type {GuaranteeAlarm} from '@amaranthsail/scheduler';
import {initTRPC, TRPCError} from '@trpc/server';
import {z} from 'zod';

/** What one entry offers to the others. */
export interface PeerService {
	/** Tells the owner about accepted jobs; false when this entry is not the owner. */
	notify(failureDomain: string, jobIds: readonly string[]): Promise<boolean>;

	/** Waits until a job is final; undefined on timeout or when this entry is not the owner. */
	waitForJob(failureDomain: string, jobId: string, timeoutMs: number): Promise<JobRow | undefined>;

	/** Asks the owner to cancel jobs; false when this entry is not the owner. */
	cancel(failureDomain: string, jobIds: readonly string[]): Promise<boolean>;

	/** Explains why a job waits; undefined when this entry is not the owner. */
	explain(failureDomain: string, jobId: string): Promise<unknown>;

	/** Gives up a failure domain to the owner of a higher epoch; true when this entry no longer extends leases there. */
	stepDown(failureDomain: string, epoch: number): Promise<boolean>;

	/** Releases a failure domain, or starts the drain of the process. */
	drain(failureDomain: string | undefined): Promise<void>;

	status(): Promise<PeerStatus>;
}

/** What an entry tells about itself. */
export type PeerStatus = {
	readonly processId: string;
	readonly revision: number;
	readonly owned: ReadonlyArray<{readonly failureDomain: string; readonly epoch: number}>;
	/** Guarantees that cannot be kept at the moment. */
	readonly alarms: readonly GuaranteeAlarm[];
	/** Revision in force on each worker, as its agent last reported it. */
	readonly workers: ReadonlyArray<{readonly workerId: string; readonly failureDomain: string; readonly revision: number}>;
};

/** Context of a call between entries. */
export type PeerContext = {readonly authorized: boolean};

/**
 * Compares two secrets in constant time.
 *
 * @param given - What the other process sent.
 * @param expected - The secret from the settings.
 * @returns True when they are equal.
 */
export function secretsMatch(given: string, expected: string): boolean {
	const digest = (text: string): Uint8Array => createHash('sha256').update(Buffer.from(text, 'utf8')).digest();
	return timingSafeEqual(digest(given), digest(expected));
}

const trpc = initTRPC.context<PeerContext>().create();

const procedure = trpc.procedure.use(async ({ctx, next}) => {
	if (!ctx.authorized) {
		throw new TRPCError({code: 'UNAUTHORIZED', message: 'the shared secret does not match'});
	}

	return next();
});

const domain = z.string().min(1);
const jobIds = z.array(z.string().min(1)).max(1000);

/**
 * Makes the router of the calls between entries.
 *
 * @param service - What this entry offers.
 * @returns The tRPC router.
 */
export const createPeerRouter = (service: PeerService) => trpc.router({
	notify: procedure.input(z.object({failureDomain: domain, jobIds}))
		.mutation(async ({input}) => service.notify(input.failureDomain, input.jobIds)),
	waitForJob: procedure.input(z.object({failureDomain: domain, jobId: z.string(), timeoutMs: z.number().min(0).max(60_000)}))
		.query(async ({input}) => service.waitForJob(input.failureDomain, input.jobId, input.timeoutMs)),
	cancel: procedure.input(z.object({failureDomain: domain, jobIds}))
		.mutation(async ({input}) => service.cancel(input.failureDomain, input.jobIds)),
	explain: procedure.input(z.object({failureDomain: domain, jobId: z.string()}))
		.query(async ({input}) => service.explain(input.failureDomain, input.jobId)),
	stepDown: procedure.input(z.object({failureDomain: domain, epoch: z.int()}))
		.mutation(async ({input}) => service.stepDown(input.failureDomain, input.epoch)),
	drain: procedure.input(z.object({failureDomain: domain.optional()}))
		.mutation(async ({input}) => service.drain(input.failureDomain)),
	status: procedure.query(async () => service.status()),
});

/** Type of the router, for clients. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
