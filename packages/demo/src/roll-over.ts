import {setTimeout as sleep} from 'node:timers/promises';

import type {Catalogue} from './catalogue.js';
import type {Fleet} from './fleet.js';
import {applySheet, SheetError, waitUntilKnown} from './operator.js';

/** When the second sheet is applied, as a share of the run. */
const ROLL_OVER_SHARE = 0.4;

/** Most popular adapters that get a new version. */
const ROLLED_OVER_ADAPTERS = 5;
const NEW_VERSION = 'v2';

const RETRY_MS = 500;
const MAXIMUM_TRIES = 60;
const MS_PER_SECOND = 1_000;

/**
 * Applies a second sheet in mid-run, which gives the most popular adapters a
 * new version. Once every host has it in force, no request that names an
 * adapter alone may run on the old version again.
 */
export const rollOver = async (
  fleet: Fleet,
  catalogue: Catalogue,
  seconds: number,
  report: (message: string) => void,
): Promise<void> => {
  await sleep(ROLL_OVER_SHARE * seconds * MS_PER_SECOND);
  catalogue.beginRollOver(ROLLED_OVER_ADAPTERS, NEW_VERSION);
  const kind = await applyAnywhere(fleet, catalogue.toSheet());
  const [first] = catalogue.adapters;
  const waitedMs = await waitUntilKnown(
    fleet.hosts.map(({entry}) => entry.callerAddress),
    `${first?.adapter ?? ''}@${NEW_VERSION}`,
  );
  catalogue.endRollOver();
  report(
    `second sheet: ${kind}, in force everywhere ${Math.round(waitedMs)} ms later`,
  );
};

/** Applies a sheet at the first host that accepts it. */
const applyAnywhere = async (fleet: Fleet, sheet: string): Promise<string> => {
  for (let tries = 0; tries < MAXIMUM_TRIES; tries++) {
    const host = fleet.hosts[tries % fleet.hosts.length];
    try {
      const address = host?.entry.callerAddress ?? '';
      return (await applySheet(address, fleet.operator, sheet)).kind;
    } catch (error) {
      if (!(error instanceof SheetError)) {
        throw error;
      }
      await sleep(RETRY_MS);
    }
  }
  throw new SheetError(`no host accepted the sheet in ${MAXIMUM_TRIES} tries`);
};
