import neostandard from 'neostandard'

/** Folders of src/ from the lowest to the highest. A folder imports only from itself and from folders before it. */
const LAYERS = ['common', 'platform', 'documents', 'membership', 'distribution', 'gate', 'routing', 'daemon', 'mesh', 'cli', 'documentation']

/** Builds the rule that forbids a folder to import from the folders above it. */
function forbidImportsAbove (layer, index) {
  const above = LAYERS.slice(index + 1)
  // The command-line tool talks to a daemon only over the network.
  const beside = layer === 'cli' ? ['daemon', 'mesh', 'routing', 'gate', 'distribution', 'membership'] : []
  const forbidden = [...above, ...beside].map((name) => `**/${name}/**`)
  return {
    files: [`src/${layer}/**/*.ts`],
    ignores: ['**/*.test.ts'],
    rules: {
      'no-restricted-imports': ['error', { patterns: [{ group: [...forbidden, '**/testing/**', '**/bench/**'], message: `src/${layer} may not depend on this folder.` }] }]
    }
  }
}

/** Names on the wire of the users' platform; only platform/ knows them. */
const WIRE_NAMES = '/^x-savoryknot-|rows-(tx|get|feed)|blob-(put|get|drop|list)|^(weightedSplit|nodeInfo|coldLeftMs|SAVORYKNOT_SETTINGS)$/'

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'target/**', 'coverage/**', 'src/generated/**'] }),
  {
    files: ['**/*.ts'],
    rules: {
      'max-len': ['error', { code: 140, ignoreStrings: true, ignoreTemplateLiterals: true, ignoreUrls: true }],
      '@typescript-eslint/no-explicit-any': 'error'
    }
  },
  ...LAYERS.map(forbidImportsAbove),
  {
    files: ['src/**/*.ts'],
    rules: {
      'no-restricted-syntax': ['error', ...['Literal[value=', 'TemplateElement[value.raw='].map((kind) => ({
        selector: `${kind}${WIRE_NAMES}]`, message: 'Names on the platform\'s wire belong in platform/.'
      }))]
    }
  },
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
