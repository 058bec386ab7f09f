import {type CoreSettings, mechanismSettingsSchema} from '@basilworks/core';

import {BasilworksContender} from './basilworks-contender.js';
import type {Arena, Contender} from './contender.js';
import {DirectContender} from './direct-contender.js';
import {
  baselineStrategy,
  clairvoyantStrategy,
  hashStrategy,
} from './strategies.js';

export const POLICY_NAMES = [
  'basilworks',
  'baseline',
  'hash',
  'clairvoyant',
] as const;
export type PolicyName = (typeof POLICY_NAMES)[number];

/** Mechanisms of the product's policy, each on or off. */
export type Mechanisms = CoreSettings['mechanisms'];

export const ALL_MECHANISMS: Mechanisms = mechanismSettingsSchema.parse({});

/** Makers of the policies that the bench compares. */
export const POLICIES: Readonly<
  Record<PolicyName, (arena: Arena, mechanisms: Mechanisms) => Contender>
> = {
  basilworks: (arena, mechanisms) => new BasilworksContender(arena, mechanisms),
  baseline: (arena) => new DirectContender(arena, baselineStrategy()),
  hash: (arena) => new DirectContender(arena, hashStrategy()),
  clairvoyant: (arena) =>
    new DirectContender(arena, clairvoyantStrategy(arena)),
};
