import eslint from '@eslint/js';
import prettier from 'eslint-config-prettier';
import typescriptEslint from 'typescript-eslint';

export default typescriptEslint.config(
  {
    ignores: [
      '**/dist/**',
      'target/**',
      '**/node_modules/**',
      '**/reports/**',
      'packages/protocol/src/generated/**',
    ],
  },
  eslint.configs.recommended,
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    extends: [
      typescriptEslint.configs.strictTypeChecked,
      typescriptEslint.configs.stylisticTypeChecked,
    ],
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        {allowNumber: true, allowBoolean: true},
      ],
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^_', caughtErrors: 'none'},
      ],
      'no-console': 'error',
      'no-restricted-exports': [
        'error',
        {restrictDefaultExports: {direct: true}},
      ],
    },
  },
  {
    files: ['**/*.mjs', 'eslint.config.js'],
    languageOptions: {
      globals: {process: 'readonly', console: 'readonly', URL: 'readonly'},
    },
  },
  {
    files: ['**/*.cjs'],
    languageOptions: {
      sourceType: 'commonjs',
      globals: {
        __dirname: 'readonly',
        process: 'readonly',
        setTimeout: 'readonly',
      },
    },
  },
  prettier,
);
