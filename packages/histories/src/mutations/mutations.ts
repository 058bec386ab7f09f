import type {Mutation} from './mutation.js';

/** Every deliberate fault, each of which the checks must catch. */
export const MUTATIONS: readonly Mutation[] = [
  {
    name: 'the validity of a claim is not checked again',
    edits: [
      {
        module: 'ownership/selectors.js',
        search: '(isRecordFresh(state, holding.zone, at) ||',
        replacement: '(true || isRecordFresh(state, holding.zone, at) ||',
      },
    ],
  },
  {
    name: 'a taker does not wait',
    edits: [
      {
        module: 'ownership/claims.js',
        search: '>= TAKEOVER_WAIT_MS',
        replacement: '>= 0',
      },
    ],
  },
  {
    name: 'a takeover is written as a handover',
    edits: [
      {
        module: 'ownership/review.js',
        search: "'handover' : 'takeover'",
        replacement: "'handover' : 'handover'",
      },
    ],
  },
  {
    name: 'an owner does not stop before it hands over',
    edits: [
      {
        module: 'ownership/selectors.js',
        search: "holding?.phase.kind === 'active'",
        replacement: "['active', 'yielding'].includes(holding?.phase.kind)",
      },
    ],
  },
  {
    name: 'an owner acts again while its handover may take effect',
    edits: [
      {
        module: 'ownership/writes.js',
        search: "result.type === 'unavailable' && !write.isUncertain",
        replacement: "result.type !== 'written'",
      },
    ],
  },
  {
    name: 'a proof counts from the answer instead of the start of the read',
    edits: [
      {
        module: 'membership/records.js',
        search: 'applyRecord(state, copy, sentAt, turn);',
        replacement: 'applyRecord(state, copy, turn.at, turn);',
      },
    ],
  },
  {
    name: 'the age of a relayed record is ignored',
    edits: [
      {
        module: 'membership/exchange.js',
        search: '}, backdate(requestedAt, ageMs), turn);',
        replacement: '}, turn.at, turn);',
      },
    ],
  },
  {
    name: 'a new incarnation believes in the claims of the former one',
    edits: [
      {
        module: 'ownership/zone-record.js',
        search: 'claim.incarnation === incarnation &&',
        replacement: '',
      },
    ],
  },
  {
    name: 'fencing numbers do not grow',
    edits: [
      {
        module: 'ownership/zone-record.js',
        search: 'lastFencingNumber += 1;',
        replacement: 'lastFencingNumber = Math.max(1, lastFencingNumber);',
      },
    ],
  },
  {
    name: 'only the monotonic clock counts',
    edits: [
      {
        module: 'instant.js',
        search:
          'Math.max(to.monotonicMs - from.monotonicMs, to.wallMs - from.wallMs)',
        replacement: 'to.monotonicMs - from.monotonicMs',
      },
    ],
  },
  {
    name: 'in an outage the other hosts and the host list are not heard',
    edits: [
      {
        module: 'ownership/validity.js',
        search: 'isValidProof(state.ownership.outageProofs.get(zone), at) ||',
        replacement: 'true ||',
      },
    ],
  },
  {
    name: 'a lower configuration revision is taken',
    edits: [
      {
        module: 'configuration/revision.js',
        search: 'if (summary.revision <= current) {',
        replacement: 'if (false) {',
      },
      {
        module: 'configuration/spread.js',
        search: 'if (summary.revision <= current ||',
        replacement: 'if (',
      },
    ],
  },
  {
    name: 'a lost answer about the head counts as a refusal',
    edits: [
      {
        module: 'configuration/submission.js',
        search: "result.type === 'unavailable' && !submission.isUncertain",
        replacement: "result.type !== 'found'",
      },
    ],
  },
  {
    name: 'a conflict of heads is not compared by nonce',
    edits: [
      {
        module: 'configuration/submission.js',
        search: 'nonce === submission.nonce',
        replacement: 'nonce !== undefined',
      },
    ],
  },
  {
    name: 'a call is repeated after an unknown outcome',
    edits: [
      {
        module: 'calls/attempts.js',
        search: 'const proved = provesNotRun(outcome);',
        replacement: 'const proved = true;',
      },
    ],
  },
  {
    name: 'the member is not part of an idempotency key',
    edits: [
      {
        module: 'calls/claim-record.js',
        search: 'JSON.stringify([member, idempotencyKey])',
        replacement: 'JSON.stringify([idempotencyKey])',
      },
    ],
  },
  {
    name: 'the member of a resume token is not compared',
    edits: [
      {
        module: 'streams/resume-token.js',
        search: 'claims.member === member ?',
        replacement: 'true ?',
      },
    ],
  },
  {
    name: 'the member of deferred work is not compared',
    edits: [
      {
        module: 'deferred/queries.js',
        search: '=> owner === member;',
        replacement: '=> true;',
      },
    ],
  },
  {
    name: 'an eviction ignores the requests that run',
    edits: [
      {
        module: 'residency/eviction.js',
        search: 'slot.running === 0 &&',
        replacement: '',
      },
    ],
  },
];
