import type {HostEntry, HostStatus} from '../../index.js';

export const at = (ms: number) => ({monotonicMs: ms, wallMs: ms});

/** Returns the status of a host. */
export const status = (
  host: string,
  extra: Partial<HostStatus> = {},
): HostStatus => ({
  host,
  incarnation: 'i',
  zone: 'z1',
  peerAddress: `${host}:1`,
  callerAddress: `${host}:2`,
  ready: true,
  readsStore: true,
  capacity: 1_000,
  ...extra,
});

/** Returns the versioned entry of a host. */
export const entry = (
  host: string,
  version = 1,
  extra: Partial<HostEntry> = {},
): HostEntry => ({...status(host), version, gone: false, ...extra});
