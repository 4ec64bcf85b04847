import type {TestSystem} from './test-system.js';

/** Records a measured duration under a name. */
export type RecordTime = (name: string, durationMs: number) => void;

/** The system under test and the parameters of a scenario. */
export type ScenarioContext = {
	readonly system: TestSystem;
	readonly recordTime: RecordTime;
	/** Number of repetitions of a measured step. */
	readonly repeats: number;
};

/** A failure scenario and its checks. */
export type Scenario = {
	readonly name: string;
	/** Ids of the checked properties, as on the design page. */
	readonly properties: readonly string[];
	/** Runs the scenario and leaves the system with all processes and without faults; throws a `Violation` or the error of a wait. */
	run(context: ScenarioContext): Promise<void>;
};
