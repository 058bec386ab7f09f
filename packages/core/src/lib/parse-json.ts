import type {z} from 'zod';

/** Returns the JSON text's value if it fits the schema, else undefined. */
export const parseJson = <Schema extends z.ZodType>(
  schema: Schema,
  text: string,
): z.infer<Schema> | undefined => {
  try {
    return schema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
};
