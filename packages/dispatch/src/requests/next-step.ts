import type {Route} from '../configuration/index.js';

/**
 * How a send to a server ended without an answer for the caller:
 *
 * - `not-sent`: no byte of the request reached the server.
 * - `not-run`: the server said that it did not run the request.
 * - `failed`: the server ran it and answered with a failure of its own.
 * - `unknown`: it was sent, and may or may not have run.
 */
export type SendOutcome = 'not-sent' | 'not-run' | 'failed' | 'unknown';

/** Where a request stands after a send. */
export interface RequestProgress {
  readonly route: Pick<Route, 'kind' | 'resumable' | 'maximumAttempts'>;
  /** Sends so far, those that were refused or never left included. */
  readonly sends: number;
  /** Servers on which it ran or may have run. */
  readonly runs: number;
  /** Milliseconds that are left of its time. */
  readonly remainingMs: number;
  /** A part of the answer has gone to the caller. */
  readonly answerStarted: boolean;
}

/**
 * What to do next: `send-again`, answer `refuse` (a true "not run"), or `fail`
 * (which promises nothing), or pass on the server's own `failure`.
 */
export type NextStep = 'send-again' | 'refuse' | 'fail' | 'pass-on-failure';

/**
 * Sends of one request that servers may refuse or that may not get through:
 * each costs a round trip, and beyond a few the service is in trouble.
 */
const MAXIMUM_SENDS = 4;

/** Less than this is not worth another send, milliseconds. */
const LEAST_USEFUL_MS = 40;

/** Whether a request may run on more than one server. */
export const isRepeatable = ({
  kind,
  resumable,
}: Pick<Route, 'kind' | 'resumable'>): boolean =>
  kind === 'idempotent' || (kind === 'stream' && resumable);

/**
 * Decides what follows a send that gave no answer. `withdraw` takes one send
 * from the retry budget of the service and is asked only where a send of this
 * kind counts against it.
 */
export const nextStep = (
  end: SendOutcome,
  progress: RequestProgress,
  withdraw: () => boolean,
): NextStep => STEPS[end](progress, withdraw);

const canSendAgain = ({sends, remainingMs}: RequestProgress): boolean =>
  sends < MAXIMUM_SENDS && remainingMs > LEAST_USEFUL_MS;

const canRunAgain = (progress: RequestProgress): boolean =>
  canSendAgain(progress) &&
  isRepeatable(progress.route) &&
  progress.runs < progress.route.maximumAttempts;

/** A request that never ran is refused; one that may have run fails. */
const giveUp = ({runs}: RequestProgress): NextStep =>
  runs === 0 ? 'refuse' : 'fail';

const STEPS: Readonly<
  Record<
    SendOutcome,
    (progress: RequestProgress, withdraw: () => boolean) => NextStep
  >
> = {
  // It never arrived, so that another send is its first arrival.
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
