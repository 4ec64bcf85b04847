import type {Scenario} from '../scenario.js';
import {agentDrained, agentKilled, agentPaused} from './agent-failures.js';
import {configurationInForce} from './configuration-in-force.js';
import {endpointLeaving} from './endpoint-leaving.js';
import {operatorsRace} from './operators-race.js';
import {ownerDrained, ownerKilled, ownerPaused} from './owner-failures.js';
import {ownerKilledMidGang} from './owner-killed-mid-gang.js';
import {rollingReplacement} from './rolling-replacement.js';
import {answersLost, storeDown, storeSlow} from './store-failures.js';
import {urgentStartIdle, urgentStartReclaim} from './urgent-start.js';

export * from './agent-failures.js';
export * from './configuration-in-force.js';
export * from './endpoint-leaving.js';
export * from './operators-race.js';
export * from './owner-failures.js';
export * from './owner-killed-mid-gang.js';
export * from './rolling-replacement.js';
export * from './store-failures.js';
export * from './urgent-start.js';

/** All scenarios, in the order in which `failure-runs` runs them. */
export const SCENARIOS: readonly Scenario[] = [
	ownerKilled,
	ownerPaused,
	ownerDrained,
	agentKilled,
	agentPaused,
	storeDown,
	storeSlow,
	answersLost,
	ownerKilledMidGang,
	rollingReplacement,
	operatorsRace,
	endpointLeaving,
	agentDrained,
	configurationInForce,
	urgentStartIdle,
	urgentStartReclaim,
];
