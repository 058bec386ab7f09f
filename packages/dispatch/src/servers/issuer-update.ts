import type {AdapterRelease} from '../adapters/index.js';
import type {EventGap} from '../prompts/index.js';
import type {OwnRequests} from './server-demand.js';

/** A prompt that is no longer pending at its server. */
export interface PrefilledPrompt {
  /** Key of the server. */
  readonly server: string;
  /** Id of the request for its adapter. */
  readonly requestId: string;
  /**
   * Time from its send to its first event, milliseconds; undefined if the
   * request ended without one.
   */
  readonly prefillMs: number | undefined;
}

/** A gap between two events that was close to its target or exceeded it. */
export interface ServerGap extends EventGap {
  /** Key of the server. */
  readonly server: string;
}

/** What a host reports to the issuer of some servers' orders. */
export interface IssuerUpdate {
  /** Adapters that the host no longer uses. */
  readonly releases: readonly AdapterRelease[];
  /** Servers at which the host's number of requests has changed. */
  readonly requests: readonly OwnRequests[];
  readonly prefilled: readonly PrefilledPrompt[];
  /** Longest close gap of each server since the last update. */
  readonly gaps: readonly ServerGap[];
}
