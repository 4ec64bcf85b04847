import {expect} from 'chai';
import {Authenticator, type Role} from '@amaranthsail/entry/authenticator.js';
import {parseTokens} from '@amaranthsail/entry/settings.js';

const authenticator = new Authenticator(new Map([['alpha', 'alpha-token']]), new Map([['olga', 'olga-token']]), 'shared-secret');

describe('Authenticator', () => {
	const cases: ReadonlyArray<{readonly header: string | undefined; readonly role: Role; readonly expected: string}> = [
		{header: 'Bearer alpha-token', role: 'account', expected: 'alpha'},
		{header: 'Bearer olga-token', role: 'operator', expected: 'olga'},
		{header: 'Bearer shared-secret', role: 'process', expected: 'system'},
		{header: 'Bearer alpha-token', role: 'operator', expected: 'forbidden'},
		{header: 'Bearer olga-token', role: 'account', expected: 'forbidden'},
		{header: 'Bearer alpha-toke', role: 'account', expected: 'unauthorized'},
		{header: 'Basic alpha-token', role: 'account', expected: 'unauthorized'},
		{header: undefined, role: 'account', expected: 'unauthorized'},
	];
	for (const {header, role, expected} of cases) {
		// Guards against one account or operator acting as another.
		it(`answers ${expected} to ${String(header)} for the role ${role}`, () => {
			const result = authenticator.authenticate(header, role);
			expect(result.ok ? result.value.name : result.error.code).to.equal(expected);
		});
	}
});

describe('parseTokens', () => {
	for (const text of ['', 'alpha', 'alpha=short', 'alpha=long-token,alpha=other-token', 'alpha=same-token,beta=same-token']) {
		it(`refuses ${JSON.stringify(text)}`, () => {
			expect(parseTokens(text)).to.equal(undefined);
		});
	}
});
