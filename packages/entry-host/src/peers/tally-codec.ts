import type {Instant} from '@basilworks/core';
import type {ServerTally, Outlier} from '@basilworks/dispatch';
import type {fleet} from '@basilworks/protocol';

import type {EntryHostContext} from '../context.js';

/** Encodes what became of this host's requests. */
export const encodeTallies = (
  tallies: readonly ServerTally[],
): fleet.ServerTally[] =>
  tallies.map(({server, attempts, failures}) => ({
    serverRun: server,
    attempts,
    failures,
  }));

/** Decodes a host's tallies; those that are no counts are left out. */
export const decodeTallies = (
  tallies: readonly fleet.ServerTally[],
): readonly ServerTally[] =>
  tallies
    .filter(
      ({attempts, failures}) =>
        Number.isFinite(attempts) && failures >= 0 && failures <= attempts,
    )
    .map(({serverRun, ...counts}) => ({server: serverRun, ...counts}));

export const encodeSuspects = (
  suspects: readonly Outlier[],
): fleet.ServerSuspect[] =>
  suspects.map(({server, leftMs}) => ({
    serverRun: server,
    leftMs: Math.ceil(leftMs),
  }));

export const decodeSuspects = (
  suspects: readonly fleet.ServerSuspect[],
): readonly Outlier[] =>
  suspects.map(({serverRun, leftMs}) => ({server: serverRun, leftMs}));

/** Keeps requests off a server by the word of a reader. */
export const takeSuspicion = (
  {outliers, servers, logger, metrics}: EntryHostContext,
  suspicion: Outlier,
  judgedBy: string | undefined,
  at: Instant,
): void => {
  if (!outliers.apply(suspicion, at)) {
    return;
  }
  const entry = servers.get(suspicion.server)?.entry;
  metrics.serversAvoided.inc({service: entry?.service ?? 'unknown'});
  logger.info('server avoided', {
    server: entry?.id ?? suspicion.server,
    leftMs: Math.round(suspicion.leftMs),
    judgedBy,
  });
};
