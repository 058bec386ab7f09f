import type {History, ServerArrival} from '../history.js';
import type {Violation} from './violation.js';

/**
 * At most one host at a time sends to a server: what arrives carries fencing
 * numbers that never fall, and one number has one sender. Servers that check
 * the numbers may refuse what is stale.
 */
export const checkSenders = ({arrivals}: History): readonly Violation[] => {
  const newest = new Map<string, ServerArrival>();
  const violations: Violation[] = [];
  for (const arrival of arrivals) {
    if (!arrival.accepted) {
      continue;
    }
    const {server, fencingNumber, incarnation, checksFencing} = arrival;
    const known = newest.get(server);
    const isStale =
      known !== undefined &&
      (fencingNumber < known.fencingNumber ||
        (fencingNumber === known.fencingNumber &&
          incarnation !== known.incarnation));
    if (isStale) {
      violations.push({
        promise: checksFencing ? 'stale-order-accepted' : 'two-senders',
        atMs: arrival.atMs,
        detail:
          `${server}: ${incarnation} with ${fencingNumber} after ` +
          `${known.incarnation} with ${known.fencingNumber}`,
      });
    } else {
      newest.set(server, arrival);
    }
  }
  return violations;
};
