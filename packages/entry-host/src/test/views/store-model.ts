import type {
  FleetRecord,
  Snapshot,
  StoredItem,
  StoreKind,
} from '@basilworks/dispatch';
import {err, ok, okAsync, type Result, ResultAsync} from 'neverthrow';

import {
  type MetadataStore,
  type StoreChanges,
  StoreError,
  type WriteOutcome,
} from '../../index.js';
import type {VirtualTime} from './virtual-time.js';

/** Fault of the store, or of a connection to it: no response, or a refusal. */
export type StoreFault = 'none' | 'silent' | 'refuse';

/** Time-out of a write, milliseconds. */
const WRITE_TIMEOUT_MS = 800;

interface Change {
  readonly kind: StoreKind;
  readonly revision: number;
  readonly name: string;
  /** Undefined for a removal. */
  readonly item: StoredItem | undefined;
}

/** Model of the metadata store on virtual time. */
export class StoreModel {
  /** Fault for all hosts. */
  fault: StoreFault = 'none';
  /** One-way latency to the store, milliseconds. */
  latencyMs = 2;
  /** Number of list and watch calls. */
  reads = 0;
  private latestRevision = 1;
  private compactedRevision = 0;
  private readonly items = new Map<string, StoredItem>();
  private readonly changes: Change[] = [];
  private watchers: (() => void)[] = [];

  constructor(readonly time: VirtualTime) {}

  put(kind: StoreKind, name: string, value: unknown): void {
    this.latestRevision += 1;
    const item = {name, revision: this.latestRevision, value};
    this.items.set(`${kind}/${name}`, item);
    this.append({kind, revision: this.latestRevision, name, item});
  }

  /** Creates an object unless there is one. */
  create(kind: StoreKind, name: string, value: unknown): WriteOutcome {
    const known = this.items.get(`${kind}/${name}`);
    if (known === undefined) {
      this.put(kind, name, value);
    }
    const item = known ?? {name, revision: this.latestRevision, value};
    return {type: known === undefined ? 'written' : 'conflict', item};
  }

  /** Replaces an object if its revision is the expected one. */
  replace(
    kind: StoreKind,
    name: string,
    value: unknown,
    expectedRevision: number,
  ): WriteOutcome {
    const known = this.items.get(`${kind}/${name}`);
    if (known?.revision !== expectedRevision) {
      return {type: 'conflict', item: known};
    }
    this.put(kind, name, value);
    const item = {name, revision: this.latestRevision, value};
    return {type: 'written', item};
  }

  remove(kind: StoreKind, name: string): void {
    if (this.items.delete(`${kind}/${name}`)) {
      this.latestRevision += 1;
      this.append({kind, revision: this.latestRevision, name, item: undefined});
    }
  }

  /** Compacts the history and ends all watches. */
  compact(): void {
    this.compactedRevision = this.latestRevision;
    this.wakeWatchers();
  }

  list(kind: StoreKind): StoredItem[] {
    return [...this.items]
      .filter(([key]) => key.startsWith(`${kind}/`))
      .map(([, item]) => item);
  }

  /** Waits up to `waitMs` for changes after `from` and returns them. */
  async watch(
    kind: StoreKind,
    from: number,
    waitMs: number,
  ): Promise<Result<StoreChanges, StoreError>> {
    const endMs = this.time.nowMs + waitMs;
    const changesSince = () =>
      this.changes.filter(
        (change) => change.kind === kind && change.revision > from,
      );
    while (
      from >= this.compactedRevision &&
      changesSince().length === 0 &&
      this.time.nowMs < endMs
    ) {
      await new Promise<void>((resolve) => {
        this.watchers.push(resolve);
        this.time.after(endMs - this.time.nowMs, resolve);
      });
    }
    if (from < this.compactedRevision) {
      return err(new StoreError('history-gone', 'the history was compacted'));
    }
    const latestByName = new Map(
      changesSince().map((change) => [change.name, change]),
    );
    const changes = [...latestByName.values()];
    return ok({
      revision: this.latestRevision,
      changed: changes.flatMap(({item}) => (item === undefined ? [] : [item])),
      removed: changes
        .filter(({item}) => item === undefined)
        .map(({name}) => name),
    });
  }

  revision(): number {
    return this.latestRevision;
  }

  private append(change: Change): void {
    this.changes.push(change);
    this.wakeWatchers();
  }

  private wakeWatchers(): void {
    const {watchers} = this;
    this.watchers = [];
    for (const resolve of watchers) {
      resolve();
    }
  }
}

/** One host's connection to the store. */
export class StoreConnection implements MetadataStore {
  readonly saveStreams = () => okAsync(undefined);
  readonly loadStreams = () => okAsync([]);
  fault: StoreFault = 'none';

  constructor(
    private readonly store: StoreModel,
    /** Runs a callback once the host runs. */
    private readonly whenRunning: (run: () => void) => void,
  ) {}

  list(
    kind: StoreKind,
    _signal: AbortSignal,
    responseTimeoutMs: number,
  ): ResultAsync<Snapshot, StoreError> {
    return this.call(responseTimeoutMs, () =>
      Promise.resolve(
        ok({
          kind,
          revision: this.store.revision(),
          items: this.store.list(kind),
        }),
      ),
    );
  }

  watch(
    kind: StoreKind,
    revision: number,
    waitMs: number,
    _signal: AbortSignal,
    responseTimeoutMs: number,
  ): ResultAsync<StoreChanges, StoreError> {
    return this.call(waitMs + responseTimeoutMs, () =>
      this.store.watch(kind, revision, waitMs),
    );
  }

  write(
    name: string,
    record: FleetRecord,
    expectedRevision?: number,
  ): ResultAsync<WriteOutcome, StoreError> {
    const {store} = this;
    const write = () =>
      expectedRevision === undefined
        ? store.create('records', name, record)
        : store.replace('records', name, record, expectedRevision);
    return this.call(WRITE_TIMEOUT_MS, () => Promise.resolve(ok(write())));
  }

  remove(): ResultAsync<void, StoreError> {
    return new ResultAsync(Promise.resolve(err(refusedError())));
  }

  private call<Value>(
    timeoutMs: number,
    respond: () => Promise<Result<Value, StoreError>>,
  ): ResultAsync<Value, StoreError> {
    const {store} = this;
    const {time} = store;
    store.reads += 1;
    return new ResultAsync(
      new Promise<Result<Value, StoreError>>((resolve) => {
        const settle = (result: Result<Value, StoreError>) => {
          this.whenRunning(() => {
            resolve(result);
          });
        };
        time.after(timeoutMs, () => {
          settle(err(new StoreError('missing', 'timeout')));
        });
        time.after(store.latencyMs, () => {
          const fault = this.currentFault();
          if (fault === 'refuse') {
            settle(err(refusedError()));
          } else if (fault === 'none') {
            void respond().then((result) => {
              time.after(store.latencyMs, () => {
                // A response is lost if a fault began in the meantime.
                if (this.currentFault() === 'none') {
                  settle(result);
                }
              });
            });
          }
        });
      }),
    );
  }

  private currentFault(): StoreFault {
    return this.fault === 'none' ? this.store.fault : this.fault;
  }
}

const refusedError = () =>
  new StoreError('refused', 'the store responded with status 503');
