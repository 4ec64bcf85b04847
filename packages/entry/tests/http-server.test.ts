import {once} from 'node:events';
import {Agent, request as sendRequest} from 'node:http';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {createLogger, ok} from '@amaranthsail/core';
import {expect} from 'chai';
import {Authenticator} from '@amaranthsail/entry/authenticator.js';
import {HttpServer} from '@amaranthsail/entry/http-server.js';

/** Far above the duration of a close, and far below the 5,000 ms after which Node closes an idle connection. */
const MAX_CLOSE_MS = 2000;

async function get(port: number, agent: Agent): Promise<{readonly status: number | undefined; readonly connection: string | undefined}> {
	return new Promise((resolve, reject) => {
		const request = sendRequest({port, host: '127.0.0.1', path: '/slow', agent}, response => {
			response.resume().on('end', () => {
				resolve({status: response.statusCode, connection: response.headers.connection});
			});
		});
		request.on('error', reject).end();
	});
}

function createServer(handlingMs: number): HttpServer {
	return new HttpServer({
		authenticator: new Authenticator(new Map(), new Map(), 'secret-of-test'),
		logger: createLogger('test', 'error'),
		routes: [{
			method: 'GET', path: '/slow', role: undefined, async handle() {
				await sleep(handlingMs);
				return ok({status: 200, body: {}});
			},
		}],
	});
}

describe('HttpServer', () => {
	// Guards against a drain that a kept connection delays until the timeout, which then aborts the client's requests.
	it('answers an open request during a close and then closes its connection', async () => {
		const server = createServer(200);
		const {port} = await server.listen({host: '127.0.0.1', port: 0});
		const agent = new Agent({keepAlive: true});
		const responsePromise = get(port, agent);
		await sleep(50);
		const startedAtMs = performance.now();
		await server.close(10_000);
		expect(performance.now() - startedAtMs).to.be.below(MAX_CLOSE_MS);
		expect(await responsePromise).to.deep.equal({status: 200, connection: 'close'});
		agent.destroy();
	});

	it('answers a request that has arrived on an idle connection and is not read yet when it closes', async () => {
		const server = createServer(0);
		const {port} = await server.listen({host: '127.0.0.1', port: 0});
		const client = connect(port, '127.0.0.1').setEncoding('utf8');
		let received = '';
		client.on('data', (text: string) => {
			received += text;
		});
		client.on('error', () => undefined);
		const ended = once(client, 'close');
		const request = 'GET /slow HTTP/1.1\r\nHost: localhost\r\n\r\n';
		client.write(request);
		await once(client, 'data');
		client.write(request);
		await server.close(10_000);
		await ended;
		expect(received.split('HTTP/1.1 200').length - 1).to.equal(2);
	});
});
