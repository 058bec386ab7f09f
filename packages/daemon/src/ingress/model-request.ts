import {createHash} from 'node:crypto';

import {
  type AdapterEntry,
  type CoreState,
  type MemberId,
  type PriorityClass,
  priorityClassSchema,
  type Refusal,
  type RequestId,
  resolveModel,
  type Version,
} from '@basilworks/core';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';

import {refuseEarly} from '../http/errors.js';
import {parseJson} from '../lib/parse-json.js';
import type {DaemonSettings} from '../settings-schema.js';
import type {ModelRequest} from './ingress.js';

/** Generated tokens that a request without a bound is planned with. */
const DEFAULT_MAXIMUM_TOKENS = 512;

/** Characters of the first message that identify a prompt prefix. */
const PREFIX_CHARACTERS = 1_024;

const LONGEST_DEADLINE_MS = 86_400_000;

const deadlineSchema = z.coerce
  .number()
  .int()
  .positive()
  .max(LONGEST_DEADLINE_MS);

/** The parts of an OpenAI-style body that decisions need. */
const chatBodySchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(z.looseObject({content: z.unknown()})).min(1),
  stream: z.boolean().optional(),
  max_tokens: z.number().int().positive().optional(),
  max_completion_tokens: z.number().int().positive().optional(),
  priority_class: priorityClassSchema.optional(),
  deadline_ms: deadlineSchema.optional(),
});
type ChatBody = z.infer<typeof chatBodySchema>;

/** What a caller sent, besides who it is. */
export interface CallerInput {
  readonly requestId: RequestId;
  readonly member: MemberId;
  readonly body: Buffer;
  /** Header `x-priority-class`; goes before the field of the body. */
  readonly priorityClass: string | undefined;
  /** Header `x-deadline-ms`; goes before the field of the body. */
  readonly deadlineMs: string | undefined;
}

/**
 * Checks a caller's request and resolves its model to one adapter version,
 * once. The body is passed on as it came, but for a model without a version.
 */
export const toModelRequest = (
  state: CoreState,
  settings: DaemonSettings,
  input: CallerInput,
): Result<ModelRequest, Refusal> => {
  const parsed = chatBodySchema.safeParse(
    parseJson(input.body.toString('utf8')),
  );
  if (!parsed.success) {
    return err(malformed('body', parsed.error));
  }
  const chat = parsed.data;
  const priority = priorityClassSchema
    .optional()
    .safeParse(input.priorityClass ?? chat.priority_class);
  if (!priority.success) {
    return err(malformed('x-priority-class', priority.error));
  }
  const deadline = deadlineSchema
    .optional()
    .safeParse(input.deadlineMs ?? chat.deadline_ms);
  if (!deadline.success) {
    return err(malformed('x-deadline-ms', deadline.error));
  }
  const resolution = resolveModel(state, chat.model);
  if (resolution.kind === 'unresolved') {
    const detail = `${resolution.code}: ${chat.model}`;
    return err(refuseEarly(resolution.code, detail));
  }
  const {entry, version} = resolution;
  const priorityClass = priority.data ?? entry.priorityClass;
  return ok({
    request: describe(input, chat, entry, version, priorityClass),
    body: toEngineBody(input.body, chat, `${entry.adapter}@${version}`),
    remainingMs: deadline.data ?? defaultDeadlineMs(settings, priorityClass),
  });
};

const describe = (
  {requestId, member}: CallerInput,
  chat: ChatBody,
  entry: AdapterEntry,
  version: Version,
  priorityClass: PriorityClass,
): ModelRequest['request'] => ({
  requestId,
  member,
  adapter: entry.adapter,
  version,
  baseModel: entry.baseModel,
  pool: entry.pool,
  priorityClass,
  prefixDigest: prefixDigest(member, chat),
  maximumTokens:
    chat.max_completion_tokens ?? chat.max_tokens ?? DEFAULT_MAXIMUM_TOKENS,
});

/** Digest of member and prompt prefix, so that members share no entries. */
const prefixDigest = (member: MemberId, {messages}: ChatBody): string => {
  const content = messages[0]?.content;
  if (typeof content !== 'string' || content === '') {
    return '';
  }
  return createHash('sha256')
    .update(`${member}\0${content.slice(0, PREFIX_CHARACTERS)}`)
    .digest('base64url')
    .slice(0, 22);
};

const toEngineBody = (
  body: Buffer,
  chat: ChatBody,
  resolvedModel: string,
): Buffer =>
  chat.model === resolvedModel
    ? body
    : Buffer.from(JSON.stringify({...chat, model: resolvedModel}));

const defaultDeadlineMs = (
  {deadlines}: DaemonSettings,
  priorityClass: PriorityClass,
): number => {
  const byClass: Readonly<Record<PriorityClass, number>> = {
    urgent: deadlines.urgentMs,
    standard: deadlines.standardMs,
    deferrable: deadlines.deferrableMs,
  };
  return byClass[priorityClass];
};

const malformed = (part: string, {issues}: z.core.$ZodError): Refusal => {
  const problems = issues.map(({path, message}) =>
    path.length === 0 ? message : `${path.map(String).join('.')}: ${message}`,
  );
  return refuseEarly('malformed-request', `${part}: ${problems.join('; ')}`);
};
