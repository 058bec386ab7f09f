import type {
  FleetRecord,
  Order,
  OrderOutcome,
  ResidencyReport,
  ServerNotice,
  Snapshot,
  StoredItem,
  StoreKind,
} from '@basilworks/dispatch';
import type {Result, ResultAsync} from 'neverthrow';

/**
 * Why a call to the metadata store gave no result: it `refused` or could not
 * be reached, so that nothing was done; its answer is `missing`, so that a
 * write may have been done or may be done later; the history that a watch
 * needs is gone; or the answer could not be read.
 */
export type StoreFailure = 'refused' | 'missing' | 'history-gone' | 'malformed';

/** A call to the metadata store that gave no result. */
export class StoreError extends Error {
  override readonly name = 'StoreError';

  constructor(
    readonly failure: StoreFailure,
    detail: string,
  ) {
    super(detail);
  }
}

/** What changed in a kind after some revision. */
export interface StoreChanges {
  /** Revision to continue from. */
  readonly revision: number;
  readonly changed: readonly StoredItem[];
  /** Names of objects that are gone. */
  readonly removed: readonly string[];
}

/** How a conditional write ended. */
export type WriteOutcome =
  | {readonly type: 'written'; readonly item: StoredItem}
  /** The object is not at the expected revision; as it is, where told. */
  | {readonly type: 'conflict'; readonly item: StoredItem | undefined};

/** The platform's store, in the product's types. */
export interface MetadataStore {
  /** Lists a kind; each answer has to come within `answerMs`. */
  list(
    kind: StoreKind,
    signal: AbortSignal,
    answerMs: number,
  ): ResultAsync<Snapshot, StoreError>;
  /**
   * Waits up to `waitMs` for changes after `revision`; the answer has to come
   * within `answerMs` of that.
   */
  watch(
    kind: StoreKind,
    revision: number,
    waitMs: number,
    signal: AbortSignal,
    answerMs: number,
  ): ResultAsync<StoreChanges, StoreError>;
  /** Creates a record, or replaces the one at a revision. */
  write(
    name: string,
    record: FleetRecord,
    replaces: number | undefined,
  ): ResultAsync<WriteOutcome, StoreError>;
  /** Removes a record at a revision; a record that is gone is no error. */
  remove(name: string, revision: number): ResultAsync<void, StoreError>;
}

/** An HTTP call to a server, as the platform spells it. */
export interface ServerCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body: string;
}

/** Translates orders and reports of engines. */
export interface EngineProtocol {
  order(order: Order, holder: string, fence: number): ServerCall;
  orderOutcome(status: number): OrderOutcome;
  readonly report: ServerCall;
  parseReport(body: string): Result<ResidencyReport, Error>;
}

/** Load that a server reported with an answer. */
export interface HeaderLoad {
  readonly running: number;
  readonly waiting: number;
  /** How long work takes there now against the usual, 1 as usual; if told. */
  readonly slowness?: number | undefined;
}

/** Tokens that a caller says its request takes. */
export interface TokenUsage {
  readonly promptTokens: number;
  /** At the most. */
  readonly outputTokens: number;
}

/** Names of the headers that callers and servers use. */
export interface HeaderNames {
  readonly requestId: string;
  readonly deadlineMs: string;
  readonly model: string;
  /** Parts of the prompt, the request's own last. */
  readonly promptParts: string;
  /** Proves that an answer is a server's own. */
  readonly signature: string;
  /** States that the server did not run the request. */
  readonly notRun: string;
  readonly expectServer: string;
  readonly serverId: string;
  readonly expectVersion: string;
  readonly priority: string;
  readonly lastEventId: string;
  readonly serverLoad: string;
  /** A tenant's key; not for servers. */
  readonly key: string;
  /** Name of the tenant, for servers. */
  readonly tenant: string;
  readonly tokenUsage: string;
  /** Set by entry hosts only; those of callers are dropped. */
  readonly reserved: readonly string[];
}

/** Translates what goes with requests and answers. */
export interface ForwardingProtocol {
  readonly headers: HeaderNames;
  /** Ranks that servers know, 0 to this. */
  readonly lowestPriority: number;
  parseLoad(value: string): HeaderLoad | undefined;
  /** What an answer says of its server; `header` returns a header's value. */
  parseNotice(
    status: number,
    header: (name: string) => string | undefined,
  ): ServerNotice;
  /** Undefined where the value can't be read. */
  parseTokenUsage(value: string): TokenUsage | undefined;
  /** Names of a prompt's parts that other requests share. */
  parseSharedParts(value: string): readonly string[];
}

/** Paths and bodies of the calls that the platform makes to entry hosts. */
export interface HostProtocol {
  readonly readyPath: string;
  readonly addressPath: string;
  readonly zoneParameter: string;
  addressResponse(addresses: readonly string[], lifetimeS: number): object;
}

/** Everything that is spelled by the platform. */
export interface PlatformProtocol {
  readonly store: MetadataStore;
  readonly engines: EngineProtocol;
  readonly forwarding: ForwardingProtocol;
  readonly host: HostProtocol;
}
