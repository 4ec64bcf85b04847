/** A job that was accepted. */
export type JobHandle = {readonly jobId: string; readonly account: string; readonly taskCount: number};

/** What the API shows of a job, as far as the runs use it. */
export type JobView = {
	readonly jobId: string;
	readonly state: 'waiting' | 'decided' | 'running' | 'completed' | 'failed' | 'cancelled' | 'unknown';
	readonly final: boolean;
	readonly outcome?: 'completed' | 'failed' | 'not_run' | 'unknown';
	readonly reason?: unknown;
	readonly attempt: number;
	readonly workers: readonly string[];
};
