import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';

import {createAdaptorServer, type HttpBindings} from '@hono/node-server';
import type {Hono} from 'hono';

/** Environment of the stand-ins' routes: raw requests and responses. */
export interface NodeEnvironment {
  readonly Bindings: HttpBindings;
}

/** A listener on loopback. */
export interface Listener {
  /** IP number and port. */
  readonly address: string;
  /** Closes the listener and every connection. */
  close(): void;
}

/** Serves an application on a free port of the loopback interface. */
export const listen = async (
  application: Hono<NodeEnvironment>,
): Promise<Listener> => {
  const server = createAdaptorServer({fetch: application.fetch}) as Server;
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {address, port} = server.address() as AddressInfo;
  return {
    address: `${address}:${port}`,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
};
