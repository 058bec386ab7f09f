import type {StoredObject, StoreOperation, StoreResult} from '../../store.js';

/** An object API in memory, with versions and conditional updates. */
export class FakeStore {
  /** Calls so far, by operation type. */
  readonly calls = new Map<StoreOperation['type'], number>();
  private readonly objects = new Map<string, StoredObject>();

  /** Applies an operation at once and returns what it answers. */
  apply(operation: StoreOperation): StoreResult {
    this.calls.set(operation.type, (this.calls.get(operation.type) ?? 0) + 1);
    if (operation.type === 'list') {
      return {type: 'listed', objects: this.list(operation)};
    }
    const current = this.find(operation.kind, operation.name);
    if (operation.type === 'get' || operation.type === 'watch') {
      return current === undefined
        ? {type: 'missing'}
        : {type: 'found', object: current};
    }
    return this.write(operation, current);
  }

  find(kind: string, name: string): StoredObject | undefined {
    return this.objects.get(`${kind}/${name}`);
  }

  /** All objects of a kind, ordered by name. */
  all(kind: string): readonly StoredObject[] {
    return [...this.objects.values()]
      .filter((object) => object.kind === kind)
      .sort((first, second) => (first.name < second.name ? -1 : 1));
  }

  private list({
    kind,
    prefix,
    after,
    limit,
  }: Extract<StoreOperation, {type: 'list'}>): readonly StoredObject[] {
    return this.all(kind)
      .filter(({name}) => name.startsWith(prefix) && name > after)
      .slice(0, limit);
  }

  private write(
    operation: Extract<StoreOperation, {type: 'create' | 'update' | 'delete'}>,
    current: StoredObject | undefined,
  ): StoreResult {
    const {kind, name} = operation;
    const key = `${kind}/${name}`;
    if (operation.type === 'delete' && current === undefined) {
      return {type: 'missing'};
    }
    const expected =
      operation.type === 'create' ? undefined : operation.expectedVersion;
    if (current?.version !== expected) {
      return {type: 'conflict', current};
    }
    if (operation.type === 'delete') {
      this.objects.delete(key);
      return {type: 'written', version: (current?.version ?? 0) + 1};
    }
    const version = (current?.version ?? 0) + 1;
    this.objects.set(key, {kind, name, version, value: operation.value});
    return {type: 'written', version};
  }
}
