import {connect} from 'node:net';

import type {TimerService} from '@basilworks/daemon';

import type {UpstreamAddress} from './connection.js';

/**
 * What a connection attempt shows: a process listens, none does, or there is no
 * response, as behind a partition.
 */
export type ProbeResult = 'open' | 'refused' | 'silent';

/** Makes the timer names of probes unique. */
let serial = 0;

/** Attempts a connection and closes it at once. */
export const probeConnection = (
  address: UpstreamAddress,
  timers: TimerService,
  timeoutMs: number,
): Promise<ProbeResult> =>
  new Promise((resolve) => {
    const timer = `upstream/probe/${(serial += 1)}`;
    const socket = connect({...address, noDelay: true});
    const settle = (result: ProbeResult) => {
      timers.cancel(timer);
      socket.destroy();
      resolve(result);
    };
    timers.after(timer, timeoutMs, () => {
      settle('silent');
    });
    socket.on('connect', () => {
      settle('open');
    });
    socket.on('error', ({code}: NodeJS.ErrnoException) => {
      settle(code === 'ECONNREFUSED' ? 'refused' : 'silent');
    });
  });
