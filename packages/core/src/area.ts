import type {CoreEvent} from './events.js';
import type {HostId} from './identifiers.js';
import type {PeerMessage} from './peer-message.js';
import type {CoreState} from './state.js';
import type {Turn} from './turn.js';

/** The areas of the reducer, each a folder of this package. */
export type AreaName =
  | 'membership'
  | 'ownership'
  | 'configuration'
  | 'routing'
  | 'residency'
  | 'load-budget'
  | 'admission'
  | 'calls'
  | 'deferred'
  | 'streams';

/** Handlers by event type. Those an area does not react to are left out. */
export type HandlerTable = {
  readonly [Type in CoreEvent['type']]?: (
    state: CoreState,
    event: Extract<CoreEvent, {readonly type: Type}>,
    turn: Turn,
  ) => void;
};

/** Who sent a message. */
export interface Sender {
  readonly host: HostId;
  readonly incarnation: string;
}

/** Handlers by the type of a message from a peer. */
export type MessageHandlerTable = {
  readonly [Type in PeerMessage['type']]?: (
    state: CoreState,
    message: Extract<PeerMessage, {readonly type: Type}>,
    sender: Sender,
    turn: Turn,
  ) => void;
};

/**
 * One area of the reducer. A handler may read the whole state through the
 * other areas' selectors, and writes only its own area's part.
 */
export interface Area {
  readonly name: AreaName;
  readonly handlers: HandlerTable;
  readonly messageHandlers: MessageHandlerTable;
}
