// Fails if the product sources under packages/ use a name of the users' platform API; only platform/ may.
import {execFileSync} from 'node:child_process';
import process from 'node:process';

const platformNames = [
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
// A test passes a folder with a planted name, which is checked instead of the repository.
const folder = process.argv[2];
const root = folder ?? new URL('..', import.meta.url);
const options = folder === undefined ? [] : ['--no-index'];
const paths = ['--', folder === undefined ? 'packages/*/src' : '.'];
let matches = '';
try {
	matches = execFileSync('git', ['grep', ...options, '-nE', platformNames.join('|'), ...paths], {encoding: 'utf8', cwd: root});
} catch (error) {
	// Git exits with 1 when nothing matches.
	if (error.status !== 1) {
		throw error;
	}
}

if (matches !== '') {
	console.error(`names of the platform API outside platform/:\n${matches}`);
	process.exitCode = 1;
}
