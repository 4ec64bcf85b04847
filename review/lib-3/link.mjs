import {connect, createServer} from 'node:net';

/** Stand-in of a link: forwards connections to one address, and loses bytes or refuses connections when told to. */
export class Link {
	/** Whether bytes from the side that opens the connections arrive. */
	passesRequests = true;
	/** Whether bytes from the other side arrive. */
	passesAnswers = true;
	#target;
	#server;
	#port = 0;
	#sockets = new Set();
	#silent = new WeakSet();
	#isClosed = false;

	/** @param target - `host:port` to which connections are forwarded. */
	constructor(target) {
		this.#target = target;
	}

	/** Accepts connections; resolves to the address. */
	async listen() {
		const server = createServer(socket => {
			this.#forward(socket);
		});
		await new Promise((resolve, reject) => {
			server.once('error', reject);
			server.listen(this.#port, '127.0.0.1', resolve);
		});
		this.#server = server;
		this.#port = server.address().port;
		if (this.#isClosed) {
			this.close();
		}

		return `127.0.0.1:${this.#port}`;
	}

	/** From now on new connections are refused; those that are open stay. */
	refuse() {
		this.#server?.close();
		this.#server = undefined;
	}

	/** From now on nothing passes on the connections that are open, in either direction; new ones work. */
	silence() {
		for (const socket of this.#sockets) {
			this.#silent.add(socket);
		}
	}

	/** Resets all open connections. */
	reset() {
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}
	}

	close() {
		this.#isClosed = true;
		this.refuse();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	#forward(near) {
		const [host, port] = this.#target.split(':');
		const far = connect(Number(port), host);
		this.#pipe(near, far, () => this.passesRequests);
		this.#pipe(far, near, () => this.passesAnswers);
	}

	#pipe(from, to, passes) {
		this.#sockets.add(from);
		from.setNoDelay(true);
		from.on('data', chunk => {
			if (passes() && !to.destroyed && !this.#silent.has(from)) {
				to.write(chunk);
			}
		});
		from.on('end', () => {
			if (passes() && !this.#silent.has(from)) {
				to.end();
			}
		});
		from.on('error', () => {
			to.destroy();
		});
		from.on('close', () => {
			this.#sockets.delete(from);
			if (passes() && !this.#silent.has(from)) {
				to.destroy();
			}
		});
	}
}
