import type {DaemonContext} from '../context.js';
import type {Part, PartTools} from '../part.js';
import {SheetRoutes} from './sheet-routes.js';
import {registerViewRoutes} from './view-routes.js';

/** The operators' interface. */
export const createOperatorsPart = (
  context: DaemonContext,
  {authenticator}: PartTools,
): Part<'sheet-result' | 'create-signing-key' | 'key-rotation-result'> => {
  const sheets = new SheetRoutes(context, authenticator);
  return {
    runners: sheets.runners,
    registerRoutes: (app) => {
      sheets.register(app);
      registerViewRoutes(app, context, authenticator);
    },
  };
};
