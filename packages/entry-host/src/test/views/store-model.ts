import type {Snapshot, StoredItem, StoreKind} from '@basilworks/dispatch';
import {err, ok, type Result, ResultAsync} from 'neverthrow';

import {
  type MetadataStore,
  type StoreChanges,
  StoreError,
} from '../../index.js';
import type {VirtualTime} from './virtual-time.js';

/** How a path to the store is disturbed. */
export type StoreFault = 'none' | 'silent' | 'refuse';

interface Change {
  readonly kind: StoreKind;
  readonly at: number;
  readonly name: string;
  /** Undefined for a removal. */
  readonly item: StoredItem | undefined;
}

/** The store on virtual time. */
export class StoreModel {
  /** Applies to all callers. */
  fault: StoreFault = 'none';
  /** One way to the store, milliseconds. */
  latencyMs = 2;
  reads = 0;
  private at = 1;
  private oldest = 0;
  private readonly items = new Map<string, StoredItem>();
  private readonly changes: Change[] = [];
  private waiting: (() => void)[] = [];

  constructor(readonly time: VirtualTime) {}

  put(kind: StoreKind, name: string, value: unknown): void {
    this.at += 1;
    const item = {name, revision: this.at, value};
    this.items.set(`${kind}/${name}`, item);
    this.note({kind, at: this.at, name, item});
  }

  remove(kind: StoreKind, name: string): void {
    if (this.items.delete(`${kind}/${name}`)) {
      this.at += 1;
      this.note({kind, at: this.at, name, item: undefined});
    }
  }

  /** Drops the history and cuts the watches. */
  compact(): void {
    this.oldest = this.at;
    this.wake();
  }

  list(kind: StoreKind): StoredItem[] {
    return [...this.items]
      .filter(([key]) => key.startsWith(`${kind}/`))
      .map(([, item]) => item);
  }

  /** Answers a watch with what changed, or after its wait. */
  async watch(
    kind: StoreKind,
    from: number,
    waitMs: number,
  ): Promise<Result<StoreChanges, StoreError>> {
    const endMs = this.time.nowMs + waitMs;
    const since = () =>
      this.changes.filter((change) => change.kind === kind && change.at > from);
    while (
      from >= this.oldest &&
      since().length === 0 &&
      this.time.nowMs < endMs
    ) {
      await new Promise<void>((resolve) => {
        this.waiting.push(resolve);
        this.time.after(endMs - this.time.nowMs, resolve);
      });
    }
    if (from < this.oldest) {
      return err(new StoreError('history-gone', 'the history is gone'));
    }
    const last = new Map(since().map((change) => [change.name, change]));
    const changes = [...last.values()];
    return ok({
      revision: this.at,
      changed: changes.flatMap(({item}) => (item === undefined ? [] : [item])),
      removed: changes
        .filter(({item}) => item === undefined)
        .map(({name}) => name),
    });
  }

  revision(): number {
    return this.at;
  }

  private note(change: Change): void {
    this.changes.push(change);
    this.wake();
  }

  private wake(): void {
    const {waiting} = this;
    this.waiting = [];
    for (const resolve of waiting) {
      resolve();
    }
  }
}

/** One host's path to the store. */
export class StoreConnection implements MetadataStore {
  fault: StoreFault = 'none';

  constructor(
    private readonly store: StoreModel,
    /** Runs a call back once the host runs. */
    private readonly whenRunning: (run: () => void) => void,
  ) {}

  list(
    kind: StoreKind,
    _signal: AbortSignal,
    answerMs: number,
  ): ResultAsync<Snapshot, StoreError> {
    return this.call(answerMs, () =>
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
    answerMs: number,
  ): ResultAsync<StoreChanges, StoreError> {
    return this.call(waitMs + answerMs, () =>
      this.store.watch(kind, revision, waitMs),
    );
  }

  write(): ResultAsync<never, StoreError> {
    return new ResultAsync(Promise.resolve(err(refused())));
  }

  remove(): ResultAsync<void, StoreError> {
    return new ResultAsync(Promise.resolve(err(refused())));
  }

  private call<Value>(
    timeoutMs: number,
    answer: () => Promise<Result<Value, StoreError>>,
  ): ResultAsync<Value, StoreError> {
    const {store} = this;
    const {time} = store;
    store.reads += 1;
    return new ResultAsync(
      new Promise<Result<Value, StoreError>>((resolve) => {
        const end = (result: Result<Value, StoreError>) => {
          this.whenRunning(() => {
            resolve(result);
          });
        };
        time.after(timeoutMs, () => {
          end(err(new StoreError('missing', 'timeout')));
        });
        time.after(store.latencyMs, () => {
          const fault = this.faultNow();
          if (fault === 'refuse') {
            end(err(refused()));
          } else if (fault === 'none') {
            void answer().then((result) => {
              time.after(store.latencyMs, () => {
                // An answer is lost if the path has broken in the meantime.
                if (this.faultNow() === 'none') {
                  end(result);
                }
              });
            });
          }
        });
      }),
    );
  }

  private faultNow(): StoreFault {
    return this.fault === 'none' ? this.store.fault : this.fault;
  }
}

const refused = () => new StoreError('refused', 'the store answered 503');
