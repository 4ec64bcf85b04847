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
		| {readonly kind: 'no_such_job'}
		/** Nothing was stored and nothing will be. */
		| {readonly kind: 'not_stored'}
		/** A write may have taken effect or may still do so. */
		| {readonly kind: 'unknown'};
