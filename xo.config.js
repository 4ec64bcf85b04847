/** @type {import('xo').FlatXoConfig} */
const config = [
	{
		ignores: ['**/dist/**', 'build/**', 'bench-results/**'],
	},
	{
		files: ['**/*.{js,ts}'],
		rules: {
			// Wire formats and environment variables have names of their own.
			'@typescript-eslint/naming-convention': 'off',
			// Interfaces are kept for behaviour; data are type aliases.
			'@typescript-eslint/consistent-type-definitions': 'off',
			// Casts stand where decoded JSON or settings take their checked type.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			'@typescript-eslint/explicit-function-return-type': ['error', {
				allowExpressions: true,
				// Clients derive their types from the inferred type of the tRPC router.
				allowedNames: ['createPeerRouter'],
			}],
			'unicorn/prevent-abbreviations': ['error', {allowList: {err: true, Err: true, env: true}}],
			// Objects of a few short fields stay readable on one line.
			'@stylistic/object-curly-newline': ['error', {multiline: true, consistent: true}],
			// Each program works through its inputs in order on one loop.
			'no-await-in-loop': 'off',
		},
	},
	{
		files: ['packages/*/tests/**/*.ts'],
		rules: {
			// Chai assertions are property accesses.
			'@typescript-eslint/no-unused-expressions': 'off',
		},
	},
];

export default config;
