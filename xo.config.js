/** @type {import('xo').FlatXoConfig} */
const config = [
	{
		ignores: ['**/dist/**', 'build/**', 'bench-results/**'],
	},
	{
		files: ['**/*.{js,ts}'],
		rules: {
			// Names in wire formats and environment variables follow other conventions.
			'@typescript-eslint/naming-convention': 'off',
			// Interfaces declare behaviour, type aliases declare data.
			'@typescript-eslint/consistent-type-definitions': 'off',
			// Decoded JSON and settings are cast to their type after validation.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			'@typescript-eslint/explicit-function-return-type': ['error', {
				allowExpressions: true,
				// Clients use the inferred type of the tRPC router.
				allowedNames: ['createPeerRouter'],
			}],
			'unicorn/prevent-abbreviations': ['error', {allowList: {err: true, Err: true, env: true}}],
			// Objects with a few short fields are readable on one line.
			'@stylistic/object-curly-newline': ['error', {multiline: true, consistent: true}],
			// Programs process their inputs sequentially in loops.
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
