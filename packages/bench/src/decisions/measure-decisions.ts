import {performance} from 'node:perf_hooks';

import {generateArrivals} from '../policy/arrivals.js';
import type {Deployment} from '../policy/deployments.js';
import {AL_HAJAR} from '../policy/deployments.js';
import {countEvents} from './count-events.js';

/** Cost of the reducer's decisions at one size. */
export interface DecisionCost {
  readonly adapters: number;
  readonly servers: number;
  readonly requests: number;
  readonly events: number;
  readonly eventsPerSecond: number;
  readonly microsecondsPerRequest: number;
}

const SECONDS = 120;

/** Requests per second for each server. */
const REQUESTS_PER_SERVER = 1.2;

/** Measures one host that is ingress, home, owner and holder at once. */
export const measureDecisions = (
  adapters: number,
  servers: number,
  seed: number,
): DecisionCost => {
  const deployment: Deployment = {...AL_HAJAR, adapters, servers};
  const arrivals = generateArrivals(
    {
      name: 'decisions',
      deployment,
      seconds: SECONDS,
      warmUpSeconds: 0,
      phases: [
        {
          fromSeconds: 0,
          requestsPerSecond: REQUESTS_PER_SERVER * servers,
          shares: {urgent: 0.35, standard: 0.35, deferrable: 0.3},
          hotShare: 0,
          hotAdapters: 0,
        },
      ],
      shiftAtSeconds: undefined,
      incident: undefined,
    },
    seed,
  );
  const {events, reducingMs} = countEvents(
    deployment,
    arrivals,
    SECONDS * 1_000,
    () => performance.now(),
  );
  return {
    adapters,
    servers,
    requests: arrivals.length,
    events,
    eventsPerSecond: Math.round((events * 1_000) / reducingMs),
    microsecondsPerRequest: Math.round((reducingMs * 1_000) / arrivals.length),
  };
};
