import type {Server} from '@basilworks/dispatch';

import type {ServerPath} from './dial.js';
import {type ServerDials, UpstreamPool} from './pool.js';

/** The connection pools of all known server instances. */
export class UpstreamPools {
  private readonly pools = new Map<string, UpstreamPool>();

  constructor(
    private readonly requestIdHeader: string,
    private readonly dialsFor: (server: Server) => ServerDials,
    private readonly opened: (service: string) => void,
  ) {}

  /** Returns the pool of a server instance, created at first use. */
  poolFor(server: Server): UpstreamPool {
    const {key, entry} = server;
    const known = this.pools.get(key);
    if (known !== undefined) {
      return known;
    }
    const pool = new UpstreamPool(
      this.dialsFor(server),
      this.requestIdHeader,
      () => {
        this.opened(entry.service);
      },
    );
    this.pools.set(key, pool);
    return pool;
  }

  /** Drops pools of removed servers; their exchanges continue. */
  retain(keys: ReadonlySet<string>): void {
    for (const [key, pool] of this.pools) {
      if (!keys.has(key)) {
        pool.closeIdle();
        this.pools.delete(key);
      }
    }
  }

  /** Closes idle connections by `path`, to one server or to all. */
  closeIdle(path: ServerPath, server?: Server): void {
    for (const [key, pool] of this.pools) {
      if (server === undefined || server.key === key) {
        pool.closeIdle(path);
      }
    }
  }

  close(): void {
    for (const pool of this.pools.values()) {
      pool.close();
    }
  }
}
