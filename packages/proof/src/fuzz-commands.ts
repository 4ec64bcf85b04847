import fc from 'fast-check';
import {findUnfinished, findViolations} from './oracle.js';
import {SETTLE_LIMIT_MS, STORE_MODES, World, type FuzzJob} from './simulation.js';

/** What the model remembers: only how many jobs were submitted. */
export type Model = {submitted: number};

/** A command of the fuzzer. */
export type FuzzCommand = fc.AsyncCommand<Model, World>;

/** Step in which time passes while the jobs of a healed world end. */
const SETTLE_STEP_MS = 10_000;

class Step implements FuzzCommand {
	readonly #text: string;
	readonly #act: (world: World, model: Model) => Promise<void> | void;

	constructor(text: string, act: (world: World, model: Model) => Promise<void> | void) {
		this.#text = text;
		this.#act = act;
	}

	check(): boolean {
		return true;
	}

	async run(model: Model, world: World): Promise<void> {
		await this.#act(world, model);
		const violations = findViolations(world);
		if (violations.length > 0) {
			throw new Error(violations.join('\n'));
		}
	}

	toString(): string {
		return this.#text;
	}
}

const job: fc.Arbitrary<FuzzJob> = fc.record({
	account: fc.constantFrom('red', 'blue'),
	taskCount: fc.constantFrom(1, 1, 2, 3),
	accelerators: fc.constantFrom(0, 1, 2, 4, 8),
	repeatable: fc.boolean(),
	checkpointable: fc.boolean(),
	runMs: fc.constantFrom(50, 1000, 8000, 30_000, 120_000),
	fails: fc.constantFrom(false, false, false, true),
	ignoresStop: fc.constantFrom(false, false, false, true),
}).filter(({account, taskCount, accelerators, repeatable}) =>
	// Work that cannot be stopped never gets the last worker, which is guaranteed to the other account; entries refuse it.
	repeatable || account === 'blue' || taskCount * accelerators <= 16);

const entryIndex = fc.nat({max: 1});
const agentIndex = fc.nat({max: 2});

/**
 * Generates the commands of one run.
 *
 * @param maxCommands - Largest number of commands.
 * @returns The arbitrary.
 */
export function fuzzCommands(maxCommands: number): fc.Arbitrary<Iterable<FuzzCommand>> {
	const advance = fc.constantFrom(20, 200, 1000, 3000, 5000, 12_000, 30_000).map(ms => new Step(`advance ${ms} ms`, async world => world.time.advance(ms)));
	const submit = job.map(spec => new Step(`submit ${JSON.stringify(spec)}`, async (world, model) => {
		await world.submit(spec);
		model.submitted += 1;
	}));
	const onEntry = (name: string, act: (world: World, index: number) => void): fc.Arbitrary<Step> =>
		entryIndex.map(index => new Step(`${name} entry ${index}`, world => {
			act(world, index);
		}));
	const onAgent = (name: string, act: (world: World, index: number) => Promise<void> | void): fc.Arbitrary<Step> =>
		agentIndex.map(index => new Step(`${name} agent ${index}`, async world => act(world, index)));
	return fc.commands([
		advance,
		advance,
		submit,
		submit,
		fc.nat({max: 30}).map(index => new Step(`cancel job ${index}`, world => {
			world.cancel(world.accepted.slice(index, index + 1));
		})),
		fc.constant(new Step('cancel all jobs', world => {
			world.cancel(world.accepted);
		})),
		onEntry('kill', (world, index) => {
			world.entries[index]!.node.kill();
		}),
		onEntry('restart', (world, index) => {
			world.restartEntry(index);
		}),
		onEntry('drain', (world, index) => {
			world.entries[index]!.node.deliver(() => {
				world.entries[index]!.drain();
			});
		}),
		onEntry('freeze', (world, index) => {
			world.entries[index]!.node.freeze();
		}),
		onEntry('thaw', (world, index) => {
			world.entries[index]!.node.thaw();
		}),
		onEntry('cut from store', (world, index) => {
			world.entries[index]!.isCutFromStore = true;
		}),
		onEntry('reconnect to store', (world, index) => {
			world.entries[index]!.isCutFromStore = false;
		}),
		onAgent('kill', (world, index) => {
			world.agents[index]!.killProcess();
		}),
		onAgent('restart', (world, index) => {
			world.agents[index]!.restartProcess();
		}),
		onAgent('freeze', (world, index) => {
			world.agents[index]!.freezeProcess();
		}),
		onAgent('thaw', (world, index) => {
			world.agents[index]!.thawProcess();
		}),
		onAgent('replace VM of', (world, index) => {
			world.agents[index]!.replaceVm();
		}),
		onAgent('leaving endpoint at', (world, index) => {
			world.agents[index]!.setEndpointLeaving(true);
		}),
		fc.tuple(entryIndex, agentIndex).map(([entry, agent]) => new Step(`cut entry ${entry} from agent ${agent}`, world => {
			world.network.cut(`entry-${entry}`, world.agents[agent]!.host);
		})),
		fc.constant(new Step('cut the entries from one another', world => {
			world.network.cut('entry-0', 'entry-1');
		})),
		fc.constant(new Step('heal the network', world => {
			world.network.heal();
		})),
		fc.record({lossPercent: fc.constantFrom(0, 10, 40), duplicatePercent: fc.constantFrom(0, 30), maxDelayMs: fc.constantFrom(2, 500, 4000)})
			.map(faults => new Step(`network ${JSON.stringify(faults)}`, world => {
				world.network.faults = faults;
			})),
		fc.constantFrom(...STORE_MODES).map(mode => new Step(`store ${mode}`, world => {
			world.storeMode = mode;
		})),
		fc.constant(new Step('late writes take effect', world => {
			world.landLateWrites();
		})),
	], {maxCommands, size: 'max'});
}

/**
 * Runs commands in a new world, ends all faults, and waits until every job has ended.
 *
 * @param seed - Seed of the world.
 * @param commands - The commands.
 * @throws Error that names each violation.
 */
export async function runHistory(seed: number, commands: Iterable<FuzzCommand>): Promise<void> {
	const world = new World(seed);
	await world.time.advance(5000);
	await fc.asyncModelRun(() => ({model: {submitted: 0}, real: world}), commands);
	await world.heal();
	let unfinished: readonly string[] = [];
	for (let passedMs = 0; passedMs < SETTLE_LIMIT_MS; passedMs += SETTLE_STEP_MS) {
		await world.time.advance(SETTLE_STEP_MS);
		unfinished = await findUnfinished(world);
		if (unfinished.length === 0) {
			break;
		}
	}

	const violations = [...findViolations(world), ...unfinished];
	if (violations.length > 0) {
		throw new Error(violations.join('\n'));
	}
}
