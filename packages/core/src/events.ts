import type {CallsEvent} from './calls/events.js';
import type {ConfigurationEvent} from './configuration/events.js';
import type {DeferredEvent} from './deferred/events.js';
import type {MembershipEvent} from './membership/events.js';
import type {OwnershipEvent} from './ownership/events.js';
import type {PeerMessageEvent} from './peer-message.js';
import type {ResidencyEvent} from './residency/events.js';
import type {RoutingEvent} from './routing/events.js';
import type {StoreRespondedEvent} from './store.js';
import type {TimerFiredEvent} from './timer.js';

/** Everything the reducer reacts to. */
export type CoreEvent =
  | CallsEvent
  | ConfigurationEvent
  | DeferredEvent
  | MembershipEvent
  | OwnershipEvent
  | PeerMessageEvent
  | ResidencyEvent
  | RoutingEvent
  | StoreRespondedEvent
  | TimerFiredEvent;
