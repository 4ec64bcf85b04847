import {expect} from 'chai';
import {type LogSink, ProcessLog} from '@amaranthsail/pool-runtime';

class FakeSink implements LogSink {
	bufferedBytes = 0;
	readonly lines: Array<Record<string, unknown>> = [];

	write(line: string): void {
		this.lines.push(JSON.parse(line) as Record<string, unknown>);
	}
}

describe('ProcessLog', () => {
	it('writes one JSON object per line', () => {
		const sink = new FakeSink();
		new ProcessLog('program', 'node-1', sink).warn('store not reached', {purpose: 'commit'});
		expect(sink.lines[0]).to.include({level: 'warn', component: 'program', node: 'node-1', message: 'store not reached', purpose: 'commit'});
	});

	// A reader that is slow or gone must not block a process or fill its memory.
	it('drops lines while the reader is too slow, and counts them', () => {
		const sink = new FakeSink();
		const log = new ProcessLog('program', 'node-1', sink);
		sink.bufferedBytes = 1e9;
		log.info('one');
		log.info('two');
		expect(sink.lines).to.deep.equal([]);
		sink.bufferedBytes = 0;
		log.info('three');
		expect(sink.lines[0]).to.include({message: 'three', leftOut: 2});
	});

	it('limits the lines per second with the same message', () => {
		const sink = new FakeSink();
		const log = new ProcessLog('program', 'node-1', sink);
		for (let line = 0; line < 5000; line++) {
			log.info('same');
		}

		expect(sink.lines.length).to.be.at.most(600);
	});
});
