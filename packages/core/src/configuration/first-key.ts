import {elapsedMs} from '../instant.js';
import {CONFIGURATION_HEAD, copyAgeMs} from '../membership/records.js';
import {zoneReader} from '../membership/relay.js';
import {listedZones} from '../membership/selectors.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import {storedHead} from './adoption.js';
import {keyRing} from './selectors.js';

/** Age of the head's copy up to which a missing key is believed. */
const FRESH_HEAD_MS = 3_000;

/** Milliseconds between two attempts to add the first key. */
const FIRST_KEY_INTERVAL_MS = 5_000;

/**
 * Adds the first signing key when the deployment has none. One host tries: the
 * reader of the first zone; the head's conditional update settles a race.
 */
export const ensureFirstKey = (state: CoreState, turn: Turn): void => {
  const {configuration, settings} = state;
  const {kind, name} = CONFIGURATION_HEAD;
  const {firstKeyAskedAt} = configuration;
  const [firstZone] = listedZones(state);
  const isDue =
    firstKeyAskedAt === undefined ||
    elapsedMs(firstKeyAskedAt, turn.at) > FIRST_KEY_INTERVAL_MS;
  if (
    isDue &&
    keyRing(state).length === 0 &&
    (storedHead(state)?.keys.length ?? 0) === 0 &&
    copyAgeMs(state, kind, name, turn.at) <= FRESH_HEAD_MS &&
    firstZone !== undefined &&
    zoneReader(state, firstZone) === settings.host
  ) {
    configuration.firstKeyAskedAt = turn.at;
    turn.perform({
      type: 'create-signing-key',
      submission: '',
      operator: 'basilworks',
    });
  }
};
