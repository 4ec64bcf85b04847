/** What is known of a run on a worker that crashed. */
export const CRASH_EVIDENCE = {
	/** The run is known to have started shortly before, and runs of no other job had. */
	atStart: 'atStart',
	/** The run is known to have started shortly before, as runs of other jobs had. */
	atSharedStart: 'atSharedStart',
	/** The run had been at work for longer. */
	duringWork: 'duringWork',
	/** A start was sent and not answered, so the run may never have started. */
	possible: 'possible',
} as const;

/** One of {@link CRASH_EVIDENCE}. */
export type CrashEvidence = (typeof CRASH_EVIDENCE)[keyof typeof CRASH_EVIDENCE];

/** A worker that crashed, or was lost, while a task ran there. Stored under these names. */
export type WorkerCrash = {
	/** The worker's incarnation. */
	readonly life: string;
	readonly evidence: CrashEvidence;
	/** A later incarnation has reported. A worker that is only silent may come back with its runs. */
	readonly isConfirmed: boolean;
	/** Another task that ran there has been given up for it. */
	readonly isExplained?: boolean;
};
