import {appendFileSync, writeFileSync} from 'node:fs';

/** What was sent, answered and run, as clients, workers and the platform have seen it. */
export class Record {
	starts = [];
	ends = [];
	/** Highest `ackSeq` that each life of a worker has taken. */
	acknowledged = new Map();
	#file;
	#startedAt = performance.now();

	/** @param {string} file - File of the record; it is written anew. */
	constructor(file) {
		this.#file = file;
		writeFileSync(file, '');
	}

	/** @returns {number} Milliseconds since the begin of the record. */
	nowMs() {
		return Math.round(performance.now() - this.#startedAt);
	}

	note(what, fields = {}) {
		appendFileSync(this.#file, `${String(this.nowMs()).padStart(6)} ms  ${what}  ${JSON.stringify(fields)}\n`);
	}

	start({task, run, worker, spec}) {
		this.starts.push({
			atMs: this.nowMs(), task, run, worker, spec,
		});
		this.note('task starts', {task, run, worker});
	}

	end({task, run, worker, how}) {
		this.ends.push({
			atMs: this.nowMs(), task, run, worker, how,
		});
		this.note('task ends', {
			task, run, worker, how,
		});
	}

	acknowledge(worker, ackSeq) {
		if (ackSeq > (this.acknowledged.get(worker) ?? 0)) {
			this.acknowledged.set(worker, ackSeq);
			this.note('ends taken note of', {worker, ackSeq});
		}
	}

	/** @returns {Array<{task: string, first: object, second: object}>} Starts of a task while another run of it was at work. */
	overlaps() {
		const found = [];
		for (const [index, second] of this.starts.entries()) {
			for (const first of this.starts.slice(0, index)) {
				const end = this.ends.find(({task, run, worker}) => task === first.task && run === first.run && worker === first.worker);
				if (first.task === second.task && (end === undefined || end.atMs > second.atMs)) {
					found.push({
						task: first.task, first, second, endedAtMs: end?.atMs,
					});
				}
			}
		}

		return found;
	}
}
