import type {JobState} from '@amaranthsail/pool';

/** Outcome of a request about a job. */
export type JobRequestOutcome
	= | {readonly kind: 'accepted'}
		/**
		 * The store holds a newer configuration than the request was checked against, and no such job. Nothing was stored,
		 * and no earlier write under a replaced configuration takes effect any more.
		 */
		| {readonly kind: 'configuration_changed'}
		/** The id belongs to a job of another account. */
		| {readonly kind: 'conflict'}
		| {readonly kind: 'state'; readonly state: JobState}
		/** `isFinal`: nor can an earlier write of the job for this account take effect any more. A cancellation is answered so only then. */
		| {readonly kind: 'no_such_job'; readonly isFinal?: boolean}
		/** The account cancelled the job before it was stored. It is not stored and will not be. */
		| {readonly kind: 'cancelled'}
		/** Nothing was cancelled: the account has cancelled too many unknown jobs. */
		| {readonly kind: 'too_many_cancellations'}
		/** Nothing was stored and nothing will be. */
		| {readonly kind: 'not_stored'}
		/** A write may have taken effect or may still do so. */
		| {readonly kind: 'unknown'};
