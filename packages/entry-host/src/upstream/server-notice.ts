import type {Instant} from '@basilworks/core';
import type {Server} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import {headerValue, type ResponseHead} from './response-parser.js';

/** Applies the notice about itself that a server sends with a response. */
export const applyServerNotice = (
  context: EntryHostContext,
  server: Server,
  {status, rawHeaders}: ResponseHead,
  sentAt: Instant,
): void => {
  const {platform, clock, logger, metrics} = context;
  const {forwarding} = platform;
  const header = (name: string) => headerValue(rawHeaders, name.toLowerCase());
  const {id, service} = server.entry;
  if ((header(forwarding.headers.serverId) ?? id) !== id) {
    // Another server responds at this address.
    return;
  }
  const notice = forwarding.parseNotice(status, header);
  if (server.notices.apply(notice, sentAt, clock.now())) {
    metrics.serverNotices.inc({service});
    logger.info('server notice', {
      server: id,
      ...notice,
      requestId: header(forwarding.headers.requestId),
    });
  }
};
