/** An accepted job. */
export type JobHandle = {readonly jobId: string; readonly account: string; readonly taskCount: number};

/** The fields of a job in API responses that the scenarios use. */
export type JobView = {
	readonly jobId: string;
	readonly state: 'waiting' | 'decided' | 'running' | 'completed' | 'failed' | 'cancelled' | 'unknown';
	readonly final: boolean;
	readonly outcome?: 'completed' | 'failed' | 'not_run' | 'unknown';
	readonly reason?: unknown;
	readonly attempt: number;
	readonly workers: readonly string[];
};
