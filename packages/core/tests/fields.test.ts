import {expect} from 'chai';
import {isAddress} from '@amaranthsail/core';

describe('isAddress', () => {
	for (const address of ['10.128.0.9:8080', 'localhost:1', 'vm-7.rack_2.example:65535', '::1:80']) {
		it(`accepts ${address}`, () => {
			expect(isAddress(address)).to.equal(true);
		});
	}

	const invalidPorts = ['', '0', '65536', '-1', '1.5', '80 ', ' 80', '1e3', '0x50', '+80', '080', '99999999999999999999', '80\n'];
	const invalidHosts = ['', 'a\nb', 'a\0b', 'a b', 'a/b', 'a@b', 'ał', 'a'.repeat(300)];
	const otherValues = ['80', '', 80, null, ['10.0.0.1:80'], {}];
	const invalid: readonly unknown[] = [...invalidPorts.map(port => `10.0.0.1:${port}`), ...invalidHosts.map(host => `${host}:80`), ...otherValues];
	for (const value of invalid) {
		it(`rejects ${JSON.stringify(value).slice(0, 40)}`, () => {
			expect(isAddress(value)).to.equal(false);
		});
	}
});
