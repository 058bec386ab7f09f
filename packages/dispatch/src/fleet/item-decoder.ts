import type {z} from 'zod';

import type {StoredItem} from './store-views.js';

/**
 * Decodes the values of stored items. Views keep the objects of items that have
 * not changed, so that each version of an item is validated once.
 */
export class ItemDecoder<Schema extends z.ZodType> {
  private readonly decoded = new WeakMap<
    StoredItem,
    {readonly value: z.infer<Schema> | undefined}
  >();

  constructor(private readonly schema: Schema) {}

  /** Returns the value; undefined if it does not match the schema. */
  decode(item: StoredItem): z.infer<Schema> | undefined {
    const known = this.decoded.get(item);
    if (known !== undefined) {
      return known.value;
    }
    const value = this.schema.safeParse(item.value).data;
    this.decoded.set(item, {value});
    return value;
  }
}
