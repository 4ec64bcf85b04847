import type {RunReading, WorkerReading} from '@amaranthsail/pool/interference/neighbour-changes.js';

/** Conditions of a stream of runs. */
export type StreamOptions = {
	readonly seed: number;
	readonly workers: number;
	/** Speeds of the workers, in turn. */
	readonly speeds: readonly number[];
	/** Runs at any time. */
	readonly load: number;
	/** Run time of each kind at normal speed. */
	readonly kinds: ReadonlyArray<{readonly name: string; readonly totalMs: number; readonly gangSize?: number}>;
	/** Factor by which a kind is slower beside another, by `kind beside neighbour`. */
	readonly slowdowns: Readonly<Record<string, number>>;
	/** Disturbances of workers (2 to 5 times slower for 5 to 8 s) per worker and minute. */
	readonly disturbancesPerMinute: number;
	/** Workers that a run's place is chosen from; the fullest of them gets it. */
	readonly choices?: number;
	/** Share of the lists that are up to 3 s late. */
	readonly lateLists?: number;
	/** Workers that are five times slower all the time. */
	readonly slowWorkers?: number;
	/** Cost of placing a kind beside others; the runs are placed at random without it. */
	readonly penaltyOf?: (kind: string, neighbours: readonly string[]) => number;
};

type StreamRun = {
	readonly kind: string;
	readonly totalMs: number;
	readonly worker: StreamWorker;
	readonly gang: StreamRun[];
	readonly isGang: boolean;
	readonly startedAtMs: number;
	readonly delayMs: number;
	doneMs: number;
};

type StreamWorker = {readonly incarnation: string; readonly speed: number; readonly runs: Set<StreamRun>; slowFactor: number; slowUntilMs: number; listDueMs: number; completed: StreamRun[]; isLate: boolean};

const STEP_MS = 50;
const SLOTS = 8;

/** Runs tasks on workers on a virtual clock, and lists them as workers do: about once a second and at the ends of runs. */
export class InterferenceStream {
	nowMs = 1000;
	/** Starts beside a kind that slows one of the two down, and all starts. */
	harmfulStarts = 0;
	starts = 0;
	readonly #workers: readonly StreamWorker[];
	#runCount = 0;
	#state: number;

	constructor(private readonly options: StreamOptions, private readonly onLists: (reading: WorkerReading) => void) {
		this.#state = options.seed * 7919;
		this.#workers = Array.from({length: options.workers}, (_, index) => ({
			incarnation: `w${index}`, speed: index < (options.slowWorkers ?? 0) ? 0.2 : options.speeds[index % options.speeds.length]!, runs: new Set<StreamRun>(), slowFactor: 1, slowUntilMs: 0, listDueMs: this.#random() * 1000, completed: [], isLate: false,
		}));
	}

	/** Runs for a time, or until a condition holds. */
	run(forMs: number, isDone: () => boolean = () => false): void {
		for (const endMs = this.nowMs + forMs; this.nowMs < endMs && !isDone(); this.nowMs += STEP_MS) {
			this.#place();
			for (const worker of this.#workers) {
				this.#disturb(worker);
				this.#work(worker);
			}

			this.#endRuns();
			for (const worker of this.#workers) {
				if (this.nowMs < worker.listDueMs) {
					continue;
				}

				if (worker.isLate || this.#random() >= (this.options.lateLists ?? 0)) {
					this.#list(worker);
				} else {
					worker.isLate = true;
					worker.listDueMs = this.nowMs + (3000 * this.#random());
				}
			}
		}
	}

	/** Minimal standard generator. */
	#random(): number {
		this.#state = (this.#state * 48_271) % 2_147_483_647;
		return this.#state / 2_147_483_647;
	}

	#place(): void {
		for (let attempts = 0; attempts < 5 && this.#runCount < this.options.load; attempts++) {
			const kind = this.options.kinds[Math.floor(this.#random() * this.options.kinds.length)]!;
			const size = kind.gangSize ?? 1;
			const sizeFactor = Math.exp((this.#random() + this.#random() + this.#random() - 1.5) * 0.6) * (this.#random() < 0.03 ? 7 : 1);
			const gang: StreamRun[] = [];
			for (let member = 0; member < size; member++) {
				const worker = this.#choose(kind.name);
				if (worker) {
					const neighbours = [...worker.runs].map(run => run.kind);
					this.starts++;
					this.harmfulStarts += neighbours.some(other => this.#slowdownOf(kind.name, other) > 1 || this.#slowdownOf(other, kind.name) > 1) ? 1 : 0;
					const run: StreamRun = {
						kind: kind.name, totalMs: kind.totalMs * sizeFactor, worker, gang, isGang: size > 1, startedAtMs: this.nowMs, delayMs: this.#random() * 700, doneMs: 0,
					};
					gang.push(run);
					worker.runs.add(run);
					this.#runCount++;
				}
			}
		}
	}

	/** The fullest of six workers with room, after those without a penalty; workers that are slow at the moment are avoided. */
	#choose(kind: string): StreamWorker | undefined {
		let best: StreamWorker | undefined;
		let bestScore = Number.POSITIVE_INFINITY;
		for (let attempt = 0; attempt < (this.options.choices ?? 6); attempt++) {
			const worker = this.#workers[Math.floor(this.#random() * this.#workers.length)]!;
			const penalty = this.options.penaltyOf?.(kind, [...worker.runs].map(run => run.kind)) ?? 0;
			const score = (penalty > 0 ? 100 : 0) + SLOTS - worker.runs.size + (worker.slowUntilMs > this.nowMs + 3000 ? 0 : (worker.slowFactor - 1) * 4);
			if (worker.runs.size < SLOTS && score < bestScore) {
				best = worker;
				bestScore = score;
			}
		}

		return best;
	}

	#disturb(worker: StreamWorker): void {
		if (worker.slowUntilMs <= this.nowMs) {
			const isHit = this.#random() < this.options.disturbancesPerMinute * STEP_MS / 60_000;
			worker.slowFactor = isHit ? 2 + (3 * this.#random()) : 1;
			worker.slowUntilMs = isHit ? this.nowMs + 5000 + (3000 * this.#random()) : 0;
		}
	}

	#slowdownOf(kind: string, neighbour: string): number {
		return this.options.slowdowns[`${kind} beside ${neighbour}`] ?? 1;
	}

	#work(worker: StreamWorker): void {
		const working = [...worker.runs].filter(run => run.doneMs < run.totalMs);
		for (const run of working) {
			if (this.nowMs - run.startedAtMs >= run.delayMs) {
				const neighbours = new Set(working.filter(other => other !== run).map(other => other.kind));
				const slowdown = [...neighbours].reduce((product, neighbour) => product * this.#slowdownOf(run.kind, neighbour), 1);
				run.doneMs += STEP_MS * worker.speed / worker.slowFactor / slowdown;
			}
		}
	}

	#endRuns(): void {
		for (const worker of this.#workers) {
			for (const run of worker.runs) {
				if (run.gang.every(member => member.doneMs >= member.totalMs)) {
					for (const member of run.gang) {
						member.worker.runs.delete(member);
						member.worker.listDueMs = member.worker.isLate ? member.worker.listDueMs : Math.min(member.worker.listDueMs, this.nowMs + (this.#random() * 100));
						member.worker.completed.push(member);
						this.#runCount--;
					}
				}
			}
		}
	}

	#list(worker: StreamWorker): void {
		worker.isLate = false;
		worker.listDueMs = this.nowMs + 900 + (this.#random() * 200);
		const runs: RunReading[] = [...worker.runs].map(run => {
			const percent = Math.min(100, Math.floor(run.doneMs / run.totalMs * 100));
			return {
				run, kind: run.kind, percent, isResumed: false, isWaiting: run.isGang && percent >= 100, isIgnored: false,
			};
		});
		this.onLists({worker, atMs: this.nowMs, workerClockMs: this.nowMs, runs, completedRuns: worker.completed.splice(0).filter(run => !run.isGang)});
	}
}
