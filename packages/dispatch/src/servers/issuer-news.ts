import type {Release} from '../adapters/index.js';
import type {OwnRequests} from './server-demand.js';

/** A prompt that a server has read. */
export interface PromptRead {
  /** Key of the server. */
  readonly server: string;
  /** As in the request for the adapter. */
  readonly requestId: string;
  /** Time from its send to the first event, milliseconds. */
  readonly tookMs: number;
}

/** What a host tells the issuer of some servers' orders. */
export interface IssuerNews {
  /** Adapters that it is done with. */
  readonly releases: readonly Release[];
  /** Servers at which its number of requests has changed. */
  readonly requests: readonly OwnRequests[];
  /** Told together with the rest, as they change nothing at once. */
  readonly promptsRead: readonly PromptRead[];
}
