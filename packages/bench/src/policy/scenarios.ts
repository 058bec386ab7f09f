import type {PriorityClass} from '@basilworks/core';

import {AL_HAJAR, type Deployment, HALLORAN} from './deployments.js';

/** What arrives during one phase of a scenario. */
export interface Phase {
  /** Start of the phase, seconds from the start of the scenario. */
  readonly fromSeconds: number;
  /** Requests per second, averaged over bursts. */
  readonly requestsPerSecond: number;
  /** Shares of the classes; they add up to one. */
  readonly shares: Readonly<Record<PriorityClass, number>>;
  /** Share of sessions on adapters that this phase makes popular. */
  readonly hotShare: number;
  /** Number of adapters that the hot share is spread over. */
  readonly hotAdapters: number;
}

/** What happens to servers at one moment. */
export interface Incident {
  readonly atSeconds: number;
  readonly kind: 'zone-restart' | 'zone-loss';
}

/** One scenario of the policy bench. */
export interface Scenario {
  readonly name: string;
  readonly deployment: Deployment;
  readonly seconds: number;
  /** Requests that arrive before this are not measured. */
  readonly warmUpSeconds: number;
  readonly phases: readonly Phase[];
  /** Moment from which popularity turns over within a minute. */
  readonly shiftAtSeconds: number | undefined;
  readonly incident: Incident | undefined;
}

const DAY_SHARES = {urgent: 0.45, standard: 0.35, deferrable: 0.2};
const STORM_SHARES = {urgent: 0.7, standard: 0.2, deferrable: 0.1};
const CELLAR_DAY_SHARES = {urgent: 0.35, standard: 0.35, deferrable: 0.3};
const CELLAR_NIGHT_SHARES = {urgent: 0.08, standard: 0.12, deferrable: 0.8};

/** Requests per second at which each weight store is busy but not over. */
const HALLORAN_DAY_RATE = 4;
const AL_HAJAR_DAY_RATE = 16;

const steady = (
  requestsPerSecond: number,
  shares: Phase['shares'],
  fromSeconds = 0,
): Phase => ({
  fromSeconds,
  requestsPerSecond,
  shares,
  hotShare: 0,
  hotAdapters: 0,
});

const halloranDay: Scenario = {
  name: 'halloran-day',
  deployment: HALLORAN,
  seconds: 1_200,
  warmUpSeconds: 300,
  phases: [steady(HALLORAN_DAY_RATE, DAY_SHARES)],
  shiftAtSeconds: undefined,
  incident: undefined,
};

const alHajarDay: Scenario = {
  ...halloranDay,
  name: 'al-hajar-day',
  deployment: AL_HAJAR,
  phases: [steady(AL_HAJAR_DAY_RATE, CELLAR_DAY_SHARES)],
};

/** Every scenario, in the order of the report. */
export const SCENARIOS: readonly Scenario[] = [
  halloranDay,
  {
    ...halloranDay,
    name: 'halloran-storm',
    phases: [
      steady(HALLORAN_DAY_RATE, DAY_SHARES),
      {
        fromSeconds: 480,
        requestsPerSecond: 3 * HALLORAN_DAY_RATE,
        shares: STORM_SHARES,
        hotShare: 0.5,
        hotAdapters: 60,
      },
      steady(HALLORAN_DAY_RATE, DAY_SHARES, 840),
    ],
  },
  {
    ...halloranDay,
    name: 'halloran-cold-start',
    incident: {atSeconds: 480, kind: 'zone-restart'},
  },
  {...halloranDay, name: 'halloran-shift', shiftAtSeconds: 480},
  alHajarDay,
  {
    ...alHajarDay,
    name: 'al-hajar-night',
    phases: [steady(10, CELLAR_NIGHT_SHARES)],
  },
  {...alHajarDay, name: 'al-hajar-shift', shiftAtSeconds: 480},
  {
    ...alHajarDay,
    name: 'al-hajar-zone-loss',
    incident: {atSeconds: 480, kind: 'zone-loss'},
  },
];
