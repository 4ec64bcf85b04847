import {expect} from 'chai';
import {CoreWorld} from './core-world.js';

describe('OwnerCore, plain path', () => {
	// Guards against work that waits for ticks or heartbeats although an event allows progress.
	it('runs and completes a job', () => {
		const world = new CoreWorld();
		world.claim();
		const agent = world.agent('worker-1');
		world.run(1000);
		world.submit('job');
		const startedAfterMs = world.runUntil(() => agent.running.length === 1, 1900);
		expect(startedAfterMs).to.be.at.most(50);
		world.run(100);
		expect(world.row('job')).to.include({state: 'running', attempt: 1});
		world.input(world.owners[0]!, {
			kind: 'wait', waiterId: 'caller', jobId: 'job', untilMs: world.nowMs + 5000, forCancel: false,
		});
		agent.finish('job');
		world.report(agent);
		world.run(50);
		expect(world.row('job')).to.include({state: 'completed', outcome: 'completed'});
		expect(world.row('job').answers).to.deep.equal([{
			taskIndex: 0, objectKey: 'answers/job/1/0', lengthBytes: 3, sha256: 'abc',
		}]);
		expect(world.answers.get('caller')?.state).to.equal('completed');
		expect(agent.tasks.size).to.equal(0);
		expect(world.openJobs()).to.deep.equal([]);
	});

	// Guards against a gang of which only some members run.
	it('releases no member of a gang before all are prepared and the decision is committed', () => {
		const world = new CoreWorld();
		world.claim();
		const agents = ['worker-1', 'worker-2', 'worker-3'].map(id => world.agent(id));
		world.run(1000);
		const releasesBeforeDecision: string[] = [];
		world.dropsToAgent = ({message}) => {
			if (message.type === 'command' && message.kind === 'release' && world.row('job').state === 'waiting') {
				releasesBeforeDecision.push(message.workerId);
			}

			return message.type === 'command' && message.kind === 'prepare' && message.workerId === 'worker-3';
		};

		world.submit('job', {taskCount: 3});
		world.run(500);
		expect(world.row('job').state).to.equal('waiting');
		world.dropsToAgent = () => false;
		world.run(500);
		expect(agents.map(({running}) => running.length)).to.deep.equal([1, 1, 1]);
		expect(releasesBeforeDecision).to.deep.equal([]);
	});
});
