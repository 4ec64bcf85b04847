import {createServer, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {asFields, IdentifiedConnections, type JsonRequest} from '@amaranthsail/core';

const WHO: JsonRequest = {method: 'POST', path: '/who', body: {}, timeoutMs: 500};
const ACT: JsonRequest = {method: 'POST', path: '/act', body: {value: 1}, timeoutMs: 500};

class Fixture {
	readonly paths: string[] = [];
	identity: string | undefined = 'first';
	/** Runs instead of the answer to a path. */
	readonly overrides: Record<string, (response: ServerResponse) => void> = {};
	connections!: IdentifiedConnections<string>;
	server!: Server;

	async listen(): Promise<void> {
		this.server = createServer((message, response) => {
			message.resume();
			this.paths.push(message.url!);
			const override = this.overrides[message.url!];
			if (override) {
				override(response);
			} else {
				response.end(JSON.stringify({identity: this.identity}));
			}
		});
		await new Promise<void>(resolve => {
			this.server.listen(0, '127.0.0.1', resolve);
		});
		this.connections = new IdentifiedConnections(`127.0.0.1:${(this.server.address() as AddressInfo).port}`, ({body}) => asFields(body).identity as string | undefined);
	}

	async act(): Promise<string> {
		const outcome = await this.connections.callBound(ACT, {expected: 'first', identification: WHO, identifyWithinMs: 200});
		return outcome.kind;
	}

	async close(): Promise<void> {
		this.connections.close();
		this.server.closeAllConnections();
		await new Promise(resolve => {
			this.server.close(resolve);
		});
	}
}

describe('IdentifiedConnections', () => {
	const fixture = new Fixture();
	beforeEach(async () => {
		Object.assign(fixture, new Fixture());
		await fixture.listen();
	});

	afterEach(async () => {
		await fixture.close();
	});

	const cases: ReadonlyArray<{readonly title: string; readonly prepare: () => void; readonly kind: string; readonly paths: readonly string[]}> = [
		{title: 'sends the call after the expected process has answered', prepare: () => undefined, kind: 'sent', paths: ['/who', '/act']},
		{
			title: 'does not send the call when another process answers',
			prepare() {
				fixture.identity = 'second';
			},
			kind: 'otherAnswered',
			paths: ['/who'],
		},
		{
			title: 'does not send the call when the answer names no process',
			prepare() {
				fixture.identity = undefined;
			},
			kind: 'otherAnswered',
			paths: ['/who'],
		},
		{
			title: 'sends the call on a second connection when the answer of the expected process ends the identified one',
			prepare() {
				fixture.overrides['/who'] = response => {
					response.writeHead(200, {connection: 'close'}).end(JSON.stringify({identity: 'first'}));
				};
			},
			kind: 'sent',
			paths: ['/who', '/act'],
		},
		{
			title: 'does not send the call when the answer of another process ends the connection',
			prepare() {
				fixture.overrides['/who'] = response => {
					response.writeHead(200, {connection: 'close'}).end(JSON.stringify({identity: 'second'}));
				};
			},
			kind: 'otherAnswered',
			paths: ['/who'],
		},
		{
			title: 'does not send the call when the identification gets no answer',
			prepare() {
				fixture.overrides['/who'] = () => undefined;
			},
			kind: 'unidentified',
			paths: ['/who'],
		},
	];
	for (const {title, prepare, kind, paths} of cases) {
		it(title, async () => {
			prepare();
			expect(await fixture.act()).to.equal(kind);
			expect(fixture.paths).to.deep.equal(paths);
		});
	}

	it('identifies a new connection when the kept one has ended', async () => {
		await fixture.act();
		fixture.server.closeAllConnections();
		await new Promise(resolve => {
			setTimeout(resolve, 20);
		});
		expect(await fixture.act()).to.equal('sent');
		expect(fixture.paths).to.deep.equal(['/who', '/act', '/who', '/act']);
	});

	it('does not use a connection again whose process has answered as another one', async () => {
		await fixture.act();
		fixture.identity = 'second';
		await fixture.act();
		fixture.paths.length = 0;
		expect(await fixture.act()).to.equal('otherAnswered');
		expect(fixture.paths).to.deep.equal(['/who']);
	});

	it('uses any open connection for a call that any process may receive', async () => {
		await fixture.act();
		const answer = await fixture.connections.call(WHO);
		expect(answer.ok).to.equal(true);
		expect(fixture.paths).to.deep.equal(['/who', '/act', '/who']);
	});
});
