import type {CoreEvent, PeerMessage} from '@basilworks/core';

/** The parts that one entry host plays; each event belongs to one. */
export type Role =
  | 'ingress'
  | 'home'
  | 'owner'
  | 'load-budget-holder'
  | 'configuration-reader'
  | 'membership'
  | 'plain-calls'
  | 'deferred-work';

/** Returns the role that an event is handled in. */
export const roleOf = (event: CoreEvent): Role => {
  if (event.type === 'peer-message') {
    return ROLE_OF_MESSAGE[event.message.type] ?? 'membership';
  }
  if ('area' in event) {
    return ROLE_OF_AREA[event.area] ?? 'membership';
  }
  return ROLE_OF_EVENT[event.type] ?? 'membership';
};

const ROLE_OF_MESSAGE: Readonly<Partial<Record<PeerMessage['type'], Role>>> = {
  'adapter-wanted': 'owner',
  'configuration-asked': 'configuration-reader',
  'configuration-update': 'configuration-reader',
  'load-granted': 'owner',
  'load-released': 'load-budget-holder',
  'load-requested': 'load-budget-holder',
  'placement-finished': 'home',
  'placement-granted': 'ingress',
  'placement-queued': 'ingress',
  'placement-refused': 'ingress',
  'placement-requested': 'home',
  'server-summary': 'home',
  'summary-wanted': 'owner',
  'work-inquiry': 'deferred-work',
  'work-not-held': 'deferred-work',
};

const ROLE_OF_AREA: Readonly<Partial<Record<string, Role>>> = {
  routing: 'ingress',
  residency: 'owner',
  'load-budget': 'load-budget-holder',
  configuration: 'configuration-reader',
  calls: 'plain-calls',
  deferred: 'deferred-work',
};

const ROLE_OF_EVENT: Readonly<Partial<Record<CoreEvent['type'], Role>>> = {
  'request-submitted': 'ingress',
  'request-abandoned': 'ingress',
  'attempt-finished': 'ingress',
  'execution-requested': 'owner',
  'execution-abandoned': 'owner',
  'execution-started': 'owner',
  'execution-finished': 'owner',
  'adapter-order-finished': 'owner',
  'server-reported': 'owner',
  'cache-events-read': 'owner',
  'sheet-submitted': 'configuration-reader',
  'call-submitted': 'plain-calls',
  'call-abandoned': 'plain-calls',
  'call-attempt-finished': 'plain-calls',
  'work-submitted': 'deferred-work',
  'work-finished': 'deferred-work',
  'work-queried': 'deferred-work',
};
