import type {Instant} from '@basilworks/core';
import type {Outlier, ServerTally} from '@basilworks/dispatch';
import type {fleet} from '@basilworks/protocol';

import type {EntryHostContext} from '../context.js';

/** Encodes this host's counts of attempts and failures by server. */
export const encodeTallies = (
  tallies: readonly ServerTally[],
): fleet.ServerTally[] =>
  tallies.map(({server, attempts, failures}) => ({
    serverRun: server,
    attempts,
    failures,
  }));

/** Decodes a host's tallies; omits those with invalid counts. */
export const decodeTallies = (
  tallies: readonly fleet.ServerTally[],
): readonly ServerTally[] =>
  tallies
    .filter(
      ({attempts, failures}) =>
        Number.isFinite(attempts) && failures >= 0 && failures <= attempts,
    )
    .map(({serverRun, ...counts}) => ({server: serverRun, ...counts}));

/** Encodes outliers, named suspects in messages. */
export const encodeOutliers = (
  suspects: readonly Outlier[],
): fleet.ServerSuspect[] =>
  suspects.map(({server, leftMs}) => ({
    serverRun: server,
    leftMs: Math.ceil(leftMs),
  }));

export const decodeOutliers = (
  suspects: readonly fleet.ServerSuspect[],
): readonly Outlier[] =>
  suspects.map(({serverRun, leftMs}) => ({server: serverRun, leftMs}));

/**
 * Excludes an outlier from server selection. `judgedBy` is the store reader
 * that reported it, undefined if not yet identified.
 */
export const applyOutlier = (
  {outliers, servers, logger, metrics}: EntryHostContext,
  outlier: Outlier,
  judgedBy: string | undefined,
  at: Instant,
): void => {
  if (!outliers.apply(outlier, at)) {
    return;
  }
  const entry = servers.get(outlier.server)?.entry;
  metrics.serversAvoided.inc({service: entry?.service ?? 'unknown'});
  logger.info('server avoided', {
    server: entry?.id ?? outlier.server,
    leftMs: Math.round(outlier.leftMs),
    judgedBy,
  });
};
