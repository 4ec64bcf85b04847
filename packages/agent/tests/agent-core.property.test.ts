import {expect} from 'chai';
import {
	ANNOUNCEMENT_TIMEOUT_MS, type Command, COMMAND_KINDS, formatTaskKey, type Heartbeat, TASK_LEASE_MS, type TaskKey,
} from '@amaranthsail/core';
import fc from 'fast-check';
import {AgentHarness, ASSIGNMENT} from './agent-harness.js';
import type {AgentEffect} from '@amaranthsail/agent';

const SEED = 20_261_204;
const SEQUENCE_COUNT = 1500;

const KEYS: readonly TaskKey[] = [1, 2].flatMap(attempt => [0, 1].map(taskIndex => ({jobId: 'job-a', attempt, taskIndex})));

const TOGGLES = ['newOwner', 'finish', 'leave', 'silence', 'store', 'start', 'stop'] as const;

type Action
	= | {readonly kind: 'command'; readonly command: Command['kind']; readonly keyIndex: number; readonly epochLag: number; readonly isForOtherIncarnation: boolean}
		| {readonly kind: 'replay'; readonly back: number}
		| {readonly kind: 'ack'; readonly back: number; readonly epochLag: number}
		| {readonly kind: 'advance' | 'pause'; readonly byMs: number}
		| {readonly kind: 'toggle'; readonly toggle: (typeof TOGGLES)[number]; readonly keyIndex: number}
		| {readonly kind: 'run'; readonly keyIndex: number};

const keyIndex = fc.nat({max: KEYS.length - 1});
const epochLag = fc.constantFrom(0, 0, 0, 0, 1, 2);
const commandAction = fc.record({
	kind: fc.constant('command' as const),
	command: fc.constantFrom(...COMMAND_KINDS, 'prepare', 'prepare', 'release', 'release', 'release'),
	keyIndex,
	epochLag,
	isForOtherIncarnation: fc.constantFrom(false, false, false, false, false, true),
});
const actionSequences: fc.Arbitrary<readonly Action[]> = fc.array(fc.oneof(
	{weight: 8, arbitrary: commandAction},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('replay' as const), back: fc.nat({max: 20})})},
	{weight: 5, arbitrary: fc.record({kind: fc.constant('ack' as const), back: fc.constantFrom(0, 0, 1, 2, 5), epochLag})},
	{weight: 4, arbitrary: fc.record({kind: fc.constant('advance' as const), byMs: fc.constantFrom(1, 20, 300, 1000, 2500)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('pause' as const), byMs: fc.constantFrom(100, 2900, 6000, 9900, 12_000)})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('toggle' as const), toggle: fc.constantFrom(...TOGGLES), keyIndex})},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('run' as const), keyIndex})},
), {minLength: 10, maxLength: 60});

/** Checks the agent's invariants using only its inputs and effects. */
class InvariantChecker {
	startCount = 0;
	readonly #harness: AgentHarness;
	/** End of each lease passed to the worker, by task. */
	readonly #leases = new Map<string, number>();
	readonly #reportedEnded = new Set<string>();
	readonly #storedAnswers = new Set<string>();
	#currentCommand: Command | undefined;
	#maxEpoch = 0;
	#leaseUntilMs = Number.NEGATIVE_INFINITY;

	constructor(harness: AgentHarness) {
		this.#harness = harness;
		harness.onEffect = effect => {
			this.#check(effect);
		};
	}

	deliver(command: Command): void {
		const isForThisAgent = command.incarnation === 'incarnation-2';
		this.#currentCommand = isForThisAgent && command.epoch >= this.#maxEpoch ? command : undefined;
		this.#maxEpoch = isForThisAgent ? Math.max(this.#maxEpoch, command.epoch) : this.#maxEpoch;
		this.#harness.command(command.kind, command);
		this.#currentCommand = undefined;
	}

	acknowledge(heartbeat: Heartbeat, epoch: number): void {
		if (epoch >= this.#maxEpoch) {
			this.#maxEpoch = epoch;
			this.#leaseUntilMs = Math.max(this.#leaseUntilMs, heartbeat.sentAtMs + TASK_LEASE_MS);
		}

		this.#harness.ack(heartbeat, {epoch, ownerId: `owner-${epoch}`});
	}

	#check(effect: AgentEffect): void {
		const {nowMs} = this.#harness;
		if (effect.kind === 'start') {
			this.#checkStart(effect.key, effect.leaseUntilMs);
		} else if (effect.kind === 'renew') {
			for (const {key, leaseUntilMs} of effect.leases) {
				expect(leaseUntilMs, 'renewal beyond the latest acknowledged heartbeat').to.be.at.most(this.#leaseUntilMs);
				expect(this.#leases.get(formatTaskKey(key)), 'renewal of an expired lease').to.be.greaterThan(nowMs);
				this.#leases.set(formatTaskKey(key), leaseUntilMs);
			}
		} else if (effect.kind === 'putAnswer' && this.#harness.isStoreUp) {
			this.#storedAnswers.add(formatTaskKey(effect.key));
		} else if (effect.kind === 'send') {
			this.#checkReports(effect.message);
		} else if (effect.kind === 'discover') {
			this.#maxEpoch = Math.max(this.#maxEpoch, this.#harness.epoch);
		}
	}

	#checkStart(taskKey: TaskKey, leaseUntilMs: number): void {
		const {nowMs} = this.#harness;
		const key = formatTaskKey(taskKey);
		this.startCount += 1;
		expect(this.#leases.has(key), `second start of ${key}`).to.equal(false);
		expect(this.#reportedEnded.has(key), `start of ${key} after a report that it ended`).to.equal(false);
		expect(this.#currentCommand?.kind, 'start without a release command of the current epoch').to.equal('release');
		expect(this.#currentCommand && formatTaskKey(this.#currentCommand.task)).to.equal(key);
		expect(leaseUntilMs, 'start after the end of its lease').to.be.greaterThan(nowMs);
		expect(leaseUntilMs, 'lease beyond the latest acknowledged heartbeat').to.be.at.most(this.#leaseUntilMs);
		expect(this.#harness.isLeaving, 'start on a leaving endpoint').to.equal(false);
		expect(nowMs - this.#harness.announcedAtMs, 'start on an endpoint whose announcement timed out').to.be.lessThan(ANNOUNCEMENT_TIMEOUT_MS);
		this.#leases.set(key, leaseUntilMs);
	}

	#checkReports(heartbeat: Heartbeat): void {
		for (const report of heartbeat.reports) {
			const key = formatTaskKey(report);
			if (report.state === 'finished') {
				expect(this.#storedAnswers.has(key), `${key} reported as finished before its answer was stored`).to.equal(true);
			}

			if (['stopped', 'refused', 'finished', 'failed'].includes(report.state)) {
				this.#reportedEnded.add(key);
			}

			if (!report.everStarted && this.#harness.startError === undefined) {
				expect(this.#harness.worker.get(key)?.state, `${key} runs but is reported as never started`).not.to.equal('running');
			}
		}
	}
}

function countStarts(steps: readonly Action[]): number {
	const harness = new AgentHarness();
	harness.isAcknowledging = false;
	const checker = new InvariantChecker(harness);
	const sentCommands: Command[] = [];
	harness.boot();
	for (const step of steps) {
		applyAction(step, harness, checker, sentCommands);
	}

	return checker.startCount;
}

function applyAction(step: Action, harness: AgentHarness, checker: InvariantChecker, sentCommands: Command[]): void {
	const deliver = (kind: Command['kind'], changes: Partial<Command> & Pick<Command, 'task'>): void => {
		const accelerators = [0, 1].map(number => number + (2 * KEYS.indexOf(changes.task)));
		const command = harness.createCommand(kind, {...changes, ...(kind === 'prepare' && {assignment: {...ASSIGNMENT, accelerators}})});
		sentCommands.push(command);
		checker.deliver(command);
	};

	switch (step.kind) {
		case 'command': {
			const epoch = harness.epoch - step.epochLag;
			deliver(step.command, {
				epoch, ownerId: `owner-${epoch}`, task: KEYS[step.keyIndex]!, incarnation: step.isForOtherIncarnation ? 'incarnation-1' : 'incarnation-2',
			});
			break;
		}

		case 'run': {
			deliver('prepare', {task: KEYS[step.keyIndex]!});
			harness.advance(20);
			checker.acknowledge(harness.heartbeats.at(-1)!, harness.epoch);
			deliver('release', {task: KEYS[step.keyIndex]!});
			break;
		}

		case 'replay': {
			const command = sentCommands.at(-1 - step.back);
			if (command !== undefined) {
				checker.deliver(command);
			}

			break;
		}

		case 'ack': {
			const heartbeat = harness.heartbeats.at(-1 - step.back);
			if (heartbeat !== undefined) {
				checker.acknowledge(heartbeat, harness.epoch - step.epochLag);
			}

			break;
		}

		case 'advance': {
			harness.advance(step.byMs);
			break;
		}

		case 'pause': {
			harness.pause(step.byMs);
			break;
		}

		case 'toggle': {
			applyToggle(step.toggle, harness, KEYS[step.keyIndex]!);
		}
	}
}

function applyToggle(toggle: (typeof TOGGLES)[number], harness: AgentHarness, key: TaskKey): void {
	switch (toggle) {
		case 'newOwner': {
			harness.epoch += 1;
			harness.ownerId = `owner-${harness.epoch}`;
			break;
		}

		case 'finish': {
			if (harness.worker.get(formatTaskKey(key))?.state === 'running') {
				harness.setWorkerTask({state: 'finished', answerBase64: 'YQ=='}, key);
			}

			break;
		}

		case 'leave': {
			harness.isLeaving = !harness.isLeaving;
			harness.announce();
			break;
		}

		case 'silence': {
			harness.isAnnouncing = !harness.isAnnouncing;
			break;
		}

		case 'store': {
			harness.isStoreUp = !harness.isStoreUp;
			break;
		}

		case 'start': {
			harness.startError = harness.startError === undefined ? {kind: 'outcome_unknown', message: 'lost'} : undefined;
			break;
		}

		case 'stop': {
			harness.stopError = harness.stopError === undefined ? {kind: 'unavailable', message: 'down'} : undefined;
			break;
		}
	}
}

describe('AgentCore under random messages', () => {
	it('starts a task at most once, only under a lease, never after its end and never for a fenced owner', () => {
		let startCount = 0;
		fc.assert(fc.property(actionSequences, steps => {
			startCount += countStarts(steps);
		}), {seed: SEED, numRuns: SEQUENCE_COUNT});
		// Without starts the property would hold trivially.
		expect(startCount).to.be.greaterThan(SEQUENCE_COUNT / 2);
	}).timeout(60_000);
});
