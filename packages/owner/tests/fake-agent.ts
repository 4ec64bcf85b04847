import {
	TASK_LEASE_MS, formatTaskKey, type Command, type Heartbeat, type HeartbeatAck, type TaskReport, type WorkerFacts,
} from '@amaranthsail/core';

/** A task and its lease on the agent. */
type LeasedTask = {report: TaskReport; leaseUntilMs: number};

/** An agent that implements the agent protocol: leases, epochs, idempotent commands. */
export class FakeAgent {
	readonly facts: WorkerFacts;
	readonly tasks = new Map<string, LeasedTask>();
	/** Task starts in order; a task of a non-repeatable job must start at most once. */
	readonly starts: string[] = [];
	readonly commands: Command[] = [];
	readonly acks: HeartbeatAck[] = [];
	epoch = 0;
	sequence = 0;
	incarnation: string;
	isPaused = false;
	/** Reason with which `prepare` is refused; undefined accepts it. */
	refusal: string | undefined;
	/** Whether started tasks fail at once. */
	shouldFailTasks = false;
	isComplete = true;

	constructor(workerId: string, incarnation = `${workerId}-1`, slots = 4) {
		this.incarnation = incarnation;
		this.facts = {
			workerId,
			failureDomain: 'catania',
			rack: 'rack-1',
			capacity: {
				slots, connections: 8, processors: 8, memoryMb: 8000, accelerators: 8,
			},
			endpoints: [{endpointId: `${workerId}-endpoint`, service: 'register', leaving: false}],
		};
	}

	get running(): readonly string[] {
		return [...this.tasks].filter(([, {report}]) => report.state === 'running').map(([key]) => key);
	}

	/** Replaces the process: the new incarnation has stopped all tasks of the earlier one and reports none. */
	restart(incarnation: string): void {
		this.incarnation = incarnation;
		this.tasks.clear();
		this.epoch = 0;
		this.sequence = 0;
	}

	heartbeat(nowMs: number): Heartbeat {
		this.expireLeases(nowMs);
		this.sequence += 1;
		return {
			type: 'heartbeat', workerId: this.facts.workerId, failureDomain: this.facts.failureDomain, incarnation: this.incarnation, sequence: this.sequence, sentAtMs: nowMs,
			epoch: this.epoch, replyPort: 9, revisionInForce: 0, facts: this.facts, leaving: false,
			reports: [...this.tasks.values()].map(({report}) => report), complete: this.isComplete,
		};
	}

	/** Handles a message; returns whether a report has changed, so that a heartbeat is due at once. */
	receive(message: HeartbeatAck | Command, nowMs: number): boolean {
		if (message.epoch < this.epoch) {
			return false;
		}

		this.epoch = message.epoch;
		if (message.type === 'ack') {
			this.acks.push(message);
			for (const key of message.renewed) {
				const task = this.tasks.get(formatTaskKey(key));
				if (task !== undefined) {
					task.leaseUntilMs = Math.max(task.leaseUntilMs, message.sentAtMs + TASK_LEASE_MS);
				}
			}

			return false;
		}

		this.expireLeases(nowMs);
		if (message.incarnation !== this.incarnation) {
			return false;
		}

		this.commands.push(message);
		return this.#execute(message, nowMs);
	}

	/** Updates the reports of all running tasks of a job. */
	updateRunningTasks(jobId: string, change: Partial<TaskReport>): void {
		for (const [key, task] of this.tasks) {
			if (key.startsWith(`${jobId}/`) && task.report.state === 'running') {
				task.report = {...task.report, ...change};
			}
		}
	}

	finish(jobId: string): void {
		this.updateRunningTasks(jobId, {state: 'finished', answer: {lengthBytes: 3, sha256: 'abc'}});
	}

	expireLeases(nowMs: number): void {
		for (const task of this.tasks.values()) {
			if (['prepared', 'running'].includes(task.report.state) && nowMs >= task.leaseUntilMs) {
				task.report = {...task.report, state: 'stopped', reason: 'lease_expired'};
			}
		}
	}

	#execute({kind, task: key, holdMs}: Command, nowMs: number): boolean {
		const name = formatTaskKey(key);
		const task = this.tasks.get(name);
		switch (kind) {
			case 'prepare': {
				if (task === undefined) {
					const state = this.refusal === undefined ? 'prepared' : 'refused';
					this.tasks.set(name, {report: {...key, state, everStarted: false, reason: this.refusal}, leaseUntilMs: nowMs + holdMs!});
				}

				return true;
			}

			case 'release': {
				if (task?.report.state === 'prepared') {
					this.starts.push(name);
					task.report = {...task.report, state: this.shouldFailTasks ? 'failed' : 'running', everStarted: true};
				}

				return true;
			}

			case 'stop': {
				const leasedTask = task ?? {report: {...key, state: 'stopped', everStarted: false}, leaseUntilMs: nowMs};
				this.tasks.set(name, leasedTask);
				if (['prepared', 'running', 'checkpointing'].includes(leasedTask.report.state)) {
					leasedTask.report = {...leasedTask.report, state: 'stopped', reason: 'stopped'};
				}

				return true;
			}

			case 'forget': {
				this.tasks.delete(name);
				return false;
			}

			case 'checkpoint':
			case 'throttle': {
				return false;
			}
		}
	}
}
