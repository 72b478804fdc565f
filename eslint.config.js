import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';

/** Exported declarations of these kinds have a doc comment. */
const documented = [
  'FunctionDeclaration',
  'ClassDeclaration',
  'TSInterfaceDeclaration',
  'TSTypeAliasDeclaration',
  'VariableDeclaration',
];

/** Limits that hold in every file. */
const LIMITS = {
  'max-lines': ['error', 400],
  'max-lines-per-function': ['error', 60],
  complexity: ['error', 15],
};

export default tseslint.config(
  { ignores: ['target/**', 'node_modules/**', 'journal/**', '*.config.js'] },
  ...tseslint.configs.strictTypeChecked,
  {
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    rules: {
      ...LIMITS,
      '@typescript-eslint/no-non-null-assertion': 'off',
      '@typescript-eslint/no-dynamic-delete': 'off',
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true, allowNullish: true, allowBoolean: true, allowAny: false },
      ],
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            { from: 'package', name: ['test', 'it', 'describe', 'suite'], package: 'node:test' },
          ],
        },
      ],
      '@typescript-eslint/no-unused-vars': ['error', { ignoreRestSiblings: true }],
      eqeqeq: ['error', 'always', { null: 'ignore' }],
      'no-console': 'error',
    },
  },
  {
    files: ['src/**', 'packages/*/src/**'],
    plugins: { jsdoc },
    rules: {
      'jsdoc/require-jsdoc': [
        'error',
        {
          enableFixer: false,
          require: { FunctionDeclaration: false },
          contexts: documented.map((kind) => `ExportNamedDeclaration[declaration.type="${kind}"]`),
        },
      ],
    },
  },
);
