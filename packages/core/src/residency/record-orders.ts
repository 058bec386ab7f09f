import type {AuditEntry} from '../audit.js';
import type {Decision} from '../decision.js';
import type {Turn} from '../turn.js';

/** An order to an engine, with what it followed from. */
export interface RecordedOrder {
  readonly server: string;
  /** `adapter@version` that the order is about. */
  readonly key: string;
  readonly order: 'load' | 'evict';
  readonly inputs: Decision['inputs'];
}

/** Keeps an order in the audit trail and in the record of decisions. */
export const recordOrder = (
  {server, key, order, inputs}: RecordedOrder,
  turn: Turn,
): void => {
  const decision = ORDER_DECISIONS[order];
  const about: readonly Decision[] = [
    {subject: 'adapter', name: key, decision, inputs: {server, ...inputs}},
    {
      subject: 'server',
      name: server,
      decision,
      inputs: {adapter: key, ...inputs},
    },
  ];
  for (const each of about) {
    turn.perform({type: 'record-decision', decision: each});
  }
  turn.perform({
    type: 'audit',
    entry: {
      actor: 'basilworks',
      action: ORDER_ACTIONS[order],
      subject: server,
      ...(order === 'load' ? {after: key} : {before: key}),
    },
  });
};

const ORDER_DECISIONS: Readonly<Record<RecordedOrder['order'], string>> = {
  load: 'load-ordered',
  evict: 'evicted',
};

const ORDER_ACTIONS: Readonly<
  Record<RecordedOrder['order'], AuditEntry['action']>
> = {
  load: 'adapter-load',
  evict: 'adapter-evict',
};
