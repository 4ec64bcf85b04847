import {once} from 'node:events';
import {connect, type AddressInfo} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {expect} from 'chai';
import fc from 'fast-check';
import {BoundedServer, DEFAULT_LISTENER_LIMITS, readBody} from '@amaranthsail/pool-runtime';

const RUNS = 300;

/** A legal head is shorter. */
const MAX_HEADER_BYTES = 2048;

/** Requests with the body that the server has to receive. */
const REQUESTS: ReadonlyArray<{readonly text: string; readonly body: string}> = [
	{text: 'GET /a HTTP/1.1\r\nHost: h\r\n\r\n', body: ''},
	{text: 'POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 12\r\n\r\nab\r\n\r\ncd\n\nef', body: 'ab\r\n\r\ncd\n\nef'},
	{text: 'POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n', body: ''},
	{text: 'POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n\r\n\n\r\n5;e=1\r\nabcde\r\n0\r\n\r\n', body: '\r\n\nabcde'},
	{text: 'POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nTrailer: y\r\n\r\n', body: 'x'},
	{text: `GET /d HTTP/1.1\r\nHost: h\r\nLong: ${'l'.repeat(1500)}\r\n\r\n`, body: ''},
];

const EMPTY_LINES = ['', '\r\n', '\n', '\r\n\r\n', '\n\n\n'];

describe('requests that arrive in pieces', () => {
	let server: BoundedServer;
	let port = 0;
	let received: string[] = [];

	before(async () => {
		server = new BoundedServer({...DEFAULT_LISTENER_LIMITS, maxHeaderBytes: MAX_HEADER_BYTES}, undefined, (message, response) => {
			void (async () => {
				const body = await readBody(message);
				received.push(body ?? 'left');
				response.end('ok');
			})();
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		port = (server.address() as AddressInfo).port;
	});

	after(() => {
		server.close();
		server.closeAllConnections();
	});

	/** Sends a text in pieces, and ends the connection. */
	async function send(text: string, lengths: readonly number[]): Promise<string> {
		received = [];
		const socket = connect({port, host: '127.0.0.1', noDelay: true});
		let answers = '';
		socket.on('data', (chunk: Uint8Array) => {
			answers += chunk.toString();
		});
		socket.on('error', () => undefined);
		const closed = once(socket, 'close');
		let start = 0;
		for (let index = 0; start < text.length; index++) {
			const end = start + (lengths[index % lengths.length] ?? text.length);
			socket.write(text.slice(start, end));
			start = end;
			await nextTurn();
		}

		socket.end();
		await closed;
		return answers;
	}

	// The boundary between requests is lost in a slice of a chunked body, and empty lines may stand there.
	it('are all served, whatever the pieces and with a few empty lines between them', async () => {
		const requests = fc.array(fc.tuple(fc.constantFrom(...EMPTY_LINES), fc.constantFrom(...REQUESTS)), {minLength: 1, maxLength: 8});
		await fc.assert(fc.asyncProperty(requests, fc.array(fc.integer({min: 1, max: 90}), {minLength: 1, maxLength: 12}), async (sequence, lengths) => {
			await send(sequence.map(([lines, {text}]) => lines + text).join(''), lengths);
			expect(received).to.deep.equal(sequence.map(([, {body}]) => body));
		}), {numRuns: RUNS});
	}).timeout(60_000);

	const outside: ReadonlyArray<{readonly name: string; readonly text: string; readonly answer: RegExp}> = [
		{name: 'empty lines without end', text: '\r\n'.repeat(MAX_HEADER_BYTES), answer: /^$/v},
		{name: 'empty lines without end after a request', text: REQUESTS[0]!.text + '\r\n'.repeat(MAX_HEADER_BYTES), answer: /^HTTP\/1.1 200 [\s\S]*ok$/v},
		{name: 'a head over the limit', text: `GET /a HTTP/1.1\r\nHost: h\r\nLong: ${'l'.repeat(MAX_HEADER_BYTES)}\r\n\r\n`, answer: /^HTTP\/1.1 431 /v},
		{name: 'a head without end', text: `GET /a HTTP/1.1\r\nHost: h\r\n${'a:b\r\n'.repeat(MAX_HEADER_BYTES)}`, answer: /^(?:HTTP\/1.1 431 [\s\S]*)?$/v},
	];
	const checkOutside = async (text: string, answer: RegExp): Promise<void> => {
		expect(await send(`${text}${REQUESTS[2]!.text}`, [64 * 1024])).to.match(answer);
		expect(received).to.have.lengthOf(text.startsWith(REQUESTS[0]!.text) ? 1 : 0);
	};

	for (const {name, text, answer} of outside) {
		it(`end the connection if they are ${name}`, async () => checkOutside(text, answer));
	}
});
