import {
  type CoreState,
  type EntryHost,
  homeOf,
  liveHosts,
  resolveModel,
} from '@basilworks/core';

import type {DaemonContext} from '../context.js';
import type {CallerApp} from '../http/caller-app.js';
import {refuseEarly} from '../http/errors.js';
import {answerRefusal} from './model-routes.js';

/** How long a caller may use an address answer, milliseconds. */
export const ADDRESS_KEEP_MS = 2_000;

/** Addresses to try in order, and how long they may be kept. */
export interface AddressAnswer {
  readonly addresses: readonly string[];
  readonly keepForMs: number;
}

/**
 * Which hosts to use: `GET /v1/address?model=` names the adapter's home first,
 * `GET /v1/address?service=` any host. Hosts of this host's zone follow, then
 * the rest; hosts that stop or leave are never named.
 */
export const registerAddressRoutes = (
  app: CallerApp,
  context: DaemonContext,
): void => {
  const {loop, settings} = context;
  app.get('/v1/address', (caller) => {
    const {state} = loop;
    const {model, service} = caller.req.query();
    const refuse = (...refusal: Parameters<typeof refuseEarly>) =>
      answerRefusal(context, refuseEarly(...refusal), '');
    if (model === undefined && service === undefined) {
      return refuse('malformed-request', 'expected ?model= or ?service=');
    }
    if (service !== undefined && !isKnownService(state, service)) {
      return refuse('unknown-service', `unknown service: ${service}`);
    }
    const resolution =
      model === undefined ? undefined : resolveModel(state, model);
    if (resolution?.kind === 'unresolved') {
      return refuse(resolution.code, `${resolution.code}: ${model ?? ''}`);
    }
    const adapter = resolution?.entry.adapter;
    const addresses = orderAddresses(state, settings.zone, adapter);
    return addresses.length === 0
      ? refuse('not-ready', 'no live entry host is known', 1_000)
      : caller.json<AddressAnswer>({addresses, keepForMs: ADDRESS_KEEP_MS});
  });
};

const isKnownService = (state: CoreState, service: string): boolean =>
  state.settings.operations.some(({pool}) => pool === service);

const orderAddresses = (
  state: CoreState,
  zone: string,
  adapter: string | undefined,
): string[] => {
  const hosts = liveHosts(state);
  const home = adapter === undefined ? undefined : homeOf(state, adapter);
  const rank = (host: EntryHost): number =>
    host.host === home ? 0 : host.zone === zone ? 1 : 2;
  return [...hosts]
    .sort((first, second) => rank(first) - rank(second))
    .map(({callerAddress}) => callerAddress);
};
