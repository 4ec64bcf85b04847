import {expect} from 'chai';
import {CAPACITY, guarantee} from './support.js';
import {checkGuarantees} from '@amaranthsail/scheduler';

const racks = [{rack: 'r0', workers: [CAPACITY, CAPACITY, CAPACITY]}, {rack: 'r1', workers: [CAPACITY, CAPACITY, CAPACITY]}];
const survivor = {survivesRackLoss: true};

// Guards against records that promise more than the racks can hold, and against refusing those that fit.
const cases = [
	{name: 'nothing promised', guarantees: [], packs: true},
	{name: 'every worker promised', guarantees: [guarantee({count: 6})], packs: true},
	{name: 'one worker too many', guarantees: [guarantee({count: 7})], packs: false},
	{name: 'small blocks beside large ones', guarantees: [guarantee({count: 5}), guarantee({name: 'b', account: 'red', accelerators: 2, count: 4})], packs: true},
	{name: 'accelerators left, but not in blocks of that size', guarantees: [guarantee({accelerators: 5, count: 6}), guarantee({name: 'b', accelerators: 3, count: 1})], packs: false},
	{name: 'a rack shape of three workers twice', guarantees: [guarantee({accelerators: 24, count: 2, adjacency: 'rack'})], packs: true},
	{name: 'a rack shape larger than a rack', guarantees: [guarantee({accelerators: 32, adjacency: 'rack'})], packs: false},
	{name: 'the same shape across racks', guarantees: [guarantee({accelerators: 32, adjacency: 'failureDomain'})], packs: true},
	{name: 'a worker shape larger than a worker', guarantees: [guarantee({accelerators: 16})], packs: false},
	{name: 'half the workers, after the loss of a rack', guarantees: [guarantee({count: 3, ...survivor})], packs: true},
	{name: 'more than one rack, after the loss of a rack', guarantees: [guarantee({count: 4, ...survivor})], packs: false},
	{name: 'survivors that push aside what need not survive', guarantees: [guarantee({count: 3, ...survivor}), guarantee({name: 'b', account: 'red', count: 3})], packs: true},
	{name: 'two survivors that fit one by one only', guarantees: [guarantee({count: 2, ...survivor}), guarantee({name: 'b', account: 'red', count: 2, ...survivor})], packs: false},
];

describe('checkGuarantees', () => {
	for (const {name, guarantees, packs} of cases) {
		it(`${packs ? 'accepts' : 'refuses'} ${name}`, () => {
			const reason = checkGuarantees(racks, guarantees);
			expect(reason === undefined, reason).to.equal(packs);
		});
	}
});
