import type {Fleet} from '../fleet/fleet.js';
import {checkClaims} from './claims.js';
import {checkConfiguration} from './configuration.js';
import {checkSenders} from './senders.js';
import {checkSettled} from './settled.js';
import type {Violation} from './violation.js';
import {checkWork} from './work.js';

/** Checks everything that a finished run recorded. */
export const checkFleet = (fleet: Fleet): readonly Violation[] => [
  ...checkSenders(fleet.history),
  ...checkClaims(fleet.history),
  ...checkConfiguration(fleet.history),
  ...checkWork(fleet),
  ...checkSettled(fleet),
];
