import fc from 'fast-check';
import {findUnsettledJobs, findViolations} from './oracle.js';
import {SETTLE_TIMEOUT_MS, STORE_MODES, Simulation, type FuzzJob} from './simulation.js';

/** State of the model: the number of submitted jobs. */
export type Model = {submitted: number};

/** A command of the fuzzer. */
export type FuzzCommand = fc.AsyncCommand<Model, Simulation>;

/** Virtual time between two checks whether all jobs have ended, after the end of all faults. */
const SETTLE_CHECK_INTERVAL_MS = 10_000;

class SimulationCommand implements FuzzCommand {
	readonly #description: string;
	readonly #action: (simulation: Simulation, model: Model) => Promise<void> | void;

	constructor(description: string, action: (simulation: Simulation, model: Model) => Promise<void> | void) {
		this.#description = description;
		this.#action = action;
	}

	check(): boolean {
		return true;
	}

	async run(model: Model, simulation: Simulation): Promise<void> {
		await this.#action(simulation, model);
		const violations = findViolations(simulation);
		if (violations.length > 0) {
			throw new Error(violations.join('\n'));
		}
	}

	toString(): string {
		return this.#description;
	}
}

const jobArbitrary: fc.Arbitrary<FuzzJob> = fc.record({
	account: fc.constantFrom('red', 'blue'),
	taskCount: fc.constantFrom(1, 1, 2, 3),
	accelerators: fc.constantFrom(0, 1, 2, 4, 8),
	repeatable: fc.boolean(),
	checkpointable: fc.boolean(),
	runMs: fc.constantFrom(50, 1000, 8000, 30_000, 120_000),
	fails: fc.constantFrom(false, false, false, true),
	ignoresStop: fc.constantFrom(false, false, false, true),
}).filter(({account, taskCount, accelerators, repeatable}) =>
	// The last worker is guaranteed to the other account, so it never takes work that cannot be stopped; entries refuse such jobs.
	repeatable || account === 'blue' || taskCount * accelerators <= 16);

const entryIndexArbitrary = fc.nat({max: 1});
const agentIndexArbitrary = fc.nat({max: 2});

/**
 * Generates the commands of one history.
 *
 * @param maxCommands - Largest number of commands.
 * @returns The arbitrary.
 */
export function fuzzCommands(maxCommands: number): fc.Arbitrary<Iterable<FuzzCommand>> {
	const advance = fc.constantFrom(20, 200, 1000, 3000, 5000, 12_000, 30_000).map(ms => new SimulationCommand(`advance ${ms} ms`, async simulation => simulation.time.advance(ms)));
	const submit = jobArbitrary.map(spec => new SimulationCommand(`submit ${JSON.stringify(spec)}`, async (simulation, model) => {
		await simulation.submit(spec);
		model.submitted += 1;
	}));
	const onEntry = (name: string, action: (simulation: Simulation, index: number) => void): fc.Arbitrary<SimulationCommand> =>
		entryIndexArbitrary.map(index => new SimulationCommand(`${name} entry ${index}`, simulation => {
			action(simulation, index);
		}));
	const onAgent = (name: string, action: (simulation: Simulation, index: number) => Promise<void> | void): fc.Arbitrary<SimulationCommand> =>
		agentIndexArbitrary.map(index => new SimulationCommand(`${name} agent ${index}`, async simulation => action(simulation, index)));
	return fc.commands([
		advance,
		advance,
		submit,
		submit,
		fc.nat({max: 30}).map(index => new SimulationCommand(`cancel job ${index}`, simulation => {
			simulation.cancel(simulation.acceptedJobIds.slice(index, index + 1));
		})),
		fc.constant(new SimulationCommand('cancel all jobs', simulation => {
			simulation.cancel(simulation.acceptedJobIds);
		})),
		onEntry('kill', (simulation, index) => {
			simulation.entries[index]!.node.kill();
		}),
		onEntry('restart', (simulation, index) => {
			simulation.restartEntry(index);
		}),
		onEntry('drain', (simulation, index) => {
			simulation.entries[index]!.node.deliver(() => {
				simulation.entries[index]!.drain();
			});
		}),
		onEntry('pause', (simulation, index) => {
			simulation.entries[index]!.node.pause();
		}),
		onEntry('resume', (simulation, index) => {
			simulation.entries[index]!.node.resume();
		}),
		onEntry('disconnect from store', (simulation, index) => {
			simulation.entries[index]!.isStoreUnreachable = true;
		}),
		onEntry('reconnect to store', (simulation, index) => {
			simulation.entries[index]!.isStoreUnreachable = false;
		}),
		onAgent('kill', (simulation, index) => {
			simulation.agents[index]!.killProcess();
		}),
		onAgent('restart', (simulation, index) => {
			simulation.agents[index]!.restartProcess();
		}),
		onAgent('pause', (simulation, index) => {
			simulation.agents[index]!.pauseProcess();
		}),
		onAgent('resume', (simulation, index) => {
			simulation.agents[index]!.resumeProcess();
		}),
		onAgent('replace VM of', (simulation, index) => {
			simulation.agents[index]!.replaceVm();
		}),
		onAgent('announce leaving endpoint of', (simulation, index) => {
			simulation.agents[index]!.setEndpointLeaving(true);
		}),
		fc.tuple(entryIndexArbitrary, agentIndexArbitrary).map(([entry, agent]) => new SimulationCommand(`partition entry ${entry} from agent ${agent}`, simulation => {
			simulation.network.partition(`entry-${entry}`, simulation.agents[agent]!.host);
		})),
		fc.constant(new SimulationCommand('partition the entries from each other', simulation => {
			simulation.network.partition('entry-0', 'entry-1');
		})),
		fc.constant(new SimulationCommand('heal the network', simulation => {
			simulation.network.heal();
		})),
		fc.record({lossPercent: fc.constantFrom(0, 10, 40), duplicatePercent: fc.constantFrom(0, 30), maxDelayMs: fc.constantFrom(2, 500, 4000)})
			.map(faults => new SimulationCommand(`network ${JSON.stringify(faults)}`, simulation => {
				simulation.network.faults = faults;
			})),
		fc.constantFrom(...STORE_MODES).map(mode => new SimulationCommand(`store ${mode}`, simulation => {
			simulation.storeMode = mode;
		})),
		fc.constant(new SimulationCommand('apply late writes', simulation => {
			simulation.applyLateWrites();
		})),
	], {maxCommands, size: 'max'});
}

/**
 * Runs commands in a new simulation, ends all faults and waits until every job has ended.
 *
 * @param seed - Seed of the simulation.
 * @param commands - The commands.
 * @throws Error that lists the violations.
 */
export async function runHistory(seed: number, commands: Iterable<FuzzCommand>): Promise<void> {
	const simulation = new Simulation(seed);
	await simulation.time.advance(5000);
	await fc.asyncModelRun(() => ({model: {submitted: 0}, real: simulation}), commands);
	await simulation.heal();
	let unsettled: readonly string[] = [];
	for (let elapsedMs = 0; elapsedMs < SETTLE_TIMEOUT_MS; elapsedMs += SETTLE_CHECK_INTERVAL_MS) {
		await simulation.time.advance(SETTLE_CHECK_INTERVAL_MS);
		unsettled = await findUnsettledJobs(simulation);
		if (unsettled.length === 0) {
			break;
		}
	}

	const violations = [...findViolations(simulation), ...unsettled];
	if (violations.length > 0) {
		throw new Error(violations.join('\n'));
	}
}
