/** One size at which a small deployment is measured. */
export interface Size {
  readonly hosts: number;
  readonly zones: number;
  readonly servers: number;
  readonly adapters: number;
}

/** The size that the slopes start from. */
export const BASE_SIZE: Size = {
  hosts: 9,
  zones: 3,
  servers: 18,
  adapters: 3_000,
};

/** Sizes in which one dimension grows and the others stay. */
export interface Series {
  readonly dimension: keyof Size;
  readonly values: readonly number[];
}

/** What is varied. The largest values are those of one zone at the target. */
export const SERIES: readonly Series[] = [
  {dimension: 'hosts', values: [9, 27, 81]},
  {dimension: 'servers', values: [18, 180, 720]},
  {dimension: 'adapters', values: [3_000, 7_000, 14_000]},
];

/**
 * Zones are varied with three hosts and six servers in each, since a zone
 * without any is not a zone that is used.
 */
export const ZONE_SIZES: readonly Size[] = [3, 9, 19].map((zones) => ({
  hosts: 3 * zones,
  zones,
  servers: 6 * zones,
  adapters: 3_000,
}));

/** The sizes of one series. */
export const sizesOf = ({dimension, values}: Series): readonly Size[] =>
  values.map((value) => ({...BASE_SIZE, [dimension]: value}));
