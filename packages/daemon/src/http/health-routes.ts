import type {DaemonContext} from '../context.js';
import type {CallerApp} from './caller-app.js';

/** `/healthz`, `/readyz` and `/metrics`. */
export const registerHealthRoutes = (
  app: CallerApp,
  {readiness, metrics}: DaemonContext,
): void => {
  app.get('/healthz', (caller) => caller.text('ok\n'));
  app.get('/readyz', (caller) => {
    const {ready, reason} = readiness;
    return caller.json({ready, reason}, ready ? 200 : 503);
  });
  app.get('/metrics', async (caller) => {
    const text = await metrics.registry.metrics();
    const contentType = metrics.registry.contentType;
    return caller.body(text, 200, {'content-type': contentType});
  });
};
