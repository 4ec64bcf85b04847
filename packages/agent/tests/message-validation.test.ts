import {expect} from 'chai';
import type {ControlMessage} from '@amaranthsail/core';
import {AgentHarness, ASSIGNMENT, TASK} from './agent-harness.js';
import {isUsableMessage} from '@amaranthsail/agent/message-validation.js';

const ACK = {
	type: 'ack', ownerId: 'owner-1', epoch: 1, sequence: 1, sentAtMs: 1, degraded: false, revision: 1, wantFacts: false, renewed: [TASK],
};
const PREPARE = new AgentHarness().makeCommand('prepare');

// Guards against an agent that ends, or miscounts, on a message of an owner with another version.
const CASES: ReadonlyArray<readonly [string, unknown, boolean]> = [
	['acknowledgement', ACK, true],
	['acknowledgement without renewals', {...ACK, renewed: undefined}, false],
	['acknowledgement of a malformed key', {...ACK, renewed: [{jobId: 'a'}]}, false],
	['acknowledgement with a text for a number', {...ACK, sequence: '1'}, false],
	['prepare', PREPARE, true],
	['prepare without an assignment, which is refused', {...PREPARE, assignment: undefined}, true],
	['prepare with a negative amount', {...PREPARE, assignment: {...ASSIGNMENT, shape: {...ASSIGNMENT.shape, slots: -1}}}, false],
	['prepare without a shape', {...PREPARE, assignment: {...ASSIGNMENT, shape: undefined}}, false],
	['prepare with an endless hold', {...PREPARE, holdMs: null}, false],
	['unknown command', {...PREPARE, kind: 'restart'}, false],
	['command without an epoch', {...PREPARE, epoch: undefined}, false],
	['heartbeat of another agent', {...ACK, type: 'heartbeat'}, false],
];

describe('isUsableMessage', () => {
	for (const [name, message, expected] of CASES) {
		it(`${expected ? 'takes' : 'drops'}: ${name}`, () => {
			expect(isUsableMessage(message as ControlMessage)).to.equal(expected);
		});
	}
});
