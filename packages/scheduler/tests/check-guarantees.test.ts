import {expect} from 'chai';
import {CAPACITY, guarantee} from './support.js';
import {checkGuarantees} from '@amaranthsail/scheduler';

const racks = [{rack: 'r0', workers: [CAPACITY, CAPACITY, CAPACITY]}, {rack: 'r1', workers: [CAPACITY, CAPACITY, CAPACITY]}];
const survives = {survivesRackLoss: true};

// Guards against accepting guarantees that exceed the racks, and against refusing guarantees that fit.
const cases = [
	{name: 'no guarantees', guarantees: [], packs: true},
	{name: 'guarantees on every worker', guarantees: [guarantee({count: 6})], packs: true},
	{name: 'guarantees on one worker more than there are', guarantees: [guarantee({count: 7})], packs: false},
	{name: 'small blocks next to large ones', guarantees: [guarantee({count: 5}), guarantee({name: 'b', account: 'red', accelerators: 2, count: 4})], packs: true},
	{name: 'enough accelerators, but not in blocks of the required size', guarantees: [guarantee({accelerators: 5, count: 6}), guarantee({name: 'b', accelerators: 3, count: 1})], packs: false},
	{name: 'two shapes of three workers in one rack each', guarantees: [guarantee({accelerators: 24, count: 2, adjacency: 'rack'})], packs: true},
	{name: 'a shape with adjacency rack that is larger than a rack', guarantees: [guarantee({accelerators: 32, adjacency: 'rack'})], packs: false},
	{name: 'a shape of that size with adjacency failureDomain', guarantees: [guarantee({accelerators: 32, adjacency: 'failureDomain'})], packs: true},
	{name: 'a shape with adjacency worker that is larger than a worker', guarantees: [guarantee({accelerators: 16})], packs: false},
	{name: 'half of the workers, surviving the loss of a rack', guarantees: [guarantee({count: 3, ...survives})], packs: true},
	{name: 'more than one rack, surviving the loss of a rack', guarantees: [guarantee({count: 4, ...survives})], packs: false},
	{name: 'guarantees that survive a rack loss by displacing others that need not', guarantees: [guarantee({count: 3, ...survives}), guarantee({name: 'b', account: 'red', count: 3})], packs: true},
	{name: 'two guarantees that survive a rack loss one by one only', guarantees: [guarantee({count: 2, ...survives}), guarantee({name: 'b', account: 'red', count: 2, ...survives})], packs: false},
];

describe('checkGuarantees', () => {
	for (const {name, guarantees, packs} of cases) {
		it(`${packs ? 'accepts' : 'refuses'} ${name}`, () => {
			const reason = checkGuarantees(racks, guarantees);
			expect(reason === undefined, reason).to.equal(packs);
		});
	}
});
