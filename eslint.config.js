import neostandard from 'neostandard'

/** Folders of src/ from the lowest to the highest. A folder imports only from itself and from folders before it. */
const LAYERS = ['common', 'platform', 'documents', 'membership', 'distribution', 'gate', 'routing', 'daemon', 'cli', 'documentation']

/** Builds the rule that forbids a folder to import from the folders above it. */
function forbidImportsAbove (layer, index) {
  const above = LAYERS.slice(index + 1)
  // The command-line tool talks to a daemon only over the network.
  const beside = layer === 'cli' ? ['daemon', 'routing', 'gate', 'distribution', 'membership'] : []
  const forbidden = [...above, ...beside].map((name) => `**/${name}/**`)
  return {
    files: [`src/${layer}/**/*.ts`],
    ignores: ['**/*.test.ts'],
    rules: {
      'no-restricted-imports': ['error', { patterns: [{ group: [...forbidden, '**/testing/**', '**/bench/**'], message: `src/${layer} may not depend on this folder.` }] }]
    }
  }
}

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'coverage/**', 'src/generated/**'] }),
  {
    files: ['**/*.ts'],
    rules: {
      'max-len': ['error', { code: 140, ignoreStrings: true, ignoreTemplateLiterals: true, ignoreUrls: true }],
      '@typescript-eslint/no-explicit-any': 'error'
    }
  },
  ...LAYERS.map(forbidImportsAbove),
  {
    // A service's interface and its kernel key share one name.
    files: ['**/Services.ts'],
    rules: { '@typescript-eslint/no-redeclare': 'off' }
  },
  {
    files: ['**/*.test.ts'],
    rules: { '@typescript-eslint/no-unused-expressions': 'off', 'no-unused-expressions': 'off' }
  }
]
