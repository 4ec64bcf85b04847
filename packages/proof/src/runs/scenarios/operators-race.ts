import {formatAddress} from '@amaranthsail/core';
import type {ApiResponse} from '@amaranthsail/quickstart';
import type {Scenario} from '../scenario.js';
import {check} from '../violation.js';

/** A conflict in an API response. */
type Conflict = {readonly field: string; readonly owner: string; readonly currentValue: unknown; readonly submittedValue: unknown};

function createRecord(name: string, weight: number): unknown {
	return {schemaVersion: 1, kind: 'ClientAccount', name, spec: {weight, services: ['shared-repairs']}};
}

function parseConflicts(reply: ApiResponse): readonly Conflict[] {
	check(reply.status === 409 && reply.body.code === 'field_conflict', `expected a field_conflict: ${JSON.stringify(reply.body)}`);
	return reply.body.conflicts as readonly Conflict[];
}

function checkWeightConflict(reply: ApiResponse, owner: string, currentValue: number, submittedValue: number): void {
	const conflict = parseConflicts(reply).find(({field}) => field.endsWith('weight'));
	check(
		conflict?.owner === owner && conflict.currentValue === currentValue && conflict.submittedValue === submittedValue,
		`the conflict does not name field, owner and both values: ${JSON.stringify(reply.body)}`,
	);
}

/** Two operators set the same field at the same time, and later apply outdated files. */
export const operatorsRace: Scenario = {
	name: 'operators-race',
	properties: ['P8'],
	async run({system, repeats}) {
		const operators = ['olga', 'mere'] as const;
		const weights = {olga: 2, mere: 3};
		for (let round = 0; round < repeats; round += 1) {
			// The fields of a withdrawn record keep their owner, so each round needs a new record.
			const recordName = `proof-race-${system.createIdempotencyKey()}`;
			const path = `/v1/records/ClientAccount/${recordName}`;
			const replies = await Promise.all(operators.map(async (name, index) => {
				const address = formatAddress(system.runningEntries[index]!.address);
				return {name, reply: await system.operatorClient(name).callAt(address, 'PUT', path, {body: {record: createRecord(recordName, weights[name])}})};
			}));
			const winners = replies.filter(({reply}) => reply.status === 200);
			check(winners.length === 1, `${winners.length} operators won: ${JSON.stringify(replies.map(({reply}) => reply.body))}`);
			const [winner] = winners;
			const loser = replies.find(({reply}) => reply.status !== 200)!;
			checkWeightConflict(loser.reply, winner!.name, weights[winner!.name], weights[loser.name]);

			const firstRevision = Number(winner!.reply.body.revision);
			const changed = await system.operatorClient(winner!.name).call('PUT', path, {body: {record: createRecord(recordName, 5), baseRevision: firstRevision}});
			check(changed.status === 200, `the owner's change was refused: ${JSON.stringify(changed.body)}`);
			const recordBefore = await system.operatorClient('olga').call('GET', path);
			// The file of the loser and the first file of the winner are both outdated now.
			const staleReplies = [
				await system.operatorClient(loser.name).call('PUT', path, {body: {record: createRecord(recordName, weights[loser.name])}}),
				await system.operatorClient(winner!.name).call('PUT', path, {body: {record: createRecord(recordName, weights[winner!.name]), baseRevision: firstRevision}}),
			];
			checkWeightConflict(staleReplies[0]!, winner!.name, 5, weights[loser.name]);
			checkWeightConflict(staleReplies[1]!, winner!.name, 5, weights[winner!.name]);
			const recordAfter = await system.operatorClient('olga').call('GET', path);
			check(JSON.stringify(recordAfter.body) === JSON.stringify(recordBefore.body), `an outdated file changed the record to ${JSON.stringify(recordAfter.body)}`);
			const withdrawn = await system.operatorClient(winner!.name).call('DELETE', path, {body: {}});
			check(withdrawn.status === 200, `the record was not withdrawn: ${JSON.stringify(withdrawn.body)}`);
		}
	},
};
