import {z} from 'zod';

import {daemonSettingsSchema} from './settings-schema.js';

/** One key of the settings file. */
interface SettingsKey {
  /** Path from the root; `[]` stands for each element of an array. */
  readonly path: string;
  readonly type: string;
  /** JSON of the default value; empty for a key that must be given. */
  readonly fallback: string;
  readonly description: string;
}

/** The part of a JSON schema that the reference shows. */
interface JsonSchema {
  readonly type?: string;
  readonly description?: string;
  readonly default?: unknown;
  readonly enum?: readonly string[];
  readonly properties?: Readonly<Record<string, JsonSchema>>;
  readonly required?: readonly string[];
  readonly items?: JsonSchema;
}

const INTRODUCTION = `# Settings

The settings file of \`basilworksd\` is JSON with comments. This page is made from
the schema; a test compares the two.

| key | type | default | meaning |
| --- | --- | --- | --- |
`;

/** The operators' reference of all settings, as Markdown. */
export const settingsReference = (): string => {
  const schema = z.toJSONSchema(daemonSettingsSchema, {io: 'input'});
  const rows = keysOf(schema as JsonSchema, '').map(
    ({path, type, fallback, description}) =>
      `| \`${path}\` | ${type} | ${fallback} | ${description} |`,
  );
  return `${INTRODUCTION}${rows.join('\n')}\n`;
};

const keysOf = (schema: JsonSchema, prefix: string): SettingsKey[] =>
  Object.entries(schema.properties ?? {}).flatMap(([name, property]) => {
    const path = `${prefix}${name}`;
    if (property.properties !== undefined) {
      return keysOf(property, `${path}.`);
    }
    const elements = property.items?.properties ? property.items : undefined;
    return [
      toKey(path, property, schema.required?.includes(name) ?? false),
      ...(elements === undefined ? [] : keysOf(elements, `${path}[].`)),
    ];
  });

const toKey = (
  path: string,
  {type, enum: values, default: fallback, description}: JsonSchema,
  isRequired: boolean,
): SettingsKey => ({
  path,
  type: values === undefined ? (type ?? '') : values.join(', '),
  fallback:
    fallback === undefined
      ? isRequired
        ? 'required'
        : 'see meaning'
      : `\`${JSON.stringify(fallback)}\``,
  description: description ?? '',
});
