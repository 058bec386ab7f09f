import type {AdapterRelease} from '../adapters/index.js';
import type {OwnRequests} from './server-demand.js';

/** What a host tells the issuer of some servers' orders. */
export interface IssuerUpdate {
  /** Adapters that it is done with. */
  readonly releases: readonly AdapterRelease[];
  /** Servers at which its number of requests has changed. */
  readonly requests: readonly OwnRequests[];
}
