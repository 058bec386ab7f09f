import {once} from 'node:events';
import {type AddressInfo, createServer} from 'node:net';

/** Finds ports of the loopback interface that nothing listens on. */
export const findFreePorts = async (count: number): Promise<number[]> => {
  const servers = Array.from({length: count}, () =>
    createServer().listen(0, '127.0.0.1'),
  );
  await Promise.all(servers.map((server) => once(server, 'listening')));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(
    servers.map(
      (server) =>
        new Promise((resolve) => {
          server.close(resolve);
        }),
    ),
  );
  return ports;
};
