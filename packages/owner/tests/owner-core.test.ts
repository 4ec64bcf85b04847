import {expect} from 'chai';
import {CoreSimulation} from './core-simulation.js';

describe('OwnerCore, normal operation', () => {
	// Guards against work that waits for ticks or heartbeats although an event allows progress.
	it('runs and completes a job', () => {
		const simulation = new CoreSimulation();
		simulation.claim();
		const agent = simulation.addAgent('worker-1');
		simulation.run(1000);
		simulation.submit('job');
		const startedAfterMs = simulation.runUntil(() => agent.running.length === 1, 1900);
		expect(startedAfterMs).to.be.at.most(50);
		simulation.run(100);
		expect(simulation.row('job')).to.include({state: 'running', attempt: 1});
		simulation.handleEvent(simulation.owners[0]!, {
			kind: 'wait', waiterId: 'caller', jobId: 'job', expiresAtMs: simulation.nowMs + 5000, isForCancellation: false,
		});
		agent.finish('job');
		simulation.sendHeartbeat(agent);
		simulation.run(50);
		expect(simulation.row('job')).to.include({state: 'completed', outcome: 'completed'});
		expect(simulation.row('job').answers).to.deep.equal([{
			taskIndex: 0, objectKey: 'answers/job/1/0', lengthBytes: 3, sha256: 'abc',
		}]);
		expect(simulation.answers.get('caller')?.state).to.equal('completed');
		expect(agent.tasks.size).to.equal(0);
		expect(simulation.openJobs()).to.deep.equal([]);
	});

	// Guards against a gang of which only some members run.
	it('releases no member of a gang before all are prepared and the decision is committed', () => {
		const simulation = new CoreSimulation();
		simulation.claim();
		const agents = ['worker-1', 'worker-2', 'worker-3'].map(id => simulation.addAgent(id));
		simulation.run(1000);
		const releasesBeforeDecision: string[] = [];
		simulation.shouldDropToAgent = ({message}) => {
			if (message.type === 'command' && message.kind === 'release' && simulation.row('job').state === 'waiting') {
				releasesBeforeDecision.push(message.workerId);
			}

			return message.type === 'command' && message.kind === 'prepare' && message.workerId === 'worker-3';
		};

		simulation.submit('job', {taskCount: 3});
		simulation.run(500);
		expect(simulation.row('job').state).to.equal('waiting');
		simulation.shouldDropToAgent = () => false;
		simulation.run(500);
		expect(agents.map(({running}) => running.length)).to.deep.equal([1, 1, 1]);
		expect(releasesBeforeDecision).to.deep.equal([]);
	});
});
