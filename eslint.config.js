import { createNodeResolver, importX } from 'eslint-plugin-import-x';
import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';

/** Kinds of exported declarations that require a doc comment. */
const documented = [
  'FunctionDeclaration',
  'ClassDeclaration',
  'TSInterfaceDeclaration',
  'TSTypeAliasDeclaration',
  'VariableDeclaration',
];

/** Limits on file size, function size and branching, without exceptions for single files. */
const LIMITS = {
  'max-lines': ['error', 400],
  'max-lines-per-function': ['error', 50],
  complexity: ['error', 12],
};

/** Folders of src and the folders that each must not import from; docs/architecture.md has the table of layers. */
const FORBIDDEN_IMPORTS = {
  'src/core/**': ['config', 'io', 'controller', 'plugin-host', 'cli'],
  'src/config/**': ['io', 'controller', 'plugin-host', 'cli'],
  'src/io/**': ['controller', 'plugin-host', 'cli'],
  'src/plugin-host/**': ['controller', 'cli'],
  'src/controller/**': ['cli'],
};

/** Import rules by folder. No folder of src may import a plugin: plugins depend on the service, not vice versa. */
const layerRules = Object.entries(FORBIDDEN_IMPORTS).map(([files, folders]) => ({
  files: [files],
  rules: {
    '@typescript-eslint/no-restricted-imports': [
      'error',
      {
        patterns: [
          {
            regex: `^(\\.\\./)+(${folders.join('|')})/`,
            message: 'import against the direction of the layers',
          },
          { regex: '^(\\.\\./)+packages/', message: 'the service must not import a plugin' },
        ],
      },
    ],
  },
}));

export default tseslint.config(
  { ignores: ['target/**', 'node_modules/**', 'journal/**', '*.config.js'] },
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    plugins: { 'import-x': importX },
    settings: {
      'import-x/extensions': ['.ts', '.js'],
      'import-x/parsers': { '@typescript-eslint/parser': ['.ts'] },
      'import-x/resolver-next': [createNodeResolver({ extensionAlias: { '.js': ['.ts', '.js'] } })],
    },
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    rules: {
      ...LIMITS,
      '@typescript-eslint/no-non-null-assertion': 'off',
      '@typescript-eslint/no-dynamic-delete': 'off',
      // Fields of the wire protocol are read with brackets, which marks them as names that this code does not
      // define.
      '@typescript-eslint/dot-notation': 'off',
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
      '@typescript-eslint/naming-convention': [
        'error',
        { selector: 'default', format: ['camelCase'], leadingUnderscore: 'allow' },
        { selector: 'import', format: ['camelCase', 'PascalCase'] },
        { selector: 'variable', format: ['camelCase', 'UPPER_CASE', 'PascalCase'] },
        { selector: 'typeLike', format: ['PascalCase'] },
        // Names of the wire protocol, of settings and of discriminated unions keep their own form.
        { selector: ['objectLiteralProperty', 'typeProperty', 'objectLiteralMethod'], format: null },
        { selector: 'variable', modifiers: ['destructured'], format: null },
      ],
      'import-x/no-cycle': ['error', { ignoreExternal: true }],
      'import-x/no-duplicates': 'error',
      'import-x/order': ['error', { alphabetize: { order: 'asc' }, 'newlines-between': 'never' }],
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
          contexts: [
            'MethodDefinition[kind="method"]:not([accessibility="private"])',
            ...documented.map((kind) => `ExportNamedDeclaration[declaration.type="${kind}"]`),
          ],
        },
      ],
    },
  },
  {
    // Tests may be longer than other functions, so that the steps of a scenario need not be split up.
    files: ['test/**', 'packages/*/test/**'],
    rules: { 'max-lines-per-function': ['error', 60] },
  },
  ...layerRules,
);
