import type {Instant} from '@basilworks/core';
import {instantBefore, type ServerStatus} from '@basilworks/dispatch';
import type {fleet} from '@basilworks/protocol';

import type {EntryHostContext} from '../context.js';

/** Longest way of a request from a peer, milliseconds. */
const LONGEST_WAY_MS = 500;

/** Servers of which one message tells: many more than are ever in need. */
const MAXIMUM_WORDS = 64;

/** When a peer can have looked at what it passes on. */
interface ReadWindow {
  readonly earliest: Instant;
  readonly latest: Instant;
}

/** A peer that answered looked after it was asked. */
export const responseReadWindow = (
  askedAt: Instant,
  latest: Instant,
): ReadWindow => ({
  earliest: askedAt,
  latest,
});

/** A peer that asks looked shortly before. */
export const requestReadWindow = (latest: Instant): ReadWindow => ({
  earliest: instantBefore(latest, LONGEST_WAY_MS),
  latest,
});

/** Returns what servers said lately. */
export const encodeServerStatuses = ({
  servers,
  clock,
}: EntryHostContext): fleet.ServerWord[] => {
  const at = clock.now();
  return servers
    .all()
    .flatMap(({key, notices}) => {
      const news = notices.status(at);
      return news === undefined ? [] : [encodeServerStatus(key, news, at)];
    })
    .slice(0, MAXIMUM_WORDS);
};

/** Encodes what a run of a server said. */
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

/** Takes over what a peer passed on of a server. */
export const applyServerStatus = (
  {servers, clock, logger, metrics}: EntryHostContext,
  {serverRun, leaving, rate}: fleet.ServerWord,
  {earliest, latest}: ReadWindow,
): void => {
  const server = servers.get(serverRun);
  const perSecond = rate?.requestsPerSecond ?? 0;
  if (!Number.isFinite(perSecond) || perSecond < 0) {
    logger.warn('a word on a server is refused', {server: serverRun});
    return;
  }
  const word = rate && {
    requestsPerSecond: rate.requestsPerSecond,
    after: instantBefore(earliest, rate.sentAgeMs),
    before: instantBefore(latest, rate.arrivedAgeMs),
  };
  if (
    server?.notices.applyStatus({leaving, rateLimit: word}, clock.now()) ===
    true
  ) {
    const {id, service} = server.entry;
    metrics.serverNotices.inc({service});
    logger.info('server notice', {
      server: id,
      leaving,
      requestsPerSecond: word?.requestsPerSecond,
      passedOn: true,
    });
  }
};

const ageMs = (since: Instant, at: Instant): number =>
  Math.max(0, at.monotonicMs - since.monotonicMs);
