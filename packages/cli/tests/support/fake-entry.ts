import {execFile} from 'node:child_process';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import process from 'node:process';
import {json} from 'node:stream/consumers';
import {fileURLToPath} from 'node:url';

// Tests run from build/tests/cli/tests.
const bin = fileURLToPath(new URL('../../../../../packages/cli/dist/bin.js', import.meta.url));

/** What the entry answers. */
export type Reply = {readonly status: number; readonly body: unknown} | 'hang_up';
/** A request as the entry got it. */
export type Received = {readonly method: string; readonly url: string; readonly headers: IncomingMessage['headers']; readonly body: unknown};
/** What a run of the program led to. */
export type Run = {readonly code: number; readonly stdout: string; readonly stderr: string};

/** An entry that answers with one reply and keeps what it received. */
export class ReplyingEntry {
	readonly received: Received[] = [];
	readonly #server: Server;

	constructor(reply: Reply) {
		this.#server = createServer((request, response) => {
			void this.#answer(reply, request, response);
		});
	}

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	async start(): Promise<void> {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
	}

	async stop(): Promise<void> {
		this.#server.closeAllConnections();
		this.#server.close();
		await once(this.#server, 'close');
	}

	async #answer(reply: Reply, request: IncomingMessage, response: ServerResponse): Promise<void> {
		const {method = '', url = '', headers} = request;
		const body = headers['content-type'] === undefined ? undefined : await json(request);
		this.received.push({
			method, url, headers, body,
		});
		if (reply === 'hang_up') {
			request.socket.destroy();
			return;
		}

		response.writeHead(reply.status, {'content-type': 'application/json'}).end(JSON.stringify(reply.body));
	}
}

/** Runs the program to its end. */
export async function amaranthsail(argumentTexts: readonly string[], input = '', env: Readonly<Record<string, string>> = {}): Promise<Run> {
	return new Promise(resolve => {
		const child = execFile(process.execPath, [bin, ...argumentTexts], {timeout: 15_000, env}, (error, stdout, stderr) => {
			resolve({code: error ? Number(error.code) : 0, stdout, stderr});
		});
		child.stdin!.end(input);
	});
}

