import type {MemberId, Refusal} from '@basilworks/core';
import {err, ok, type Result} from 'neverthrow';

import type {DaemonContext} from '../context.js';
import type {Authenticator} from './authentication.js';
import type {CallerRequest} from './caller-app.js';
import {refuseEarly} from './errors.js';
import {readBody} from './read-body.js';

const NOT_READY_RETRY_AFTER_MS = 1_000;

/** Who sent a request, and its whole body. */
export interface MemberRequest {
  readonly member: MemberId;
  readonly body: Buffer;
}

/** The member whose token a request carries, on a host that takes requests. */
export const identifyMember = (
  {readiness}: DaemonContext,
  authenticator: Authenticator,
  caller: CallerRequest,
): Result<MemberId, Refusal> => {
  if (!readiness.hasBeenReady) {
    const {reason} = readiness;
    return err(refuseEarly('not-ready', reason, NOT_READY_RETRY_AFTER_MS));
  }
  const member = authenticator.member(caller.req.header('authorization'));
  return member === undefined
    ? err(refuseEarly('unauthenticated', 'no valid bearer token'))
    : ok(member);
};

/** Identifies the member of a request and reads its body. */
export const readMemberRequest = async (
  context: DaemonContext,
  authenticator: Authenticator,
  caller: CallerRequest,
): Promise<Result<MemberRequest, Refusal>> => {
  const member = identifyMember(context, authenticator, caller);
  if (member.isErr()) {
    return err(member.error);
  }
  const {bodyBytes} = context.settings.limits;
  const body = await readBody(caller.env.incoming, bodyBytes);
  return body.map((bytes) => ({member: member.value, body: bytes}));
};
