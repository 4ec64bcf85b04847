import {expect} from 'chai';
import type {ControlMessage} from '@amaranthsail/core';
import {AgentHarness, ASSIGNMENT, TASK} from './agent-harness.js';
import {isValidMessage} from '@amaranthsail/agent/message-validation.js';

const ACK = {
	type: 'ack', ownerId: 'owner-1', epoch: 1, sequence: 1, sentAtMs: 1, degraded: false, revision: 1, wantFacts: false, renewed: [TASK],
};
const PREPARE = new AgentHarness().createCommand('prepare');

// Guards against an agent that crashes, or accounts resources wrongly, on a message of an owner of another version.
const CASES: ReadonlyArray<readonly [string, unknown, boolean]> = [
	['acknowledgement', ACK, true],
	['acknowledgement without renewals', {...ACK, renewed: undefined}, false],
	['acknowledgement with a malformed key', {...ACK, renewed: [{jobId: 'a'}]}, false],
	['acknowledgement with a string instead of a number', {...ACK, sequence: '1'}, false],
	['prepare', PREPARE, true],
	['prepare without an assignment, which is refused later', {...PREPARE, assignment: undefined}, true],
	['prepare with a negative amount', {...PREPARE, assignment: {...ASSIGNMENT, shape: {...ASSIGNMENT.shape, slots: -1}}}, false],
	['prepare without a shape', {...PREPARE, assignment: {...ASSIGNMENT, shape: undefined}}, false],
	['prepare with a null hold time', {...PREPARE, holdMs: null}, false],
	['unknown command', {...PREPARE, kind: 'restart'}, false],
	['command without an epoch', {...PREPARE, epoch: undefined}, false],
	['heartbeat of another agent', {...ACK, type: 'heartbeat'}, false],
];

describe('isValidMessage', () => {
	for (const [name, message, expected] of CASES) {
		it(`${expected ? 'accepts' : 'rejects'}: ${name}`, () => {
			expect(isValidMessage(message as ControlMessage)).to.equal(expected);
		});
	}
});
