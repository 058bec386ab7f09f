import type {Effect} from '@basilworks/core';

import {callRunners} from './call-runners.js';
import {enginesRunners} from './engine-runners.js';
import {platformRunners} from './platform-runners.js';
import type {SimulatedHost} from './simulated-host.js';
import {workRunners} from './work-runners.js';

/** Runners by effect type. */
export type EffectRunners = {
  readonly [Type in Effect['type']]?: (
    host: SimulatedHost,
    effect: Extract<Effect, {readonly type: Type}>,
  ) => void;
};

/** Milliseconds for which a stopped host's own streams go on at most. */
const OWN_STREAMS_MS = 8_000;

/** Runs one effect against the models; the others only show what a host did. */
export const runEffect = (host: SimulatedHost, effect: Effect): void => {
  const run = runners[effect.type] as
    ((host: SimulatedHost, effect: Effect) => void) | undefined;
  run?.(host, effect);
};

const runners: EffectRunners = {
  ...platformRunners,
  ...enginesRunners,
  ...callRunners,
  ...workRunners,
  'set-timer': (host, {area, timer, delayMs}) => {
    host.setTimer(`${area}/${timer}`, delayMs, () => {
      host.handle({type: 'timer-fired', area, timer});
    });
  },
  'cancel-timer': (host, {area, timer}) => {
    host.cancelTimer(`${area}/${timer}`);
  },
  'send-peer-message': ({name, incarnation, around}, {to, message}) => {
    around.observer?.sent(name, to, message);
    around.network.send(name, to, () => {
      around.host(to)?.handle({
        type: 'peer-message',
        from: name,
        fromIncarnation: incarnation,
        message,
      });
    });
  },
  'stop-completed': (host) => {
    host.hasStopped = true;
    host.around.scheduler.schedule(OWN_STREAMS_MS, () => {
      host.kill();
    });
  },
};
