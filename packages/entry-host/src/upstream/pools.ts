import type {TimerService} from '@basilworks/daemon';
import type {Server} from '@basilworks/dispatch';

import type {ConnectSocket} from './connection.js';
import {UpstreamPool} from './pool.js';

/** The connection pools of all known server instances. */
export class UpstreamPools {
  private readonly pools = new Map<string, UpstreamPool>();

  constructor(
    private readonly requestIdHeader: string,
    private readonly timers: TimerService,
    private readonly opened: (service: string) => void,
    private readonly connectSocket?: ConnectSocket,
  ) {}

  /** Returns the pool of a server instance, created at first use. */
  poolFor({key, entry}: Server): UpstreamPool {
    const known = this.pools.get(key);
    if (known !== undefined) {
      return known;
    }
    const pool = new UpstreamPool(
      {host: entry.host, port: entry.port},
      this.requestIdHeader,
      this.timers,
      () => {
        this.opened(entry.service);
      },
      this.connectSocket,
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

  close(): void {
    for (const pool of this.pools.values()) {
      pool.close();
    }
  }
}
