// Fails when a name of the users' platform stands in the sources of the product, outside platform/.
import {execFileSync} from 'node:child_process';
import process from 'node:process';

const names = [
	'run-start',
	'run-stop',
	'rows-tx',
	'rows-get',
	'rows-feed',
	'memoryRequestMb',
	'antiAffinity',
	'ackSeq',
	'heartbeatAddress',
	'coldRemainingMs',
	'X-Fencing-Token',
	'X-Expect-Instance',
	'missAllowed',
	'apiKeys',
	'maxHoldMs',
	'internalPortRange',
];
// A test checks a folder with a planted name instead of the repository.
const folder = process.argv[2];
const root = folder ?? new URL('..', import.meta.url);
const options = folder === undefined ? [] : ['--no-index'];
const paths = ['--', folder === undefined ? 'packages/*/src' : '.'];
let found = '';
try {
	found = execFileSync('git', ['grep', ...options, '-nE', names.join('|'), ...paths], {encoding: 'utf8', cwd: root});
} catch (error) {
	// Git exits with 1 when nothing matches.
	if (error.status !== 1) {
		throw error;
	}
}

if (found !== '') {
	console.error(`names of the platform outside platform/:\n${found}`);
	process.exitCode = 1;
}
