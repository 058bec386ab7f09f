import type {AuditEffect} from './audit.js';
import type {CallsEffect} from './calls/effects.js';
import type {ConfigurationEffect} from './configuration/effects.js';
import type {RecordDecisionEffect} from './decision.js';
import type {DeferredEffect} from './deferred/effects.js';
import type {MembershipEffect} from './membership/effects.js';
import type {ObserveMetricEffect} from './metric.js';
import type {SendPeerMessageEffect} from './peer-message.js';
import type {ResidencyEffect} from './residency/effects.js';
import type {RoutingEffect} from './routing/effects.js';
import type {StoreRequestEffect} from './store.js';
import type {CancelTimerEffect, SetTimerEffect} from './timer.js';

/** Everything the reducer may ask the daemon to do. */
export type Effect =
  | AuditEffect
  | CallsEffect
  | CancelTimerEffect
  | ConfigurationEffect
  | DeferredEffect
  | MembershipEffect
  | ObserveMetricEffect
  | RecordDecisionEffect
  | ResidencyEffect
  | RoutingEffect
  | SendPeerMessageEffect
  | SetTimerEffect
  | StoreRequestEffect;
