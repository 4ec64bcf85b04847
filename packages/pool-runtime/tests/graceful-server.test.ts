import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo, connect} from 'node:net';
import {expect} from 'chai';
import {GracefulServer, listen, sendJson} from '@amaranthsail/pool-runtime';

const REQUEST = 'GET / HTTP/1.1\r\nHost: localhost\r\n\r\n';

describe('GracefulServer', () => {
	const cases: ReadonlyArray<{title: string; earlierRequests: number}> = [
		{title: 'an idle connection', earlierRequests: 1},
		{title: 'a connection without an earlier request', earlierRequests: 0},
	];
	for (const {title, earlierRequests} of cases) {
		// A process that gets no processor time closes connections late, with requests that arrived long before.
		it(`answers a request that has arrived on ${title} and is not read yet when it closes`, async () => {
			const server = await listen(createServer((_message, response) => {
				sendJson(response, {status: 200, body: {}});
			}), '127.0.0.1:0');
			const graceful = new GracefulServer(server);
			const {port} = server.address() as AddressInfo;
			const client = connect(port, '127.0.0.1').setEncoding('utf8');
			let received = '';
			client.on('data', (text: string) => {
				received += text;
			});
			client.on('error', () => undefined);
			const ended = once(client, 'close');
			await Promise.all([once(client, 'connect'), once(server, 'connection')]);
			for (let request = 0; request < earlierRequests; request++) {
				client.write(REQUEST);
				await once(client, 'data');
			}

			client.write(REQUEST);
			await graceful.close();
			await ended;
			expect(received.split('HTTP/1.1 200').length - 1).to.equal(earlierRequests + 1);
		});
	}
});
