import type {AdapterRelease} from '../adapters/index.js';
import type {OwnRequests} from './server-demand.js';

/** What a host reports to the issuer of some servers' orders. */
export interface IssuerUpdate {
  /** Adapters that the host no longer uses. */
  readonly releases: readonly AdapterRelease[];
  /** Servers at which the host's number of requests has changed. */
  readonly requests: readonly OwnRequests[];
}
