import type {Route} from '../configuration/index.js';

/**
 * Outcome of a send to a server without an answer for the caller:
 *
 * - `not-sent`: no byte of the request reached the server.
 * - `not-run`: the server reported that it did not run the request.
 * - `failed`: the server ran it and answered with a failure of its own.
 * - `unknown`: it was sent, and may or may not have run.
 */
export type SendOutcome = 'not-sent' | 'not-run' | 'failed' | 'unknown';

/** Progress of a request after a send. */
export interface RequestProgress {
  readonly route: Pick<Route, 'kind' | 'resumable' | 'maximumAttempts'>;
  /** Sends so far, including those that were refused or never sent. */
  readonly sends: number;
  /** Servers on which it ran or may have run. */
  readonly runs: number;
  /** Time until its deadline, milliseconds. */
  readonly remainingMs: number;
  /** Whether a part of the answer was sent to the caller. */
  readonly answerStarted: boolean;
}

/**
 * What to do next: send again, refuse (the request certainly did not run), fail
 * (it may have run), or pass on the server's own failure.
 */
export type NextStep = 'send-again' | 'refuse' | 'fail' | 'pass-on-failure';

/**
 * Most sends of one request: each costs a round trip, and when several fail the
 * service itself is in trouble.
 */
const MAXIMUM_SENDS = 4;

/** Remaining time up to which no further send is made, milliseconds. */
const LEAST_USEFUL_MS = 40;

/** Whether a request may run on more than one server. */
export const isRepeatable = ({
  kind,
  resumable,
}: Pick<Route, 'kind' | 'resumable'>): boolean =>
  kind === 'idempotent' || (kind === 'stream' && resumable);

/**
 * Decides what follows a send without an answer. `withdraw` takes one send from
 * the retry budget of the service and is called only if the send counts against
 * it.
 */
export const nextStep = (
  end: SendOutcome,
  progress: RequestProgress,
  withdraw: () => boolean,
): NextStep => STEPS[end](progress, withdraw);

const canSendAgain = ({sends, remainingMs}: RequestProgress): boolean =>
  sends < MAXIMUM_SENDS && remainingMs > LEAST_USEFUL_MS;

/** Only a stream goes on where it broke off; other answers would be joined. */
const canFollow = ({answerStarted, route}: RequestProgress): boolean =>
  !answerStarted || route.kind === 'stream';

const canRunAgain = (progress: RequestProgress): boolean =>
  canSendAgain(progress) &&
  canFollow(progress) &&
  isRepeatable(progress.route) &&
  progress.runs < progress.route.maximumAttempts;

/** Refuses a request that never ran; fails one that may have run. */
const giveUp = ({runs}: RequestProgress): NextStep =>
  runs === 0 ? 'refuse' : 'fail';

const STEPS: Readonly<
  Record<
    SendOutcome,
    (progress: RequestProgress, withdraw: () => boolean) => NextStep
  >
> = {
  // The request never arrived, so another send does not repeat it.
  'not-sent': (progress) =>
    canSendAgain(progress) ? 'send-again' : giveUp(progress),
  'not-run': (progress, withdraw) =>
    canSendAgain(progress) && withdraw() ? 'send-again' : giveUp(progress),
  failed: (progress, withdraw) =>
    !progress.answerStarted && canRunAgain(progress) && withdraw()
      ? 'send-again'
      : 'pass-on-failure',
  unknown: (progress, withdraw) =>
    canRunAgain(progress) && withdraw() ? 'send-again' : 'fail',
};
