import type {
  FleetRecord,
  Order,
  OrderOutcome,
  ResidencyReport,
  ServerNotice,
  Snapshot,
  StoredItem,
  StoreKind,
  StreamRecord,
} from '@basilworks/dispatch';
import type {Result, ResultAsync} from 'neverthrow';

/**
 * Why a call to the metadata store failed:
 *
 * - `refused`: the store refused the call or was unreachable, so nothing was
 *   written.
 * - `missing`: no response arrived; a write may have been executed or may still
 *   be.
 * - `history-gone`: the store has compacted the history that a watch needs, or
 *   has been restored from an older copy since.
 * - `malformed`: the response could not be parsed.
 * - `too-large`: the response exceeded a bound; a write may have been executed.
 */
export type StoreFailure =
  'refused' | 'missing' | 'history-gone' | 'malformed' | 'too-large';

/** A failed call to the metadata store. */
export class StoreError extends Error {
  override readonly name = 'StoreError';

  constructor(
    readonly failure: StoreFailure,
    detail: string,
  ) {
    super(detail);
  }
}

/** Changes to the objects of one kind since a revision. */
export interface StoreChanges {
  /** Revision from which to continue watching. */
  readonly revision: number;
  readonly changed: readonly StoredItem[];
  /** Names of removed objects. */
  readonly removed: readonly string[];
}

/** Outcome of a conditional write. */
export type WriteOutcome =
  | {readonly type: 'written'; readonly item: StoredItem}
  /**
   * The object is not at the expected revision; `item` is its current state if
   * the store returned it.
   */
  | {readonly type: 'conflict'; readonly item: StoredItem | undefined};

/** The platform's metadata store, in the types of this package. */
export interface MetadataStore {
  /**
   * Lists the objects of a kind. Each response has to arrive within
   * `responseTimeoutMs`.
   */
  list(
    kind: StoreKind,
    signal: AbortSignal,
    responseTimeoutMs: number,
  ): ResultAsync<Snapshot, StoreError>;
  /**
   * Waits up to `waitMs` for changes after `revision`. The response has to
   * arrive within `responseTimeoutMs` after that.
   */
  watch(
    kind: StoreKind,
    revision: number,
    waitMs: number,
    signal: AbortSignal,
    responseTimeoutMs: number,
  ): ResultAsync<StoreChanges, StoreError>;
  /**
   * Creates a record, or replaces the one at `expectedRevision` if that is
   * given.
   */
  write(
    name: string,
    record: FleetRecord,
    expectedRevision: number | undefined,
  ): ResultAsync<WriteOutcome, StoreError>;
  /** Replaces what a host keeps of its streams. */
  saveStreams(record: StreamRecord): ResultAsync<void, StoreError>;
  /** Lists what all hosts keep of their streams. */
  loadStreams(): ResultAsync<readonly StreamRecord[], StoreError>;
  /** Removes a record at a revision; it is no error if none exists. */
  remove(name: string, revision: number): ResultAsync<void, StoreError>;
}

/** An HTTP call to a server in the platform's format. */
export interface ServerCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body: string;
}

/** Converts orders and residency reports to and from HTTP calls. */
export interface EngineProtocol {
  /** Returns the call for an order of the given claim holder. */
  order(order: Order, holder: string, fence: number): ServerCall;
  /** Returns the outcome of an order by the HTTP status of its response. */
  orderOutcome(status: number): OrderOutcome;
  /** Call that returns a residency report. */
  readonly report: ServerCall;
  parseReport(body: string): Result<ResidencyReport, Error>;
}

/** Load that a server reported in a header of a response. */
export interface HeaderLoad {
  readonly running: number;
  readonly waiting: number;
  /** Current service time divided by the usual one, if reported. */
  readonly slowness?: number | undefined;
}

/** Tokens that a caller declared for its request. */
export interface TokenUsage {
  readonly promptTokens: number;
  /** Upper bound. */
  readonly outputTokens: number;
}

/** Names of the headers that callers and servers use. */
export interface HeaderNames {
  readonly requestId: string;
  /** Time that is left for the request, milliseconds. */
  readonly deadlineMs: string;
  readonly model: string;
  /** Parts of the prompt; the last one is specific to the request. */
  readonly promptParts: string;
  /** Proves that a response was sent by a server. */
  readonly signature: string;
  /** Indicates that the server did not run the request. */
  readonly notRun: string;
  /** Id of the server that the request is for. */
  readonly expectServer: string;
  readonly serverId: string;
  /** Adapter version that the request is for. */
  readonly expectVersion: string;
  readonly priority: string;
  readonly lastEventId: string;
  /** Id of the request that began the stream which a request takes up. */
  readonly resumes: string;
  readonly serverLoad: string;
  /** A tenant's key; not forwarded to servers. */
  readonly key: string;
  /** Name of the tenant; sent to servers. */
  readonly tenant: string;
  readonly tokenUsage: string;
  /** Headers that only entry hosts set; they are dropped from requests. */
  readonly reserved: readonly string[];
}

/** Parses the headers of requests and responses. */
export interface ForwardingProtocol {
  readonly headers: HeaderNames;
  /** Highest priority number of servers; 0 is the highest priority. */
  readonly lowestPriority: number;
  /** Returns undefined if the value is malformed. */
  parseLoad(value: string): HeaderLoad | undefined;
  /** Returns a server's notice; `header` returns the value of a header. */
  parseNotice(
    status: number,
    header: (name: string) => string | undefined,
  ): ServerNotice;
  /** Returns undefined if the value is malformed. */
  parseTokenUsage(value: string): TokenUsage | undefined;
  /** Returns the names of the prompt's parts that other requests share. */
  parseSharedParts(value: string): readonly string[];
}

/** Paths and bodies of calls to the readiness and directory listeners. */
export interface HostProtocol {
  readonly readyPath: string;
  readonly addressPath: string;
  readonly zoneParameter: string;
  addressResponse(addresses: readonly string[], lifetimeS: number): object;
}

/** All formats and protocols that the platform defines. */
export interface PlatformProtocol {
  readonly store: MetadataStore;
  readonly engines: EngineProtocol;
  readonly forwarding: ForwardingProtocol;
  readonly host: HostProtocol;
}
