import type {ProofSystem} from './test-system.js';

/** Takes one measured time in milliseconds under a name. */
export type Record = (name: string, valueMs: number) => void;

/** What a scenario works with. */
export type ScenarioContext = {
	readonly system: ProofSystem;
	readonly record: Record;
	/** Repetitions of a measured step. */
	readonly repeats: number;
};

/** One failure and what must hold under it. */
export type Scenario = {
	readonly name: string;
	/** Ids of the properties on the design page. */
	readonly properties: readonly string[];
	/** Leaves the system complete and without faults; throws a `Violation` or the error of a wait. */
	run(context: ScenarioContext): Promise<void>;
};
