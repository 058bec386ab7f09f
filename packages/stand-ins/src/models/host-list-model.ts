import type {
  EntryHost,
  HostId,
  HostList,
  ServerDescription,
  ServerId,
} from '@basilworks/core';

import type {Scheduler} from './scheduler.js';

/** The platform's host list: each change becomes visible after the lag. */
export class HostListModel {
  private latest: HostList = {version: 1, entryHosts: [], servers: []};
  private visible: HostList = this.latest;

  constructor(
    private readonly scheduler: Scheduler,
    private readonly lagMs: number,
  ) {}

  /** The list as a reader gets it now. */
  read(): HostList {
    return this.visible;
  }

  /** Adds an entry host, or replaces the one of the same name. */
  putHost(host: EntryHost): void {
    const others = this.latest.entryHosts.filter((h) => h.host !== host.host);
    this.change({entryHosts: [...others, host]});
  }

  /** Adds a server, or replaces the one of the same name. */
  putServer(server: ServerDescription): void {
    const others = this.latest.servers.filter(
      (s) => s.server !== server.server,
    );
    this.change({servers: [...others, server]});
  }

  setHostState(host: HostId, state: EntryHost['state']): void {
    this.change({
      entryHosts: this.latest.entryHosts.map((entry) =>
        entry.host === host ? {...entry, state} : entry,
      ),
    });
  }

  setServerState(server: ServerId, state: ServerDescription['state']): void {
    this.change({
      servers: this.latest.servers.map((entry) =>
        entry.server === server ? {...entry, state} : entry,
      ),
    });
  }

  removeHost(host: HostId): void {
    this.change({
      entryHosts: this.latest.entryHosts.filter((h) => h.host !== host),
    });
  }

  removeServer(server: ServerId): void {
    this.change({
      servers: this.latest.servers.filter((s) => s.server !== server),
    });
  }

  private change(part: Partial<Omit<HostList, 'version'>>): void {
    const list = {...this.latest, ...part, version: this.latest.version + 1};
    this.latest = list;
    if (this.lagMs === 0) {
      this.visible = list;
      return;
    }
    this.scheduler.schedule(this.lagMs, () => {
      this.visible = list;
    });
  }
}
