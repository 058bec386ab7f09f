import {once} from 'node:events';
import {createServer} from 'node:net';

/** Below the range from which systems give ports to connections. */
const LOWEST_PORT = 20_000;
const HIGHEST_PORT = 32_000;

/**
 * Finds ports of the loopback interface that nothing listens on, and that are
 * not given to connections meanwhile.
 */
export const findFreePorts = async (count: number): Promise<number[]> => {
  const ports = new Set<number>();
  while (ports.size < count) {
    const span = HIGHEST_PORT - LOWEST_PORT;
    const port = LOWEST_PORT + Math.floor(Math.random() * span);
    if (!ports.has(port) && (await isFree(port))) {
      ports.add(port);
    }
  }
  return [...ports];
};

const isFree = async (port: number): Promise<boolean> => {
  const server = createServer();
  try {
    server.listen(port, '127.0.0.1');
    await once(server, 'listening');
    return true;
  } catch {
    return false;
  } finally {
    server.close();
  }
};
