import {unfinishedCalls, unsettledWork} from '@basilworks/core';

import {createCallsPart} from './calls/index.js';
import type {DaemonContext} from './context.js';
import {createDeferredPart} from './deferred/index.js';
import {
  createMembershipRunners,
  createRecordRunners,
  createStoreRunners,
  createTimerRunners,
} from './effects/index.js';
import {Authenticator} from './http/authentication.js';
import {registerAddressRoutes} from './ingress/address-routes.js';
import {Ingress} from './ingress/ingress.js';
import {registerModelRoutes} from './ingress/model-routes.js';
import {registerResumeRoutes} from './ingress/resume-routes.js';
import {PlannedStop} from './lib/planned-stop.js';
import {createOperatorsPart} from './operators/index.js';
import {Executions} from './owner/executions.js';
import {createServerRunners} from './owner/server-runners.js';
import type {PartTools, RegisterRoutes} from './part.js';
import {PeerLinks} from './peers/peer-links.js';
import {PeerService} from './peers/peer-service.js';
import type {RunnerTable} from './runner-table.js';

/** What the parts need for the end of a planned stop. */
export interface StopHooks {
  /** Closes the callers' listeners after their last answers. */
  readonly drainCallers: () => Promise<void>;
  /** Called when the stop is complete. */
  readonly onStopped: () => void;
}

/** All parts, combined. */
export interface Parts {
  readonly runners: RunnerTable;
  readonly routes: readonly RegisterRoutes[];
  readonly peerService: PeerService;
}

/**
 * Creates every part of the daemon. A part adds its runners to the table, which
 * the compiler checks to cover every effect, and its routes to the list.
 */
export const createParts = (context: DaemonContext, stop: StopHooks): Parts => {
  const authenticator = new Authenticator(context.settings);
  const peers = new PeerLinks(context);
  const executions = new Executions(context);
  const ingress = new Ingress(context, executions, peers);
  const peerService = new PeerService(context, executions);
  const plannedStop = new PlannedStop(
    context.timers,
    context.readiness,
    {
      unfinished: () =>
        ingress.size +
        executions.size +
        unfinishedCalls(context.loop.state) +
        unsettledWork(context.loop.state),
      drainListeners: async () => {
        await Promise.all([peerService.drain(), stop.drainCallers()]);
      },
    },
    stop.onStopped,
  );
  const tools: PartTools = {ingress, authenticator};
  const calls = createCallsPart(context, tools);
  const deferred = createDeferredPart(context, tools);
  const operators = createOperatorsPart(context, tools);
  return {
    runners: {
      ...createTimerRunners(context),
      ...createStoreRunners(context),
      ...createMembershipRunners(context, () => {
        plannedStop.finish();
      }),
      ...createRecordRunners(context),
      ...createServerRunners(context),
      ...peers.runners,
      ...executions.runners,
      ...ingress.runners,
      ...calls.runners,
      ...deferred.runners,
      ...operators.runners,
    },
    routes: [
      (app) => {
        registerAddressRoutes(app, context);
      },
      (app) => {
        registerModelRoutes(app, context, ingress, authenticator);
      },
      (app) => {
        registerResumeRoutes(app, context, ingress, authenticator);
      },
      calls.registerRoutes,
      deferred.registerRoutes,
      operators.registerRoutes,
    ],
    peerService,
  };
};
