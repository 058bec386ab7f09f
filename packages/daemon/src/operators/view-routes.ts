import {decisionSchema, standingOf} from '@basilworks/core';
import {
  OPERATOR_PATHS,
  type AuditView,
  type DecisionsView,
  type DrainAnswer,
} from '@basilworks/protocol';

import type {DaemonContext} from '../context.js';
import type {Authenticator} from '../http/authentication.js';
import type {CallerApp} from '../http/caller-app.js';
import {toJsonResponse} from '../http/errors.js';
import {forOperators, refuseUnknown} from './operator-request.js';
import {
  viewAdapters,
  viewHistory,
  viewHosts,
  viewLoads,
  viewServers,
} from './views.js';

/** What this host knows, by path. */
const VIEWS: Readonly<Record<string, (context: DaemonContext) => unknown>> = {
  [OPERATOR_PATHS.hosts]: viewHosts,
  [OPERATOR_PATHS.servers]: viewServers,
  [OPERATOR_PATHS.adapters]: viewAdapters,
  [OPERATOR_PATHS.loads]: viewLoads,
  [OPERATOR_PATHS.history]: viewHistory,
  [OPERATOR_PATHS.audit]: ({settings, auditTrail}): AuditView => ({
    host: settings.host,
    entries: [...auditTrail.list()],
  }),
};

/** Adds the routes by which operators look at one host, and drain it. */
export const registerViewRoutes = (
  app: CallerApp,
  context: DaemonContext,
  authenticator: Authenticator,
): void => {
  for (const [path, view] of Object.entries(VIEWS)) {
    app.get(
      path,
      forOperators(authenticator, () => toJsonResponse(view(context), 200)),
    );
  }
  app.get(
    `${OPERATOR_PATHS.explain}/:subject/:name`,
    forOperators(authenticator, ({request}) =>
      explain(context, request.req.param('subject'), request.req.param('name')),
    ),
  );
  app.post(
    OPERATOR_PATHS.drain,
    forOperators(authenticator, ({operator}) => {
      context.loop.post({type: 'drain-requested', operator});
      const answer: DrainAnswer = {
        host: context.settings.host,
        standing: standingOf(context.loop.state),
      };
      return toJsonResponse(answer, 200);
    }),
  );
};

/** An adapter's name stands for all of its versions. */
const isAbout = (recorded: string, name: string): boolean =>
  recorded === name || recorded.startsWith(`${name}@`);

const explain = (
  {settings, decisions}: DaemonContext,
  subject: string | undefined,
  name: string | undefined,
): Response => {
  if (!decisionSchema.shape.subject.safeParse(subject).success) {
    return refuseUnknown(`the subject ${subject ?? ''}`);
  }
  const view: DecisionsView = {
    host: settings.host,
    decisions: decisions
      .list()
      .filter(
        (decision) =>
          decision.subject === subject && isAbout(decision.name, name ?? ''),
      ),
  };
  return toJsonResponse(view, 200);
};
