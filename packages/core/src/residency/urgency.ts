import {adapterEntry} from '../configuration/selectors.js';
import type {PriorityClass, RequestDescription} from '../request.js';
import type {CoreState} from '../state.js';

/** Cost of a second of waiting, by class. */
const CLASS_WEIGHT: Readonly<Record<PriorityClass, number>> = {
  urgent: 16,
  standard: 4,
  deferrable: 1,
};

/**
 * Cost of a miss, by class: a load of the shared budget and the stall. Closer
 * together than the cost of waiting, as a load costs the same for all.
 */
const MISS_WEIGHT: Readonly<Record<PriorityClass, number>> = {
  urgent: 2,
  standard: 1,
  deferrable: 1,
};

/** Urgency of an adapter that the configuration does not list. */
const DEFAULT_URGENCY = 10;

/** Classes in the order in which they are served. */
export const PRIORITY_CLASSES: readonly PriorityClass[] = [
  'urgent',
  'standard',
  'deferrable',
];

/** Cost of letting a request wait, per unit of time. */
export const requestWeight = (
  state: CoreState,
  request: Pick<RequestDescription, 'adapter' | 'priorityClass'>,
): number => {
  const urgency =
    adapterEntry(state, request.adapter)?.urgency ?? DEFAULT_URGENCY;
  return CLASS_WEIGHT[request.priorityClass] * urgency;
};

/** Cost of one visit of an adapter that is not resident. */
export const missWeight = (
  state: CoreState,
  request: Pick<RequestDescription, 'adapter' | 'priorityClass'>,
): number => {
  const urgency =
    adapterEntry(state, request.adapter)?.urgency ?? DEFAULT_URGENCY;
  return MISS_WEIGHT[request.priorityClass] * Math.sqrt(urgency);
};
