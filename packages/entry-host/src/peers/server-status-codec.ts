import type {Instant} from '@basilworks/core';
import {instantBefore, type ServerStatus} from '@basilworks/dispatch';
import type {fleet} from '@basilworks/protocol';

import type {EntryHostContext} from '../context.js';

/** Maximum assumed transit time of a request from a peer, milliseconds. */
const MAXIMUM_TRANSIT_MS = 500;

/** Maximum statuses in a message: far more than servers report at a time. */
const MAXIMUM_STATUSES = 64;

/** The interval in which a peer must have read the status that it relays. */
interface ReadWindow {
  readonly earliest: Instant;
  readonly latest: Instant;
}

/** Returns the read window of a response: it begins with the request. */
export const responseReadWindow = (
  requestedAt: Instant,
  latest: Instant,
): ReadWindow => ({
  earliest: requestedAt,
  latest,
});

/** Returns the read window of a request: it begins a transit time earlier. */
export const requestReadWindow = (latest: Instant): ReadWindow => ({
  earliest: instantBefore(latest, MAXIMUM_TRANSIT_MS),
  latest,
});

/** Returns the statuses that servers reported recently, for peers. */
export const encodeServerStatuses = ({
  servers,
  clock,
}: EntryHostContext): fleet.ServerWord[] => {
  const at = clock.now();
  return servers
    .all()
    .flatMap(({key, notices}) => {
      const status = notices.status(at);
      return status === undefined ? [] : [encodeServerStatus(key, status, at)];
    })
    .slice(0, MAXIMUM_STATUSES);
};

/**
 * Encodes what a server instance reported. The ages are rounded outwards, so
 * that the receiver's interval for the report contains the sender's. In
 * messages, `serverRun` is the instance, `ServerWord`, `word` and `words` are
 * statuses, and `rate` is the rate limit.
 */
export const encodeServerStatus = (
  serverRun: string,
  {leaving, rateLimit}: ServerStatus,
  at: Instant,
): fleet.ServerWord => ({
  serverRun,
  leaving,
  rate:
    rateLimit === undefined
      ? undefined
      : {
          requestsPerSecond: rateLimit.requestsPerSecond,
          sentAgeMs: Math.ceil(ageMs(rateLimit.after, at)),
          arrivedAgeMs: Math.floor(ageMs(rateLimit.before, at)),
        },
});

/** Applies a server status relayed by a peer; rejects invalid rate limits. */
export const applyServerStatus = (
  {servers, clock, logger, metrics}: EntryHostContext,
  {serverRun, leaving, rate}: fleet.ServerWord,
  {earliest, latest}: ReadWindow,
): void => {
  const server = servers.get(serverRun);
  const perSecond = rate?.requestsPerSecond ?? 0;
  if (!Number.isFinite(perSecond) || perSecond < 0) {
    logger.warn('invalid server status rejected', {server: serverRun});
    return;
  }
  const rateLimit = rate && {
    requestsPerSecond: rate.requestsPerSecond,
    after: instantBefore(earliest, rate.sentAgeMs),
    before: instantBefore(latest, rate.arrivedAgeMs),
  };
  if (server?.notices.applyStatus({leaving, rateLimit}, clock.now()) === true) {
    const {id, service} = server.entry;
    metrics.serverNotices.inc({service});
    logger.info('server notice', {
      server: id,
      leaving,
      requestsPerSecond: rateLimit?.requestsPerSecond,
      passedOn: true,
    });
  }
};

const ageMs = (since: Instant, at: Instant): number =>
  Math.max(0, at.monotonicMs - since.monotonicMs);
