import {execFile} from 'node:child_process';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import process from 'node:process';
import {json} from 'node:stream/consumers';
import {fileURLToPath} from 'node:url';

// Tests run from build/tests/cli/tests.
const cliPath = fileURLToPath(new URL('../../../../../packages/cli/dist/bin.js', import.meta.url));

/** Reply of the entry. */
export type Reply = {readonly status: number; readonly body: unknown} | 'disconnect';
/** A request that the entry received. */
export type ReceivedRequest = {readonly method: string; readonly url: string; readonly headers: IncomingMessage['headers']; readonly body: unknown};
/** Exit code and output of a run of the command line. */
export type CliRun = {readonly code: number; readonly stdout: string; readonly stderr: string};

/** A fake entry that sends the same reply to every request and records the requests. */
export class FakeEntry {
	readonly received: ReceivedRequest[] = [];
	readonly #server: Server;

	constructor(reply: Reply) {
		this.#server = createServer((request, response) => {
			void this.#reply(reply, request, response);
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

	async #reply(reply: Reply, request: IncomingMessage, response: ServerResponse): Promise<void> {
		const {method = '', url = '', headers} = request;
		const body = headers['content-type'] === undefined ? undefined : await json(request);
		this.received.push({
			method, url, headers, body,
		});
		if (reply === 'disconnect') {
			request.socket.destroy();
			return;
		}

		response.writeHead(reply.status, {'content-type': 'application/json'}).end(JSON.stringify(reply.body));
	}
}

/** Runs the command line until it exits. */
export async function runCli(cliArguments: readonly string[], input = '', env: Readonly<Record<string, string>> = {}): Promise<CliRun> {
	return new Promise(resolve => {
		const child = execFile(process.execPath, [cliPath, ...cliArguments], {timeout: 15_000, env}, (error, stdout, stderr) => {
			resolve({code: error ? Number(error.code) : 0, stdout, stderr});
		});
		child.stdin!.end(input);
	});
}

