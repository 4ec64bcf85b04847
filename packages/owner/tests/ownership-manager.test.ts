import {expect} from 'chai';
import {OWNERSHIP_CLAIM_AFTER_MS, OWNERSHIP_VALIDITY_MS} from '@amaranthsail/core';
import type {Row} from '@amaranthsail/backing-services';
import {MemoryTables} from './memory-tables.js';
import {OwnershipManager, type OwnershipEffect, type OwnershipEvent, type WriteResult} from '@amaranthsail/owner';
import {claimDelayMs} from '@amaranthsail/owner/claim-preference.js';

const DOMAINS = ['catania', 'palermo', 'siracusa'].map(failureDomain => ({failureDomain, region: 'sicily'}));

type Entry = {
	readonly manager: OwnershipManager; readonly valid: Map<string, number>; readonly claims: Array<Extract<OwnershipEffect, {readonly kind: 'claimed'}>>;
	isPaused: boolean; writeDelayMs: number; readonly pending: Array<{readonly atMs: number; readonly event: OwnershipEvent}>;
};

/** Runs managers on one store and one virtual clock. Two entries must never be valid for one failure domain at once. */
class ManagerWorld {
	nowMs = 0;
	readonly tables = new MemoryTables();
	readonly entries: Entry[] = [];
	#nextId = 0;

	add(processId: string, failureDomain = 'catania', domains = DOMAINS): Entry {
		const manager = new OwnershipManager({
			processId, region: 'sicily', failureDomain, datagramAddress: {host: processId, port: 2}, controlAddress: {host: processId, port: 1}, newId: () => {
				this.#nextId += 1;
				return `w${this.#nextId}`;
			},
		});
		const entry: Entry = {
			manager, valid: new Map(), claims: [], isPaused: false, writeDelayMs: 0, pending: [],
		};
		this.entries.push(entry);
		this.input(entry, {kind: 'configure', domains});
		return entry;
	}

	input(entry: Entry, event: OwnershipEvent): void {
		this.#carryOut(entry, entry.manager.handle(event, this.nowMs));
	}

	run(forMs: number): void {
		for (const endMs = this.nowMs + forMs; this.nowMs < endMs;) {
			this.nowMs += 10;
			for (const entry of this.entries.filter(({isPaused}) => !isPaused)) {
				for (const {event} of entry.pending.filter(({atMs}) => atMs <= this.nowMs)) {
					this.input(entry, event);
				}

				entry.pending.splice(0, entry.pending.length, ...entry.pending.filter(({atMs}) => atMs > this.nowMs));
				this.#carryOut(entry, entry.manager.tick(this.nowMs));
			}

			for (const {failureDomain} of DOMAINS) {
				const valid = this.entries.filter(entry => (entry.valid.get(failureDomain) ?? 0) > this.nowMs);
				expect(valid.length, `owners of ${failureDomain} at ${this.nowMs}`).to.be.at.most(1);
			}
		}
	}

	/** Lets time pass until a renewal of an entry has no answer yet, and returns the write ids of such renewals. */
	renewals(entry: Entry): readonly string[] {
		for (;;) {
			const writeIds = entry.pending.flatMap(({event}) => event.kind === 'writeResult' ? [event.writeId] : []);
			if (writeIds.length > 0) {
				entry.pending.splice(0);
				return writeIds;
			}

			this.run(10);
		}
	}

	owned(entry: Entry): readonly string[] {
		return DOMAINS.map(({failureDomain}) => failureDomain).filter(name => entry.manager.heldEpoch(name) !== undefined);
	}

	#carryOut(entry: Entry, effects: readonly OwnershipEffect[]): void {
		for (const effect of effects) {
			switch (effect.kind) {
				case 'scan': {
					const isDown = this.tables.fault === 'down';
					const rows = (table: string): readonly Row[] => DOMAINS.flatMap(({failureDomain}) => this.tables.row(table, failureDomain) ?? []);
					entry.pending.push({
						atMs: this.nowMs + 10, event: isDown
							? {kind: 'scanFailed'}
							: {
								kind: 'scanned', sentAtMs: this.nowMs, ownership: rows('ownership'), renewals: rows('owner_renewals'),
							},
					});
					break;
				}

				case 'write': {
					const result = this.tables.apply(effect.transaction);
					entry.pending.push({
						atMs: this.nowMs + 10 + entry.writeDelayMs, event: {
							kind: 'writeResult', failureDomain: effect.failureDomain, writeId: effect.transaction.writeId, result: toWriteResult(result),
						},
					});
					break;
				}

				case 'claimed': {
					entry.claims.push(effect);
					break;
				}

				case 'validity': {
					entry.valid.set(effect.failureDomain, effect.validity.kind === 'valid' ? effect.validity.validUntilMs : 0);
					break;
				}
			}
		}
	}
}

function toWriteResult(result: ReturnType<MemoryTables['apply']>): WriteResult {
	if (result.ok) {
		return {kind: 'committed', versions: result.value};
	}

	switch (result.error.kind) {
		case 'condition_failed': {
			return {kind: 'conditionFailed', failed: result.error.failed};
		}

		case 'outcome_unknown': {
			return {kind: 'unknown', message: ''};
		}

		case 'unavailable':
		case 'rejected': {
			return {kind: 'unavailable', message: ''};
		}
	}
}

describe('OwnershipManager', () => {
	// Guards against one entry that owns everything while others own nothing.
	it('spreads failure domains over the entries that start together', () => {
		const world = new ManagerWorld();
		const entries = ['entry-1', 'entry-2', 'entry-3'].map((processId, index) => world.add(processId, DOMAINS[index]!.failureDomain));
		world.run(3000);
		expect(entries.map(entry => world.owned(entry).length)).to.deep.equal([1, 1, 1]);
		expect(entries.flatMap(({claims}) => claims.map(({epoch}) => epoch))).to.deep.equal([1, 1, 1]);
	});

	// Guards against a claim while the old owner still counts itself valid, and against a paused owner that goes on when it wakes.
	it('claims the failure domain of a paused owner after the claim time', () => {
		const world = new ManagerWorld();
		const first = world.add('entry-1', 'siracusa', DOMAINS.slice(0, 1));
		world.run(2000);
		const second = world.add('entry-2', 'palermo', DOMAINS.slice(0, 1));
		world.run(1000);
		first.isPaused = true;
		const pausedAtMs = world.nowMs;
		world.run(6000);
		const [claim] = second.claims;
		expect(claim).to.include({failureDomain: 'catania', epoch: 2});
		expect(claim!.previous?.ownerId).to.equal('entry-1');
		expect(claim!.claimedAtMs - pausedAtMs).to.be.within(OWNERSHIP_VALIDITY_MS, OWNERSHIP_CLAIM_AFTER_MS + 1500);
		first.isPaused = false;
		world.run(1000);
		expect(world.owned(first)).to.deep.equal([]);
		expect(world.owned(second)).to.deep.equal(['catania']);
	});

	// Guards against a wave of takeovers when the store comes back: no owner could renew, and none of them has failed.
	for (const phaseMs of [0, 100, 200, 300, 400]) {
		it(`changes no owner because of a store outage that ends ${phaseMs} ms into a scan interval`, () => {
			const world = new ManagerWorld();
			const entries = ['entry-1', 'entry-2', 'entry-3'].map((processId, index) => {
				// Started apart, the entries scan and renew at different times.
				world.run(1170 * index);
				return world.add(processId);
			});
			world.run(5000);
			const ownedBefore = entries.map(entry => world.owned(entry));
			world.tables.fault = 'down';
			world.run(20_000 + phaseMs);
			expect(entries.every(({valid}) => [...valid.values()].every(untilMs => untilMs < world.nowMs))).to.equal(true);
			world.tables.fault = 'none';
			world.run(10_000);
			expect(entries.map(entry => world.owned(entry))).to.deep.equal(ownedBefore);
			expect(entries.flatMap(({claims}) => claims)).to.have.length(3);
		});
	}

	// Guards against a claim that took effect and is forgotten because its acknowledgement was lost: nobody would own the failure domain.
	for (const fault of ['loseAcknowledgement', 'loseRequest'] as const) {
		it(`settles a claim without an answer (${fault})`, () => {
			const world = new ManagerWorld();
			const entry = world.add('entry-1', 'palermo', DOMAINS.slice(0, 1));
			world.tables.fault = fault;
			world.run(1000);
			world.tables.fault = 'none';
			world.run(6000);
			expect(world.owned(entry)).to.deep.equal(['catania']);
			expect(entry.claims.map(({epoch}) => epoch)).to.deep.equal([1]);
			expect(entry.valid.get('catania')).to.be.above(world.nowMs);
		});
	}

	// Guards against a validity that counts from the answer of a slow renewal instead of its sending.
	it('counts the validity from the sending of a renewal', () => {
		const world = new ManagerWorld();
		const entry = world.add('entry-1', 'palermo', DOMAINS.slice(0, 1));
		world.run(1000);
		entry.writeDelayMs = 1900;
		world.run(5000);
		expect(entry.valid.get('catania')! - world.nowMs).to.be.within(1, OWNERSHIP_VALIDITY_MS - 1900);
	});

	// Guards against a shutdown that costs the claim time.
	it('lets another entry claim a released failure domain at once', () => {
		const world = new ManagerWorld();
		const first = world.add('entry-1', 'siracusa', DOMAINS.slice(0, 1));
		world.run(2000);
		const second = world.add('entry-2', 'palermo', DOMAINS.slice(0, 1));
		world.run(1000);
		world.input(first, {kind: 'drain'});
		world.input(first, {kind: 'release'});
		world.run(1000);
		expect(world.owned(second)).to.deep.equal(['catania']);
		expect(second.claims[0]).to.include({epoch: 2, previous: undefined});
		world.run(500);
		expect(first.manager.ownerOf('catania')?.ownerId).to.equal('entry-2');
	});

	// Guards against a released failure domain that its last owner takes back before others can, and against one that stays without an owner.
	it('claims a failure domain that it has released only when no other entry does', () => {
		const world = new ManagerWorld();
		const entry = world.add('entry-1', 'palermo', DOMAINS.slice(0, 1));
		world.run(1000);
		world.input(entry, {kind: 'release', failureDomain: 'catania'});
		world.run(2900);
		expect(world.owned(entry)).to.deep.equal([]);
		world.run(1500);
		expect(world.owned(entry)).to.deep.equal(['catania']);
		expect(entry.claims.map(({epoch}) => epoch)).to.deep.equal([1, 2]);
	});

	// Guards against an entry that goes on sending after it has confirmed a step-down.
	it('gives a failure domain up for a higher epoch', () => {
		const world = new ManagerWorld();
		const entry = world.add('entry-1', 'palermo', DOMAINS.slice(0, 1));
		world.run(1000);
		world.input(entry, {kind: 'stepDown', failureDomain: 'catania', epoch: 1});
		expect(world.owned(entry)).to.deep.equal(['catania']);
		world.input(entry, {kind: 'stepDown', failureDomain: 'catania', epoch: 2});
		expect(world.owned(entry)).to.deep.equal([]);
		expect(entry.valid.get('catania')).to.equal(0);
	});

	// Guards against a former owner that goes on although its renewal was refused.
	it('gives a failure domain up when a renewal fails its condition', () => {
		const world = new ManagerWorld();
		const entry = world.add('entry-1', 'palermo', DOMAINS.slice(0, 1));
		world.run(1000);
		world.tables.apply({writeId: 'other', conditions: [], writes: [{table: 'ownership', key: 'catania', value: {epoch: 2}}]});
		const [renewal] = world.renewals(entry);
		world.input(entry, {
			kind: 'writeResult', failureDomain: 'catania', writeId: renewal!, result: {kind: 'conditionFailed', failed: [{table: 'ownership', key: 'catania', version: 1}]},
		});
		expect(world.owned(entry)).to.deep.equal([]);
		expect(entry.valid.get('catania')).to.equal(0);
	});

	// Guards against load figures that routing cannot see.
	it('publishes the load with the renewals', () => {
		const world = new ManagerWorld();
		const first = world.add('entry-1', 'palermo', DOMAINS.slice(0, 1));
		world.run(1000);
		const load = {
			waitingJobs: 3, idleAccelerators: 8, totalAccelerators: 16, largestFreeBlock: 4, waitingByAccount: {}, services: [],
		};
		world.input(first, {
			kind: 'load', failureDomain: 'catania', load, revision: 7,
		});
		const second = world.add('entry-2', 'palermo', DOMAINS.slice(0, 1));
		world.run(1500);
		expect(second.manager.loads().get('catania')).to.deep.equal(load);
	});
});

describe('claimDelayMs', () => {
	const target = {failureDomain: 'catania', region: 'sicily'};
	const candidate = {
		processId: 'entry-1', region: 'sicily', failureDomain: 'palermo', ownedCount: 0,
	};
	const cases = [
		{name: 'inside the failure domain', worse: {...candidate, failureDomain: 'catania'}},
		{name: 'of another region', worse: {...candidate, region: 'viti-levu'}},
		{name: 'with one failure domain already', worse: {...candidate, ownedCount: 1}},
	];
	for (const {name, worse} of cases) {
		// Guards against an owner whose loss goes with that of its failure domain, or a crowded one, winning the claim.
		it(`puts an entry ${name} behind`, () => {
			expect(claimDelayMs(worse, target)).to.be.above(claimDelayMs(candidate, target));
		});
	}
});
