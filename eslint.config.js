import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

export default [
  { ignores: ['**/dist/**', '**/node_modules/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.typescript,
  prettier,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      // The brief asks for generators as control flow, and they are driven by for..of loops.
      'no-restricted-syntax': [
        'error',
        { selector: 'ForInStatement', message: 'Use Object.entries.' },
        { selector: 'LabeledStatement', message: 'Labels make control flow hard to follow.' },
        { selector: 'WithStatement', message: 'with is not allowed.' },
      ],
      // Waiting inside a loop is the point of a task that does one thing after another.
      'no-await-in-loop': 'off',
      // Next to its class, a helper that only that class uses reads better below it.
      '@typescript-eslint/no-use-before-define': ['error', { functions: false, classes: false }],
      // Small modules with one named concept: named exports throughout, as in the model.
      'import-x/prefer-default-export': 'off',
      // Explicit .js endings are what Node resolves.
      'import-x/extensions': ['error', 'ignorePackages', { js: 'always', ts: 'never' }],
      // An underscore marks what is taken out of an object in order to leave it behind.
      '@typescript-eslint/no-unused-vars': [
        'error',
        { varsIgnorePattern: '^_', argsIgnorePattern: '^_' },
      ],
      '@typescript-eslint/naming-convention': 'off',
      'no-underscore-dangle': 'off',
      '@typescript-eslint/consistent-type-imports': 'error',
      // Methods of a policy or a stand-in need not use their own state.
      'class-methods-use-this': 'off',
    },
  },
];
