import {formatAddress} from '@amaranthsail/core';
import type {ApiReply} from '@amaranthsail/quickstart';
import type {Scenario} from '../scenario.js';
import {check} from '../violation.js';

/** A conflict as the API shows it. */
type Conflict = {readonly field: string; readonly owner: string; readonly currentValue: unknown; readonly submittedValue: unknown};

function recordWith(name: string, weight: number): unknown {
	return {schemaVersion: 1, kind: 'ClientAccount', name, spec: {weight, services: ['shared-repairs']}};
}

function conflictsOf(reply: ApiReply): readonly Conflict[] {
	check(reply.status === 409 && reply.body.code === 'field_conflict', `expected a field_conflict: ${JSON.stringify(reply.body)}`);
	return reply.body.conflicts as readonly Conflict[];
}

function checkNamesWeight(reply: ApiReply, owner: string, currentValue: number, submittedValue: number): void {
	const conflict = conflictsOf(reply).find(({field}) => field.endsWith('weight'));
	check(
		conflict?.owner === owner && conflict.currentValue === currentValue && conflict.submittedValue === submittedValue,
		`the conflict does not name field, owner and both values: ${JSON.stringify(reply.body)}`,
	);
}

/** Two operators set the same field at the same time, and later an old file is applied again. */
export const operatorsRace: Scenario = {
	name: 'operators-race',
	properties: ['P8'],
	async run({system, repeats}) {
		const operators = ['olga', 'mere'] as const;
		const weights = {olga: 2, mere: 3};
		for (let round = 0; round < repeats; round += 1) {
			// The fields of a withdrawn record keep their owner, so each round has a record of its own.
			const record = `proof-race-${system.newKey()}`;
			const path = `/v1/records/ClientAccount/${record}`;
			const replies = await Promise.all(operators.map(async (name, index) => {
				const address = formatAddress(system.liveEntries[index]!.address);
				return {name, reply: await system.operator(name).callAt(address, 'PUT', path, {body: {record: recordWith(record, weights[name])}})};
			}));
			const winners = replies.filter(({reply}) => reply.status === 200);
			check(winners.length === 1, `${winners.length} operators won: ${JSON.stringify(replies.map(({reply}) => reply.body))}`);
			const [winner] = winners;
			const loser = replies.find(({reply}) => reply.status !== 200)!;
			checkNamesWeight(loser.reply, winner!.name, weights[winner!.name], weights[loser.name]);

			const first = Number(winner!.reply.body.revision);
			const changed = await system.operator(winner!.name).call('PUT', path, {body: {record: recordWith(record, 5), baseRevision: first}});
			check(changed.status === 200, `the owner's change was refused: ${JSON.stringify(changed.body)}`);
			const before = await system.operator('olga').call('GET', path);
			// The loser's file and the winner's own file of before are both old now.
			const old = [
				await system.operator(loser.name).call('PUT', path, {body: {record: recordWith(record, weights[loser.name])}}),
				await system.operator(winner!.name).call('PUT', path, {body: {record: recordWith(record, weights[winner!.name]), baseRevision: first}}),
			];
			checkNamesWeight(old[0]!, winner!.name, 5, weights[loser.name]);
			checkNamesWeight(old[1]!, winner!.name, 5, weights[winner!.name]);
			const after = await system.operator('olga').call('GET', path);
			check(JSON.stringify(after.body) === JSON.stringify(before.body), `an old file changed the record to ${JSON.stringify(after.body)}`);
			const withdrawn = await system.operator(winner!.name).call('DELETE', path, {body: {}});
			check(withdrawn.status === 200, `the record was not withdrawn: ${JSON.stringify(withdrawn.body)}`);
		}
	},
};
