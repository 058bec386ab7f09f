import {z} from 'zod';

import type {HostId} from './identifiers.js';
import {configurationMessageSchemas} from './configuration/messages.js';
import {deferredMessageSchemas} from './deferred/messages.js';
import {loadBudgetMessageSchemas} from './load-budget/messages.js';
import {membershipMessageSchemas} from './membership/messages.js';
import {ownershipMessageSchemas} from './ownership/messages.js';
import {residencyMessageSchemas} from './residency/messages.js';
import {routingMessageSchemas} from './routing/messages.js';

/**
 * Every control message between entry hosts. Each has an `area` that handles
 * it and a `type`. Messages may be lost, repeated, delayed and reordered.
 */
export const peerMessageSchema = z.discriminatedUnion('type', [
  ...membershipMessageSchemas,
  ...ownershipMessageSchemas,
  ...configurationMessageSchemas,
  ...routingMessageSchemas,
  ...residencyMessageSchemas,
  ...loadBudgetMessageSchemas,
  ...deferredMessageSchemas,
]);
export type PeerMessage = z.infer<typeof peerMessageSchema>;

/** Sends a message; to this host itself, it is handled in the same turn. */
export interface SendPeerMessageEffect {
  readonly type: 'send-peer-message';
  readonly to: HostId;
  readonly message: PeerMessage;
}

/** A message arrived from a peer, or from this host itself. */
export interface PeerMessageEvent {
  readonly type: 'peer-message';
  readonly from: HostId;
  /** Incarnation of the sender, from the transport. */
  readonly fromIncarnation: string;
  readonly message: PeerMessage;
}
